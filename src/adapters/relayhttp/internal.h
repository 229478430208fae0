// Functions shared by the source files of the front end, grouped by the file that defines them.
// Internal to the front end.
#pragma once

#include "adapters/relayhttp/boottime.h"
#include "adapters/relayhttp/frontendstate.h"

#include <functional>
#include <string_view>

namespace tamarack::frontend {

/// The epoll event ids below this one identify the wakeup event and the listeners; from here on
/// they are connection ids.
inline constexpr std::uint64_t firstConnectionId = 16;
inline constexpr std::uint64_t wakeupEventId = 0;
inline constexpr std::uint64_t clientListenerEventId = 1;
inline constexpr std::uint64_t localListenerEventId = 2;
inline constexpr std::uint64_t handoverListenerEventId = 3;

// sockets.cpp

/// @brief Registers a socket with epoll, or changes the events reported for it.
void updateInterest(FrontendState &state, SocketChannel &channel, std::uint32_t interest);

void setDeadline(FrontendState &state, SocketChannel &channel, std::optional<MonoTime> deadline);

enum class SendStatus {
    Sent,
    Blocked,
    Failed,
};

/// @brief Sends queued bytes until the queue is empty or the socket would block, and counts them.
SendStatus flush(FrontendState &state, SocketChannel &channel);

enum class ReceiveStatus {
    Received,
    Blocked,
    /// The peer has ended the connection in an orderly way.
    Ended,
    /// The connection was reset or lost.
    Failed,
};

/// @brief Receives once without blocking, appends the data to @a bytes and counts it.
ReceiveStatus receive(FrontendState &state, const SocketChannel &channel, std::string &bytes);

/// @brief Opens a non-blocking listening socket.
/// @param address "IP:port"
/// @return an error with id tamarack.front.101 if the address is invalid or can't be bound, or
/// tamarack.front.102 if another process listens on it
Result<Descriptor> openListener(const std::string &address, int backlog);

/// @brief Starts a non-blocking connect to "IP:port".
/// @return an empty descriptor if the address is invalid or the connect failed immediately
Descriptor startConnect(const std::string &address, Millis tcpUserTimeout);

/// @brief Sets the TCP options of a client or upstream connection. Failures are ignored.
void setTcpOptions(int fd, Millis tcpUserTimeout);

// clients.cpp

/// @brief Resumes reading a request that waited for memory.
void resumeRequest(FrontendState &state, ClientConnection &client);

/// @brief Receives what a client has sent and parses it.
/// @return false if the connection was closed
bool receiveFromClient(FrontendState &state, ClientConnection &client);

void onClientEvent(FrontendState &state, ClientConnection &client, std::uint32_t events);
void onClientDeadline(FrontendState &state, ClientConnection &client);
void closeClient(FrontendState &state, ConnectionId id);
/// @brief Queues bytes for a client and sends as many as the socket accepts.
void sendToClient(FrontendState &state, ClientConnection &client, std::string_view bytes);

/// @brief Ends the client's exchange after its complete response was queued. Reads the next request
/// once the response is sent.
void completeResponse(FrontendState &state, ClientConnection &client);

/// @brief Queues a response that the relay generates itself, and ends the client's exchange.
/// @param unable this daemon can serve no request now, which another daemon is told
void sendLocalResponse(FrontendState &state, ClientConnection &client, int status,
                       const LocalResponse &response, std::optional<Millis> retryAfter,
                       bool unable = false);

// accepting.cpp

enum class ListenerKind {
    Clients,
    /// Readiness and metrics.
    Local,
    /// Other daemons, which hand requests over.
    Handover,
};

/// @brief Accepts connections. If the limit on client connections is reached, closes the longest
/// idle one for each.
/// @param maxCount maximum number of connections to accept
void acceptClients(FrontendState &state, ListenerKind kind, std::size_t maxCount);

/// @brief Pauses accepting while memory is used up, or the limit on client connections is reached
/// and none is idle.
void updateAccepting(FrontendState &state);

/// @brief Records that a connection has become idle, or isn't idle any more.
void markIdle(FrontendState &state, ClientConnection &client);
void unmarkIdle(FrontendState &state, ClientConnection &client);

/// @brief Closes all idle connections of the client listener.
void closeIdleClients(FrontendState &state);

/// @brief Notes that the socket of a client accepts no more bytes now. A client that goes on to
/// read nothing is cut off at its deadline.
void awaitReader(FrontendState &state, ClientConnection &client);

/// @brief Cuts off a client that has read nothing since awaitReader(), if its memory is needed or
/// it keeps an upstream from sending.
void onReaderDeadline(FrontendState &state, ClientConnection &client);

// memory.cpp

/// @brief Reserves memory for the rest of a request whose head was read. Pauses reading if there is
/// none, because the kernel then stops the client from sending.
void reserveMemory(FrontendState &state, ClientConnection &client, const RequestProgress &progress);

/// @brief Pauses reading from a client until @a needed bytes can be reserved for its request.
void awaitMemory(FrontendState &state, ClientConnection &client, std::size_t needed);

/// @brief Returns whether nothing more may be read from clients, because requests and responses or
/// the events for the control thread take too much memory.
bool isMemoryFull(const FrontendState &state);

/// @brief Refuses a request that got no memory in time.
void refuseForMemory(FrontendState &state, ClientConnection &client);

/// @brief Reads on from clients whose request body now has memory, in order of arrival.
void resumeAwaitingMemory(FrontendState &state);

/// @brief Frees what was received of a request that will not be served. The connection is closed
/// after the response.
void discardRequest(ClientConnection &client);

/// @brief The parts of an exchange, by id because any of them may end while an event is handled.
struct RelatedIds
{
    ConnectionId client_;
    ConnectionId upstream_;
    ExchangeId exchange_;
};

RelatedIds relatedIds(const FrontendState &state, ExchangeId id);
RelatedIds relatedIds(const FrontendState &state, ConnectionId id);

/// @brief Updates the shares of the budget to what is buffered now.
void countBuffers(FrontendState &state, const RelatedIds &related);

// requesthead.cpp

/// @brief Returns the head of an exchange's request for its current attempt.
std::string formatRequestHead(const FrontendState &state, const ClientExchange &exchange);

// relayedrequest.cpp

/// @brief Returns what routing decisions use of a request.
/// @param fromPeer another daemon handed the request over
RelayRequest makeRelayRequest(const HttpRequest &request, const ClientExchange &exchange,
                              const HeaderNames &names, bool fromPeer);

/// @brief Returns the time for which the client waits, if the request says so.
std::optional<Millis> clientTimeout(const HttpRequest &request, const HeaderNames &names);

/// @brief Returns a field that occurs more than once although decisions are based on its value, or
/// an empty string. The upstream could use another one of the values.
std::string doubledField(const HttpRequest &request, const HeaderNames &names);

// upstreams.cpp

void sendAttempt(FrontendState &state, ClientExchange &exchange, const SendAttempt &attempt);

/// @brief Opens a connection to an instance without a request, and posts InstanceProbed.
void probeInstance(FrontendState &state, const ProbeInstance &probe);
void onUpstreamEvent(FrontendState &state, UpstreamConnection &upstream, std::uint32_t events);
void onUpstreamDeadline(FrontendState &state, UpstreamConnection &upstream);
void closeUpstream(FrontendState &state, ConnectionId id);

/// @brief Cancels the current attempt by closing its upstream connection.
void cancelAttempt(FrontendState &state, ClientExchange &exchange);

/// @brief Ends the attempt of an exchange whose client has left at the request's deadline, at which
/// the upstream stops as well, and frees its body once it was sent. No client and no command would
/// end it otherwise.
void limitAbandonedAttempt(FrontendState &state, ClientExchange &exchange);

/// @brief Closes all idle upstream connections. Called after a suspension, because the upstreams
/// may have dropped them meanwhile.
void closeIdleUpstreams(FrontendState &state);

/// @brief Resumes reading from the upstream of an exchange if it was paused for flow control.
void resumeReading(FrontendState &state, const ClientExchange &exchange);

// responses.cpp

/// @brief Handles the head of an upstream's response.
/// @return false if the response belongs to another request
bool onResponseHead(FrontendState &state, UpstreamConnection &upstream, ClientExchange &exchange);

/// @brief Handles a part of the response body.
/// @return false if the response or an event exceeds its maximum size
bool onResponseBody(FrontendState &state, ClientExchange &exchange, const std::string &body);

/// @brief Returns true if the bytes received so far end inside an event of a stream.
bool endsInsideEvent(const ClientExchange &exchange);

/// @brief Handles the end of a complete response.
void onResponseEnd(FrontendState &state, ClientExchange &exchange);

/// @brief Reports a failed attempt to the control thread.
/// @param connectionsUsed no connection was tried, because this daemon has as many as it may
void reportAttemptEnd(FrontendState &state, ClientExchange &exchange, AttemptEnd end,
                      std::string detail, bool connectionsUsed = false);

/// @brief Ends a response as the control thread has decided. The decision may have been made before
/// the response began to be sent: its remainder is cut off then, so that the client detects the
/// truncation. Does nothing if the client has left or the response is complete.
/// @param respond queues a complete response and ends the exchange; called if nothing was sent yet
void endClientResponse(FrontendState &state, ExchangeId id,
                       const std::function<void(ClientExchange &, ClientConnection &)> &respond);

/// @brief Returns whether the response of another attempt may follow what the client was sent.
bool mayRestartResponse(const ClientExchange &exchange);

/// @brief Returns whether the client was sent events of another software version than the one that
/// an attempt is for.
bool beganElsewhere(const ClientExchange &exchange, const SendAttempt &attempt);

/// @brief Forwards the buffered response to the client.
void forwardBufferedResponse(FrontendState &state, ClientExchange &exchange,
                             ClientConnection &client);

} // namespace tamarack::frontend
