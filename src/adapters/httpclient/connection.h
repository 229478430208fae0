// A buffered connection to a server.
#pragma once

#include "core/time.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <optional>
#include <string>

namespace tamarack {

/// @brief Outcome of a read or write on a connection.
enum class IoStatus {
    Ok,
    /// The peer closed the connection in an orderly way.
    Closed,
    IdleTimeout,
    DeadlineExceeded,
    CallerDisconnected,
    /// The connection failed.
    ConnectionError,
    /// The received bytes violate the protocol or exceed a limit.
    Malformed,
};

/// @brief Returns a description for the log.
const char *ioStatusText(IoStatus status);

/// @brief Limits on waiting for bytes.
struct ReadLimits
{
    Millis idleTimeout_ {};
    std::optional<MonoTime> deadline_;
    /// Descriptor of the caller's connection. The wait ends when the caller hangs up; -1 for none.
    int callerSocket_ = -1;
    /// Called after each idle timeout; returns true to continue waiting. May be empty.
    std::function<bool()> continueAfterTimeout_;
};

/// @brief A connection with its receive buffer. Bytes of buffer_ before readPosition_ are consumed.
struct Connection
{
    Poco::Net::StreamSocket socket_;
    std::string buffer_;
    std::size_t readPosition_ = 0;
    /// The connection has served an earlier exchange.
    bool reused_ = false;
};

/// @brief Connects to "IP:port" and enables TCP keepalive probes.
/// @param detail receives the reason if the connect fails
/// @return nothing if the connect fails
std::optional<Connection> connectTo(const std::string &address, Millis timeout,
                                    std::string &detail);

/// @brief Returns the bytes of a request, whose head must have the length of its body.
std::string serialize(const Poco::Net::HTTPRequest &request, const std::string &body);

/// @brief Sends all of @a bytes, blocking as long as the socket makes progress.
/// @return Ok, IdleTimeout if the peer accepted no bytes within @a timeout, or ConnectionError
IoStatus sendAll(Connection &connection, const std::string &bytes, Millis timeout);

/// @brief Waits until bytes arrive or a limit is reached, and appends received bytes to the buffer.
IoStatus receiveMore(Connection &connection, const ReadLimits &limits);

/// @brief Returns the number of received bytes that are not consumed.
std::size_t availableBytes(const Connection &connection);

/// @brief Reads one line and strips its line ending.
/// @param maxBytes a longer line is reported as Malformed
IoStatus readLine(Connection &connection, const ReadLimits &limits, std::size_t maxBytes,
                  std::string &line);

} // namespace tamarack
