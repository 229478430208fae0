// One connection to an upstream with its receive buffer. Internal to the HTTP adapter.
#pragma once

#include "core/time.h"

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <optional>
#include <string>

namespace tamarack {

/// @brief How an attempt to receive bytes ended.
enum class IoStatus {
    Ok,
    /// The peer closed the connection in an orderly way.
    Closed,
    IdleTimeout,
    DeadlineExceeded,
    CallerDisconnected,
    /// The connection failed.
    ConnectionError,
    /// The bytes violate the protocol or a limit.
    Malformed,
};

/// @brief Returns a text for the log.
const char *ioStatusText(IoStatus status);

/// @brief How long to wait for bytes.
struct ReadLimits
{
    Millis idleTimeout_ {};
    std::optional<MonoTime> deadline_;
    /// Descriptor whose hang-up ends the wait; -1 for none.
    int callerSocket_ = -1;
    /// Asked after each silence; true goes on waiting. May be empty.
    std::function<bool()> continueAfterTimeout_;
};

/// @brief A connection. Bytes of buffer_ before readPosition_ are consumed.
struct Connection
{
    Poco::Net::StreamSocket socket_;
    std::string buffer_;
    std::size_t readPosition_ = 0;
    /// An earlier exchange used the connection.
    bool idle_ = false;
};

/// @brief Connects to "IP:port".
/// @param detail receives what failed
std::optional<Connection> connectTo(const std::string &address, Millis limit, std::string &detail);

/// @brief Sends all of @a bytes.
/// @return Data, Silent if the peer did not take them within @a limit, or Broken
IoStatus sendAll(Connection &connection, const std::string &bytes, Millis limit);

/// @brief Waits for bytes and appends them to the buffer.
IoStatus receiveMore(Connection &connection, const ReadLimits &limits);

/// @brief Number of received bytes that are not consumed.
std::size_t availableBytes(const Connection &connection);

/// @brief Reads one line without its end.
/// @param maxBytes a longer line is Malformed
IoStatus readLine(Connection &connection, const ReadLimits &limits, std::size_t maxBytes,
                  std::string &line);

} // namespace tamarack
