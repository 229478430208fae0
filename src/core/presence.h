// The messages by which a daemon finds out whether another one still runs.
#pragma once

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief Asks another daemon whether it runs.
struct PresenceRequest
{
    /// "IP:port" that the reply is sent to.
    std::string replyAddress_;
};

/// @brief The sender of this reply runs.
struct PresenceReply
{
    /// The sender is stopping.
    bool leaving_ = false;
    /// Number of daemons in the fleet, including the sender, as far as it knows.
    std::uint32_t daemons_ = 1;
    /// The sender can serve no request now, for example because it reaches no instance.
    bool unable_ = false;
};

} // namespace tamarack
