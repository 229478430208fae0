// Parts of the front end that its source files share. Internal to the front end.
#pragma once

#include "adapters/relayhttp/frontendstate.h"

#include <string_view>

namespace tamarack::frontend {

/// Numbers below this one belong to the inbox and the listeners.
inline constexpr std::uint64_t firstConnectionId = 16;
inline constexpr std::uint64_t wakeupEventId = 0;
inline constexpr std::uint64_t clientListenerEventId = 1;
inline constexpr std::uint64_t localListenerEventId = 2;

// sockets.cpp

/// @brief Time on the clock that goes on while the machine is suspended.
std::chrono::nanoseconds bootTime();

/// @brief Adds a socket to epoll or changes what is reported for it.
void updateInterest(FrontendState &state, SocketChannel &channel, std::uint32_t interest);

void setDeadline(FrontendState &state, SocketChannel &channel, std::optional<MonoTime> deadline);

enum class SendStatus {
    Sent,
    Blocked,
    Failed,
};

/// @brief Sends as much as the socket takes.
SendStatus flush(SocketChannel &channel);

enum class ReceiveStatus {
    Received,
    Blocked,
    Ended,
    Failed,
};

/// @brief Receives once and appends to @a bytes.
ReceiveStatus receive(const SocketChannel &channel, std::string &bytes);

/// @brief Opens a listening socket.
Result<Descriptor> openListener(const std::string &address, int backlog);

/// @brief Starts to connect.
/// @return an empty descriptor if that failed at once
Descriptor startConnect(const std::string &address, Millis tcpUserTimeout);

/// @brief Sets the options of an accepted connection.
void setTcpOptions(int fd, Millis tcpUserTimeout);

// clients.cpp

void acceptClients(FrontendState &state, bool local);
void onClientEvent(FrontendState &state, ClientConnection &client, std::uint32_t events);
void onClientDeadline(FrontendState &state, ClientConnection &client);
void closeClient(FrontendState &state, ConnectionId id);
void closeIdleClients(FrontendState &state);

/// @brief Appends bytes to what a client gets and sends them.
void sendToClient(FrontendState &state, ClientConnection &client, std::string_view bytes);

/// @brief Ends the exchange of a client whose answer is complete and reads its next request.
void completeResponse(FrontendState &state, ClientConnection &client);

/// @brief Sends an answer of the relay itself.
void sendLocalResponse(FrontendState &state, ClientConnection &client, int status,
                       const LocalAnswer &answer, std::optional<Millis> retryAfter);

// upstreams.cpp

void sendAttempt(FrontendState &state, Exchange &exchange, const SendAttempt &attempt);
void onUpstreamEvent(FrontendState &state, UpstreamConnection &upstream, std::uint32_t events);
void onUpstreamDeadline(FrontendState &state, UpstreamConnection &upstream);
void closeUpstream(FrontendState &state, ConnectionId id);

/// @brief Closes the connection of an attempt, which ends the work on it.
void cancelAttempt(FrontendState &state, Exchange &exchange);

/// @brief Closes all idle connections, because they may be dead after a suspension.
void closeIdleUpstreams(FrontendState &state);

/// @brief Goes on reading what a client can take again.
void resumeReading(FrontendState &state, const Exchange &exchange);

// answers.cpp

/// @brief Handles the head of an answer.
/// @return false if the connection cannot be read on
bool onResponseHead(FrontendState &state, UpstreamConnection &upstream, Exchange &exchange);

/// @brief Handles bytes of the body.
void onResponseBody(FrontendState &state, Exchange &exchange, const std::string &body);

/// @brief Handles the complete end of an answer.
void onResponseEnd(FrontendState &state, Exchange &exchange);

/// @brief Reports an attempt that failed.
void reportAttemptEnd(FrontendState &state, Exchange &exchange, AttemptEnd end, std::string detail);

/// @brief Sends the held-back answer.
void forwardBufferedResponse(FrontendState &state, Exchange &exchange);

/// @brief Ends a begun answer so that the client sees that it is cut.
void abortResponse(FrontendState &state, Exchange &exchange);

} // namespace tamarack::frontend
