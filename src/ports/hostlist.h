// The port to the platform's list of hosts.
#pragma once

#include "core/membership.h"

#include <functional>
#include <optional>
#include <vector>

namespace tamarack {

/// @brief Reads the list of live and leaving hosts, which lags behind their actual states. Blocks;
/// safe to call from any thread.
struct HostListPort
{
    /// Returns nothing if the list could not be read.
    std::function<std::optional<std::vector<ListedHost>>()> read_;
};

} // namespace tamarack
