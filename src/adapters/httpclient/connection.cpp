// A buffered connection to a server.
#include "adapters/httpclient/connection.h"

#include "adapters/httpclient/timespan.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <sstream>

namespace tamarack {

namespace {

constexpr std::size_t receiveBufferBytes = 16U << 10U;
/// TCP keepalive detects a network path that dropped the connection's state while an engine is
/// computing. After 5 s without traffic a probe is sent every 2 s, and the connection fails after
/// three unanswered probes.
constexpr int keepAliveIdleSeconds = 5;
constexpr int keepAliveIntervalSeconds = 2;
constexpr int keepAliveProbes = 3;

void setOption(Poco::Net::StreamSocket &socket, int option, int value)
{
    socket.setOption(IPPROTO_TCP, option, value);
}

/// Removes consumed bytes, so that the buffer does not grow with the response.
void compact(Connection &connection)
{
    connection.buffer_.erase(0, connection.readPosition_);
    connection.readPosition_ = 0;
}

IoStatus receiveNow(Connection &connection)
{
    compact(connection);
    const std::size_t size = connection.buffer_.size();
    connection.buffer_.resize(size + receiveBufferBytes);
    const ssize_t count = ::recv(connection.socket_.impl()->sockfd(),
                                 connection.buffer_.data() + size, receiveBufferBytes, 0);
    connection.buffer_.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count > 0)
        return IoStatus::Ok;
    return count == 0 ? IoStatus::Closed : IoStatus::ConnectionError;
}

/// Returns the time until the idle timeout or the deadline, whichever is earlier.
Millis waitTime(const ReadLimits &limits, MonoTime now, MonoTime idleDeadline)
{
    const MonoTime end
        = limits.deadline_ ? std::min(*limits.deadline_, idleDeadline) : idleDeadline;
    return std::max(Millis {0}, std::chrono::ceil<Millis>(end - now));
}

} // namespace

const char *ioStatusText(IoStatus status)
{
    switch (status) {
    case IoStatus::Ok:
        return "data";
    case IoStatus::Closed:
        return "the connection was closed before the end of the response";
    case IoStatus::IdleTimeout:
        return "no data arrived within the idle timeout";
    case IoStatus::DeadlineExceeded:
        return "the caller's deadline was exceeded";
    case IoStatus::CallerDisconnected:
        return "the caller disconnected";
    case IoStatus::ConnectionError:
        return "the connection failed";
    case IoStatus::Malformed:
        break;
    }
    return "the response violates the protocol or a size limit";
}

std::optional<Connection> connectTo(const std::string &address, Millis timeout, std::string &detail)
{
    try {
        Connection connection;
        connection.socket_.connect(Poco::Net::SocketAddress(address), toTimespan(timeout));
        connection.socket_.setNoDelay(true);
        connection.socket_.setKeepAlive(true);
        setOption(connection.socket_, TCP_KEEPIDLE, keepAliveIdleSeconds);
        setOption(connection.socket_, TCP_KEEPINTVL, keepAliveIntervalSeconds);
        setOption(connection.socket_, TCP_KEEPCNT, keepAliveProbes);
        return connection;
    } catch (const Poco::Exception &error) {
        detail = error.displayText();
        return std::nullopt;
    }
}

std::string serialize(const Poco::Net::HTTPRequest &request, const std::string &body)
{
    std::ostringstream head;
    request.write(head);
    return head.str() + body;
}

IoStatus sendAll(Connection &connection, const std::string &bytes, Millis timeout)
{
    try {
        connection.socket_.setSendTimeout(toTimespan(timeout));
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const std::size_t rest = std::min(bytes.size() - sent, std::size_t {1U << 20U});
            sent += static_cast<std::size_t>(connection.socket_.sendBytes(
                bytes.data() + sent, static_cast<int>(rest), MSG_NOSIGNAL));
        }
        return IoStatus::Ok;
    } catch (const Poco::TimeoutException &) {
        return IoStatus::IdleTimeout;
    } catch (const Poco::Exception &) {
        return IoStatus::ConnectionError;
    }
}

IoStatus receiveMore(Connection &connection, const ReadLimits &limits)
{
    MonoTime idleDeadline = std::chrono::steady_clock::now() + limits.idleTimeout_;
    while (true) {
        std::array<pollfd, 2> pollFds {pollfd {connection.socket_.impl()->sockfd(), POLLIN, 0},
                                       pollfd {limits.callerSocket_, POLLRDHUP, 0}};
        const MonoTime now = std::chrono::steady_clock::now();
        const int ready = ::poll(pollFds.data(), pollFds.size(),
                                 static_cast<int>(waitTime(limits, now, idleDeadline).count()));
        if (ready < 0 && errno != EINTR)
            return IoStatus::ConnectionError;
        if (pollFds[0].revents != 0)
            return receiveNow(connection);
        if (pollFds[1].revents != 0)
            return IoStatus::CallerDisconnected;
        const MonoTime afterPoll = std::chrono::steady_clock::now();
        if (limits.deadline_ && afterPoll >= *limits.deadline_)
            return IoStatus::DeadlineExceeded;
        if (afterPoll < idleDeadline)
            continue;
        if (!limits.continueAfterTimeout_ || !limits.continueAfterTimeout_())
            return IoStatus::IdleTimeout;
        idleDeadline = std::chrono::steady_clock::now() + limits.idleTimeout_;
    }
}

std::size_t availableBytes(const Connection &connection)
{
    return connection.buffer_.size() - connection.readPosition_;
}

IoStatus readLine(Connection &connection, const ReadLimits &limits, std::size_t maxBytes,
                  std::string &line)
{
    std::size_t searched = 0;
    while (true) {
        const std::size_t end = connection.buffer_.find('\n', connection.readPosition_ + searched);
        if (end != std::string::npos) {
            line = connection.buffer_.substr(connection.readPosition_,
                                             end - connection.readPosition_);
            connection.readPosition_ = end + 1;
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            return IoStatus::Ok;
        }
        searched = availableBytes(connection);
        if (searched > maxBytes)
            return IoStatus::Malformed;
        const IoStatus status = receiveMore(connection, limits);
        if (status != IoStatus::Ok)
            return status;
    }
}

} // namespace tamarack
