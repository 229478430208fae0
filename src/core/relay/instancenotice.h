// What an instance states about itself in the head of a response.
#pragma once

#include "core/time.h"

#include <optional>

namespace tamarack {

struct InstanceNotice
{
    /// Requests per second that the instance accepts from all daemons together. Applies until a
    /// response doesn't state it any more.
    std::optional<double> requestLimit_;
    /// The instance is about to stop.
    bool leaving_ = false;
    /// The instance accepts no request from this daemon for this long.
    std::optional<Millis> retryAfter_;
    /// The instance stays cold for this long.
    std::optional<Millis> coldRemaining_ {};
    /// The instance fails if it has to refuse more than this many requests in a second, of all
    /// daemons together, because it has no room. Applies until a response doesn't state it any
    /// more.
    std::optional<double> maxRefusals_ {};

    bool operator==(const InstanceNotice &) const = default;
};

} // namespace tamarack
