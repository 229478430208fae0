// The relay's HTTP front end. One traffic thread forwards bytes between clients and upstream
// instances; it blocks in epoll_wait while no socket is ready.
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

/// @brief A response that the relay generates itself, for example to a readiness or metrics
/// request.
struct LocalResponse
{
    int status_ = 404;
    std::string contentType_ = "text/plain";
    std::string body_;
};

struct FrontendSettings
{
    /// "IP:port" of the listener for clients.
    std::string clientAddress_;
    /// "IP:port" of the local listener, which serves readiness and metrics.
    std::string localAddress_;
    /// "IP:port" of the listener for requests that other daemons hand over; empty if there is none.
    std::string handoverAddress_ {};
    HeaderNames headers_;
    /// Client connections above this number stay in the listen queue, unless an idle one can be
    /// closed.
    std::size_t maxClients_ = 1500;
    /// Maximum number of connections to all upstreams together. An attempt that would need another
    /// one is not sent.
    std::size_t maxUpstreams_ = 1500;
    /// Maximum number of connections of the local listener; others are closed at once.
    std::size_t maxLocalClients_ = 32;
    /// Backlog of each listening socket.
    int listenBacklog_ = 512;
    /// A response that is not a stream is buffered up to this size, so that the request can be
    /// retried if the response is truncated. A failure, or a response that belongs to another
    /// request, is malformed if it is larger.
    std::size_t maxBufferedResponseBytes_ = 256U << 10U;
    /// Maximum size of one event of a stream.
    std::size_t maxEventBytes_ = 256U << 10U;
    /// Reading from an upstream pauses while this many bytes are queued for its client.
    std::size_t maxClientBufferBytes_ = 256U << 10U;
    /// Maximum number of bytes that all connections buffer together; 0 if there is no limit.
    std::size_t maxBufferedBytes_ = 0;
    /// Bodies up to this size are received without a reservation.
    std::size_t unreservedBodyBytes_ = 64U << 10U;
    /// How long a client waits for memory for its body before its request is refused. Clients give
    /// up a request that isn't read after a second, or a third of their time.
    Millis memoryWaitTimeout_ {700};
    /// Retry-After of such a refusal.
    Millis memoryRetryAfter_ {500};
    /// A client that has read nothing of its response for this long is cut off while memory is
    /// short or the limit on connections is reached.
    Millis unreadTimeoutInShortage_ {3000};
    /// The same while its upstream is kept from sending the rest of the response.
    Millis unreadTimeout_ {10'000};
    /// After the last response, input is read and discarded for this long: closing a socket with
    /// unread input sends a reset, which can destroy a response that the client has not read yet.
    Millis lingerTimeout_ {1000};
    /// TCP_USER_TIMEOUT: time without acknowledgement, also of keep-alive probes, after which the
    /// kernel closes a connection.
    Millis tcpUserTimeout_ {2500};
    /// A pooled connection is reused up to this fraction of the upstream's keep-alive timeout.
    double idleReuseFraction_ = 0.5;
    /// The same for requests that must not run twice: they can't be retried if the upstream has
    /// closed the connection meanwhile.
    double idleReuseFractionNonRetryable_ = 0.25;
    /// Maximum idle time of a pooled connection for requests that must not run twice.
    Millis maxIdleReuseNonRetryable_ {1000};
    /// Keep-alive timeout of an upstream that sends no Keep-Alive field.
    Millis defaultKeepAlive_ {4000};
};

/// @brief Handles a request to the local listener, given its path. Called on the traffic thread.
using LocalHandler = std::function<LocalResponse(const std::string &path)>;

struct FrontendState;

/// @brief Handle of a running front end.
struct Frontend
{
    std::shared_ptr<FrontendState> state_;
};

/// @brief Opens the listeners and starts the traffic thread.
/// @return an error with id tamarack.front.101 if an address is invalid or can't be bound, or
/// tamarack.front.102 if another process listens on it
Result<Frontend> startFrontend(FrontendSettings settings, RelayEventPort events,
                               LocalHandler pages);

/// @brief Returns a port that queues commands for the traffic thread.
RelayFrontendPort frontendPort(const Frontend &frontend);

/// @brief Returns the bytes of requests and responses since the start. Safe to call from any
/// thread.
TrafficTotals trafficTotals(const Frontend &frontend);

/// @brief Returns the memory that requests and responses take. Safe to call from any thread.
BufferUsage bufferUsage(const Frontend &frontend);

/// @brief Stops and joins the traffic thread. Connections are closed when the last reference to the
/// front end's state is released.
void stopFrontend(Frontend &frontend);

} // namespace tamarack
