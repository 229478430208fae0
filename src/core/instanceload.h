// Load that daemons cause at an upstream instance.
#pragma once

#include "core/ids.h"
#include "core/tokens.h"

#include <cstdint>

namespace tamarack {

/// @brief Requests of one or more daemons that were sent to an instance and have not ended.
struct InstanceLoad
{
    UpstreamId instance_;
    std::uint32_t running_ = 0;
    /// Prompt tokens that the instance has still to process.
    Tokens queuedPrefill_;
    /// Prompt tokens, and output tokens at most, of the running requests.
    Tokens contextTokens_;
    /// Learned prompt tokens per millisecond; 0 if unknown.
    double prefillPerMs_ = 0.0;

    bool operator==(const InstanceLoad &) const = default;
};

} // namespace tamarack
