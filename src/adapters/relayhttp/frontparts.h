// Parts of the front end that its source files share. Internal to the front end.
#pragma once

#include "adapters/relayhttp/frontstate.h"

#include <string_view>

namespace tamarack::front {

/// Numbers below this one belong to the inbox and the listeners.
inline constexpr std::uint64_t firstConnection = 16;
inline constexpr std::uint64_t inboxNumber = 0;
inline constexpr std::uint64_t clientListenerNumber = 1;
inline constexpr std::uint64_t localListenerNumber = 2;

// sockets.cpp

/// @brief Time on the clock that goes on while the machine is suspended.
std::chrono::nanoseconds bootTime();

/// @brief Adds a socket to epoll or changes what is reported for it.
void watch(FrontState &state, Endpoint &endpoint, std::uint32_t interest);

void setDeadline(FrontState &state, Endpoint &endpoint, std::optional<MonoTime> deadline);

enum class SendState {
    Sent,
    Blocked,
    Failed,
};

/// @brief Sends as much as the socket takes.
SendState flush(Endpoint &endpoint);

enum class ReceiveState {
    Received,
    Blocked,
    Ended,
    Failed,
};

/// @brief Receives once and appends to @a bytes.
ReceiveState receive(const Endpoint &endpoint, std::string &bytes);

/// @brief Opens a listening socket.
Result<Descriptor> listenOn(const std::string &address, int backlog);

/// @brief Starts to connect.
/// @return an empty descriptor if that failed at once
Descriptor startConnect(const std::string &address, Millis unackedLimit);

/// @brief Sets the options of an accepted connection.
void setClientOptions(int fd, Millis unackedLimit);

// clients.cpp

void acceptClients(FrontState &state, bool local);
void onClientEvent(FrontState &state, ClientConnection &client, std::uint32_t events);
void onClientDeadline(FrontState &state, ClientConnection &client);
void closeClient(FrontState &state, ConnectionId id);
void closeIdleClients(FrontState &state);

/// @brief Appends bytes to what a client gets and sends them.
void sendToClient(FrontState &state, ClientConnection &client, std::string_view bytes);

/// @brief Ends the exchange of a client whose answer is complete and reads its next request.
void completeAnswer(FrontState &state, ClientConnection &client);

/// @brief Sends an answer of the relay itself.
void answerLocally(FrontState &state, ClientConnection &client, int status,
                   const LocalResponse &answer, std::optional<Millis> retryAfter);

// upstreams.cpp

void sendAttempt(FrontState &state, Exchange &exchange, const SendAttempt &attempt);
void onUpstreamEvent(FrontState &state, UpstreamConnection &upstream, std::uint32_t events);
void onUpstreamDeadline(FrontState &state, UpstreamConnection &upstream);
void closeUpstream(FrontState &state, ConnectionId id);

/// @brief Closes the connection of an attempt, which ends the work on it.
void cancelAttempt(FrontState &state, Exchange &exchange);

/// @brief Closes all idle connections, because they may be dead after a suspension.
void closeIdleUpstreams(FrontState &state);

/// @brief Goes on reading what a client can take again.
void resumeUpstream(FrontState &state, const Exchange &exchange);

// answers.cpp

/// @brief Handles the head of an answer.
/// @return false if the connection cannot be read on
bool onAnswerHead(FrontState &state, UpstreamConnection &upstream, Exchange &exchange);

/// @brief Handles bytes of the body.
void onAnswerBody(FrontState &state, Exchange &exchange, const std::string &body);

/// @brief Handles the complete end of an answer.
void onAnswerEnd(FrontState &state, Exchange &exchange);

/// @brief Reports an attempt that failed.
void reportEnd(FrontState &state, Exchange &exchange, AttemptEnd end, std::string detail);

/// @brief Sends the held-back answer.
void passOnAnswer(FrontState &state, Exchange &exchange);

/// @brief Ends a begun answer so that the client sees that it is cut.
void cutAnswer(FrontState &state, Exchange &exchange);

} // namespace tamarack::front
