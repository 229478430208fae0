// The port to other daemons.
#pragma once

#include "core/command.h"

#include <functional>

namespace tamarack {

/// @brief Sends messages to other daemons. Never blocks; safe to call from any thread.
struct PeerPort
{
    /// Queues a message. Drops it if the queue of the peer is full.
    std::function<void(SendPeer)> send_;
};

} // namespace tamarack
