// One connection to an upstream with its receive buffer.
#include "adapters/http/connection.h"

#include "adapters/http/address.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace tamarack {

namespace {

constexpr std::size_t receiveBytes = 16U << 10U;
/// Keepalive probes find a path that lost the connection's state while an engine computes: after 5
/// s of silence one probe each 2 s, and the connection counts as broken after three without answer.
constexpr int keepAliveIdleSeconds = 5;
constexpr int keepAliveIntervalSeconds = 2;
constexpr int keepAliveProbes = 3;

void setOption(Poco::Net::StreamSocket &socket, int option, int value)
{
    socket.setOption(IPPROTO_TCP, option, value);
}

/// Drops consumed bytes, so that the buffer does not grow with the answer.
void compact(Connection &connection)
{
    connection.buffer_.erase(0, connection.position_);
    connection.position_ = 0;
}

Receipt receiveNow(Connection &connection)
{
    compact(connection);
    const std::size_t size = connection.buffer_.size();
    connection.buffer_.resize(size + receiveBytes);
    const ssize_t count = ::recv(connection.socket_.impl()->sockfd(),
                                 connection.buffer_.data() + size, receiveBytes, 0);
    connection.buffer_.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count > 0)
        return Receipt::Data;
    return count == 0 ? Receipt::Closed : Receipt::Broken;
}

/// Time until the earlier of silence limit and deadline.
Millis waitTime(const WaitLimits &limits, MonoTime now, MonoTime silentAt)
{
    const MonoTime end = limits.deadline_ ? std::min(*limits.deadline_, silentAt) : silentAt;
    return std::max(Millis {0}, std::chrono::ceil<Millis>(end - now));
}

} // namespace

const char *receiptText(Receipt receipt)
{
    switch (receipt) {
    case Receipt::Data:
        return "data";
    case Receipt::Closed:
        return "the upstream closed the connection before the end of its answer";
    case Receipt::Silent:
        return "the upstream stayed silent";
    case Receipt::DeadlinePassed:
        return "the caller's deadline passed";
    case Receipt::CallerGone:
        return "the caller went away";
    case Receipt::Broken:
        return "the connection failed";
    case Receipt::Malformed:
        break;
    }
    return "the answer violates the protocol or a size limit";
}

std::optional<Connection> connectTo(const std::string &address, Millis limit, std::string &detail)
{
    try {
        Connection connection;
        connection.socket_.connect(Poco::Net::SocketAddress(address), toTimespan(limit));
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

Receipt sendAll(Connection &connection, const std::string &bytes, Millis limit)
{
    try {
        connection.socket_.setSendTimeout(toTimespan(limit));
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const std::size_t rest = std::min(bytes.size() - sent, std::size_t {1U << 20U});
            sent += static_cast<std::size_t>(connection.socket_.sendBytes(
                bytes.data() + sent, static_cast<int>(rest), MSG_NOSIGNAL));
        }
        return Receipt::Data;
    } catch (const Poco::TimeoutException &) {
        return Receipt::Silent;
    } catch (const Poco::Exception &) {
        return Receipt::Broken;
    }
}

Receipt receiveMore(Connection &connection, const WaitLimits &limits)
{
    MonoTime silentAt = std::chrono::steady_clock::now() + limits.silence_;
    while (true) {
        std::array<pollfd, 2> waits {pollfd {connection.socket_.impl()->sockfd(), POLLIN, 0},
                                     pollfd {limits.callerSocket_, POLLRDHUP, 0}};
        const MonoTime now = std::chrono::steady_clock::now();
        const int ready = ::poll(waits.data(), waits.size(),
                                 static_cast<int>(waitTime(limits, now, silentAt).count()));
        if (ready < 0 && errno != EINTR)
            return Receipt::Broken;
        if (waits[0].revents != 0)
            return receiveNow(connection);
        if (waits[1].revents != 0)
            return Receipt::CallerGone;
        const MonoTime later = std::chrono::steady_clock::now();
        if (limits.deadline_ && later >= *limits.deadline_)
            return Receipt::DeadlinePassed;
        if (later < silentAt)
            continue;
        if (!limits.mayWaitOn_ || !limits.mayWaitOn_())
            return Receipt::Silent;
        silentAt = std::chrono::steady_clock::now() + limits.silence_;
    }
}

std::size_t available(const Connection &connection)
{
    return connection.buffer_.size() - connection.position_;
}

Receipt readLine(Connection &connection, const WaitLimits &limits, std::size_t maxBytes,
                 std::string &line)
{
    std::size_t searched = 0;
    while (true) {
        const std::size_t end = connection.buffer_.find('\n', connection.position_ + searched);
        if (end != std::string::npos) {
            line = connection.buffer_.substr(connection.position_, end - connection.position_);
            connection.position_ = end + 1;
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            return Receipt::Data;
        }
        searched = available(connection);
        if (searched > maxBytes)
            return Receipt::Malformed;
        const Receipt receipt = receiveMore(connection, limits);
        if (receipt != Receipt::Data)
            return receipt;
    }
}

} // namespace tamarack
