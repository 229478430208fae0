// The port to other daemons.
#pragma once

#include "core/command.h"

#include <functional>

namespace tamarack {

/// @brief Sends messages to other daemons. Never blocks; safe to call from any thread.
struct PeerPort
{
    /// A message that does not fit into the queue of its peer is dropped.
    std::function<void(SendPeer)> send_;
};

} // namespace tamarack
