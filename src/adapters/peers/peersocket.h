// Sockets between daemons: one ROUTER that listens and one DEALER for each peer that is sent to.
// Source: ZeroMQ manual, zmq_socket(3) and zmq_setsockopt(3), version 4.3.
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
    /// Larger messages are refused; the connection they came on is closed.
    std::size_t maxMessageBytes_ = 1U << 20U;
    /// Messages that wait for one peer, and messages that wait for the socket thread.
    std::size_t queueMessages_ = 1000;
    /// Peers with an open connection; the one unused for longest is closed for a new one.
    std::size_t maxConnections_ = 1024;
    /// At most one log line for dropped or malformed messages in this time.
    Millis logInterval_ {10'000};
    /// Pause before a connection attempt is repeated; it doubles up to reconnectMax_.
    Millis reconnectMin_ {100};
    Millis reconnectMax_ {2000};
    /// At the end, the longest time for what is queued to reach the peers.
    Millis linger_ {500};
};

struct PeerSocketState;

/// @brief A running socket thread.
struct PeerSocket
{
    std::shared_ptr<PeerSocketState> state_;
};

/// @brief Listens and starts the socket thread. Received messages are posted as
/// PeerMessageReceived.
/// @return an error with id tamarack.peers.201 if the address can't be listened on
Result<PeerSocket> startPeerSocket(PeerSettings settings, EventPort events, LogPort log);

/// @brief Returns the port to send with. It may be used after stopPeerSocket() without effect.
PeerPort peerPort(const PeerSocket &socket);

/// @brief Sends what is queued as far as possible at once, then ends the thread.
void stopPeerSocket(PeerSocket &socket);

} // namespace tamarack
