// Socket and epoll functions of the front end. Source: Linux man-pages, epoll(7), tcp(7).
#include "adapters/relayhttp/internal.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <ctime>

namespace tamarack::frontend {

namespace {

constexpr std::size_t receiveBufferBytes = 16U << 10U;

/// A silent connection is probed once per second. TCP_USER_TIMEOUT decides when unanswered probes
/// close it, whatever their number, so TCP_KEEPCNT would have no effect.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;

std::optional<sockaddr_in> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        return std::nullopt;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
        return std::nullopt;
    return address;
}

void setOption(int fd, int level, int option, int value)
{
    // A missing option only delays the detection of dead connections, so the failure is ignored.
    (void)::setsockopt(fd, level, option, &value, sizeof value);
}

} // namespace

void updateInterest(FrontendState &state, SocketChannel &channel, std::uint32_t interest)
{
    if (channel.registered_ && channel.interest_ == interest)
        return;
    epoll_event event {};
    event.events = interest;
    event.data.u64 = channel.id_.value_;
    const int operation = channel.registered_ ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
    channel.interest_ = interest;
    if (::epoll_ctl(state.epoll_.fd_, operation, channel.socket_.fd_, &event) == 0) {
        channel.registered_ = true;
        return;
    }
    // Without events the connection would stay open unattended, so its deadline closes it.
    setDeadline(state, channel, std::chrono::steady_clock::now());
}

void setDeadline(FrontendState &state, SocketChannel &channel, std::optional<MonoTime> deadline)
{
    if (channel.deadline_)
        state.deadlines_.erase({*channel.deadline_, channel.id_});
    channel.deadline_ = deadline;
    if (deadline)
        state.deadlines_.emplace(*deadline, channel.id_);
}

SendStatus flush(FrontendState &state, SocketChannel &channel)
{
    OutputBuffer &out = channel.out_;
    while (out.sent_ < out.bytes_.size()) {
        const ssize_t sent = ::send(channel.socket_.fd_, out.bytes_.data() + out.sent_,
                                    out.bytes_.size() - out.sent_, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return SendStatus::Blocked;
        if (sent < 0) {
            // A reset gives EPIPE only if the end of the peer's side was received before it.
            if (channel.sendFailure_ == SendFailure::None)
                channel.sendFailure_
                    = errno == EPIPE ? SendFailure::AfterClose : SendFailure::Reset;
            return SendStatus::Failed;
        }
        out.sent_ += static_cast<std::size_t>(sent);
        state.sentBytes_ += static_cast<std::uint64_t>(sent);
    }
    // Keeps no capacity: thousands of idle connections would hold that of their largest response.
    std::string().swap(out.bytes_);
    out.sent_ = 0;
    return SendStatus::Sent;
}

ReceiveStatus receive(FrontendState &state, const SocketChannel &channel, std::string &bytes)
{
    std::array<char, receiveBufferBytes> buffer;
    while (true) {
        const ssize_t received
            = ::recv(channel.socket_.fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (received > 0) {
            bytes.append(buffer.data(), static_cast<std::size_t>(received));
            state.receivedBytes_ += static_cast<std::uint64_t>(received);
            return ReceiveStatus::Received;
        }
        if (received == 0)
            return channel.sendFailure_ == SendFailure::Reset ? ReceiveStatus::Failed
                                                              : ReceiveStatus::Ended;
        if (errno == EINTR)
            continue;
        return errno == EAGAIN || errno == EWOULDBLOCK ? ReceiveStatus::Blocked
                                                       : ReceiveStatus::Failed;
    }
}

Result<Descriptor> openListener(const std::string &address, int backlog)
{
    const auto problem = [&address](const char *call) {
        if (errno == EADDRINUSE)
            return fail(ErrorKind::AddressInUse, "tamarack.front.102",
                        fmt::format("another process listens on {}; stop it, or change the address "
                                    "in the settings",
                                    address));
        return fail(ErrorKind::ConnectionFailed, "tamarack.front.101",
                    fmt::format("can't listen on {}: {}: {}; check the address in the settings",
                                address, call, std::strerror(errno)));
    };
    const std::optional<sockaddr_in> parsed = parseAddress(address);
    if (!parsed) {
        errno = EINVAL;
        return problem("parse");
    }
    Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (socket.fd_ < 0)
        return problem("socket");
    setOption(socket.fd_, SOL_SOCKET, SO_REUSEADDR, 1);
    if (::bind(socket.fd_, reinterpret_cast<const sockaddr *>(&*parsed), sizeof *parsed) != 0)
        return problem("bind");
    if (::listen(socket.fd_, backlog) != 0)
        return problem("listen");
    return socket;
}

Descriptor startConnect(const std::string &address, Millis tcpUserTimeout)
{
    const std::optional<sockaddr_in> parsed = parseAddress(address);
    if (!parsed)
        return {};
    Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (socket.fd_ < 0)
        return {};
    setTcpOptions(socket.fd_, tcpUserTimeout);
    const int result
        = ::connect(socket.fd_, reinterpret_cast<const sockaddr *>(&*parsed), sizeof *parsed);
    if (result != 0 && errno != EINPROGRESS)
        return {};
    return socket;
}

void setTcpOptions(int fd, Millis tcpUserTimeout)
{
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(tcpUserTimeout.count()));
    setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
}

} // namespace tamarack::frontend
