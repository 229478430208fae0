// The messages by which a daemon obtains permission to send a request to an instance that has a
// request limit.
#pragma once

#include "core/instanceprocess.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace tamarack {

/// @brief Requests a permit for one request, and tells the receiver what the instance last stated.
struct PermitRequest
{
    /// "IP:port" that the reply is sent to.
    std::string replyAddress_;
    InstanceProcess process_;
    /// Identifies the reply.
    std::uint64_t number_ = 0;
    /// Requests per second that the instance accepts from all daemons together. Nothing if the
    /// instance has stopped stating a limit; the message requests no permit then.
    std::optional<double> limit_;
    /// Time since the instance stated this. A duration, because the clocks of hosts differ.
    Millis statedAge_ {};
    /// Set if the instance is cold: requests per second that it accepts from all daemons together
    /// meanwhile. limit_ is the smaller of the two limits then.
    std::optional<double> coldPerSecond_ {};
    /// Availability zone of a cold instance, whose entry the receiver may not have yet.
    ZoneId zone_ {};
};

enum class PermitResult {
    Granted,
    Denied,
    /// The receiver is stopping and grants nothing.
    Unavailable,
    /// The instance has stopped stating a limit since it stated it to the sender of the request.
    LimitEnded,
};

struct PermitReply
{
    InstanceProcess process_;
    std::uint64_t number_ = 0;
    PermitResult result_ = PermitResult::Denied;
    /// When a permit is expected to be available, if this one was denied.
    Millis retryAfter_ {};
};

} // namespace tamarack
