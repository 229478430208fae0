// Bytes that a daemon transferred over the network.
#pragma once

#include <cstdint>

namespace tamarack {

/// @brief Bytes of bodies, heads and messages since the start, without packet headers.
struct TrafficTotals
{
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;
};

} // namespace tamarack
