// ZeroMQ sockets between daemons: a ROUTER socket that listens and a DEALER socket for each peer
// that messages are sent to. Source: ZeroMQ manual, zmq_socket(3) and zmq_setsockopt(3),
// version 4.3.
#pragma once

#include "core/command.h"
#include "core/error.h"
#include "ports/ports.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tamarack {

struct PeerSettings
{
    HostId host_;
    /// "IP:port" to listen on.
    std::string address_;
    /// Maximum size of a message. A connection that receives a larger one is closed.
    std::size_t maxMessageBytes_ = 1U << 20U;
    /// Capacity in messages of each peer's queue and, separately, of the socket thread's queue.
    std::size_t maxQueuedMessages_ = 1000;
    /// Maximum number of open connections to peers. The least recently used one is closed for a new
    /// one.
    std::size_t maxConnections_ = 1024;
    /// Minimum time between two log lines about dropped messages.
    Millis logInterval_ {10'000};
    /// Initial delay before a reconnect; it doubles up to reconnectMax_.
    Millis reconnectMin_ {100};
    Millis reconnectMax_ {2000};
    /// Maximum time to send queued messages after a stop.
    Millis linger_ {500};
};

struct PeerSocketState;

/// @brief Handle of a running socket thread.
struct PeerSocket
{
    std::shared_ptr<PeerSocketState> state_;
};

/// @brief Opens the listener and starts the socket thread. Received messages are posted as
/// PeerMessageReceived.
/// @return an error with id tamarack.peers.201 if the listener cannot be opened, or
/// tamarack.peers.202 if another process listens on its address
Result<PeerSocket> startPeerSocket(PeerSettings settings, EventPort events, LogPort log);

/// @brief Returns the port that sends messages. After stopPeerSocket() it has no effect.
PeerPort peerPort(const PeerSocket &socket);

/// @brief Stops the socket thread. Queued messages are sent within PeerSettings::linger_ or lost.
void stopPeerSocket(PeerSocket &socket);

} // namespace tamarack
