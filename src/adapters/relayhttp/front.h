// The front end: one traffic thread that moves bytes between clients and upstream instances and
// blocks in epoll_wait while there is nothing to move.
#pragma once

#include "adapters/relayhttp/headernames.h"

#include "core/error.h"
#include "core/time.h"
#include "ports/relay.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// @brief The answer of a local page such as readiness or metrics.
struct LocalResponse
{
    int status_ = 404;
    std::string contentType_ = "text/plain";
    std::string body_;
};

struct FrontendSettings
{
    /// "IP:port" for clients.
    std::string clientAddress_;
    /// "IP:port" for the local pages.
    std::string localAddress_;
    HeaderNames headers_;
    /// Further connections of clients are left in the listen queue.
    std::size_t maxClients_ = 1500;
    /// Connections of clients and upstreams that wait to be accepted.
    int listenBacklog_ = 512;
    /// An answer that is not a stream is held up to this size, so that a request whose answer
    /// breaks off can be repeated.
    std::size_t heldAnswerBytes_ = 256U << 10U;
    /// Reading from an upstream pauses while this much waits for its client.
    std::size_t clientBacklogBytes_ = 256U << 10U;
    /// A closing connection is read and discarded for this long, so that the client gets the answer
    /// before the reset that unread bytes cause.
    Millis lingerLimit_ {1000};
    /// Time without acknowledgement after which the kernel gives up a connection.
    Millis unackedLimit_ {2500};
    /// Idle time after which an upstream's connection is used again, as a share of its own
    /// time-out.
    double idleReuseShare_ = 0.5;
    /// The same for requests that run once, which can't be sent again if the connection is gone.
    double idleReuseShareOnce_ = 0.25;
    /// Longest idle time for requests that run once.
    Millis idleReuseOnce_ {1000};
    /// Idle time-out of an upstream that names none.
    Millis assumedKeepAlive_ {4000};
};

/// @brief Answers a local page by its path. Called on the traffic thread.
using LocalHandler = std::function<LocalResponse(const std::string &path)>;

struct FrontState;

/// @brief A running front end.
struct Frontend
{
    std::shared_ptr<FrontState> state_;
};

/// @brief Listens on both addresses and starts the traffic thread.
/// @return an error with id tamarack.front.101 if an address can't be listened on
Result<Frontend> startFrontend(FrontendSettings settings, RelayEventPort events,
                               LocalHandler pages);

/// @brief Returns the port to send commands with.
RelayFrontendPort frontendPort(const Frontend &front);

/// @brief Ends the traffic thread and closes all connections.
void stopFrontend(Frontend &front);

} // namespace tamarack
