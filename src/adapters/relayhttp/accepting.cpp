// Which client connections are accepted and kept: idle ones give way to new ones, and clients that
// read nothing of their response are cut off while they hold what others need.
#include "adapters/relayhttp/internal.h"

#include <linux/sockios.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace tamarack::frontend {

namespace {

constexpr std::uint32_t readInterest = EPOLLIN | EPOLLRDHUP;

bool isClientLimitReached(const FrontendState &state)
{
    return state.clients_.size() - state.localClients_ >= state.settings_.maxClients_;
}

/// Returns whether a client has sent something that was not read yet.
bool hasInput(const ClientConnection &client)
{
    char first = 0;
    return ::recv(client.channel_.socket_.fd_, &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// Returns the bytes of the current output that the client's host has acknowledged.
std::size_t acknowledgedBytes(const ClientConnection &client)
{
    int queued = 0;
    (void)::ioctl(client.channel_.socket_.fd_, SIOCOUTQ, &queued);
    return client.channel_.out_.sent_
        - std::min(client.channel_.out_.sent_, static_cast<std::size_t>(queued));
}

/// Closes the connection that has been idle for longest. One whose next request has arrived is
/// served instead.
void closeLongestIdle(FrontendState &state)
{
    while (!state.idleClients_.empty()) {
        const ConnectionId id = state.idleClients_.begin()->second;
        ClientConnection &client = state.clients_.at(id);
        if (hasInput(client)) {
            unmarkIdle(state, client);
            if (!receiveFromClient(state, client))
                return;
            countBuffers(state, relatedIds(state, id));
            continue;
        }
        ++state.buffers_.idleClosed_;
        closeClient(state, id);
        return;
    }
}

} // namespace

void markIdle(FrontendState &state, ClientConnection &client)
{
    unmarkIdle(state, client);
    if (client.local_)
        return;
    client.idleSince_ = std::chrono::steady_clock::now();
    state.idleClients_.emplace(*client.idleSince_, client.channel_.id_);
}

void unmarkIdle(FrontendState &state, ClientConnection &client)
{
    if (client.idleSince_)
        state.idleClients_.erase({*client.idleSince_, client.channel_.id_});
    client.idleSince_.reset();
}

void acceptClients(FrontendState &state, ListenerKind kind, std::size_t maxCount)
{
    const bool local = kind == ListenerKind::Local;
    const int listener = local           ? state.localListener_.fd_
        : kind == ListenerKind::Handover ? state.handoverListener_.fd_
                                         : state.clientListener_.fd_;
    for (std::size_t i = 0; i < maxCount; ++i) {
        if (!local && isClientLimitReached(state) && state.idleClients_.empty())
            return;
        Descriptor socket(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (socket.fd_ < 0)
            return;
        // Only now: an idle connection is not closed for a connection that does not come.
        if (!local && isClientLimitReached(state))
            closeLongestIdle(state);
        if (local && state.localClients_ >= state.settings_.maxLocalClients_)
            continue;
        setTcpOptions(socket.fd_, state.settings_.tcpUserTimeout_);
        const ConnectionId id {++state.lastId_};
        ClientConnection &client = state.clients_[id];
        client.channel_.id_ = id;
        client.channel_.socket_ = std::move(socket);
        client.local_ = local;
        client.fromPeer_ = kind == ListenerKind::Handover;
        state.localClients_ += local ? 1 : 0;
        updateInterest(state, client.channel_, readInterest);
        setDeadline(state, client.channel_,
                    std::chrono::steady_clock::now() + state.limits_.idleTimeout_);
        markIdle(state, client);
        countBuffers(state, relatedIds(state, id));
    }
}

void updateAccepting(FrontendState &state)
{
    if (state.closingAllClients_)
        return;
    const bool listen = (!isClientLimitReached(state) || !state.idleClients_.empty())
        && (state.buffers_.limit_ == 0 || state.buffers_.used_ < state.buffers_.limit_);
    if (listen == state.accepting_)
        return;
    state.accepting_ = listen;
    state.events_.post_(AcceptingChanged {listen});
    epoll_event event {};
    event.events = listen ? std::uint32_t {EPOLLIN} : 0U;
    event.data.u64 = clientListenerEventId;
    ::epoll_ctl(state.epoll_.fd_, EPOLL_CTL_MOD, state.clientListener_.fd_, &event);
    if (state.handoverListener_.fd_ < 0)
        return;
    event.data.u64 = handoverListenerEventId;
    ::epoll_ctl(state.epoll_.fd_, EPOLL_CTL_MOD, state.handoverListener_.fd_, &event);
}

void closeIdleClients(FrontendState &state)
{
    std::vector<ConnectionId> idle;
    for (const auto &[since, id] : state.idleClients_)
        idle.push_back(id);
    for (const ConnectionId id : idle) {
        const auto it = state.clients_.find(id);
        if (it == state.clients_.end())
            continue;
        // Serves a request that has arrived but was not read yet.
        if (hasInput(it->second))
            receiveFromClient(state, it->second);
        else
            closeClient(state, id);
    }
}

void awaitReader(FrontendState &state, ClientConnection &client)
{
    if (client.stage_ != ClientStage::Busy || client.channel_.deadline_)
        return;
    client.waitsForReaderSince_ = std::chrono::steady_clock::now();
    client.acknowledgedBefore_ = acknowledgedBytes(client);
    setDeadline(state, client.channel_,
                client.waitsForReaderSince_ + state.settings_.unreadTimeoutInShortage_);
}

void onReaderDeadline(FrontendState &state, ClientConnection &client)
{
    const MonoTime now = std::chrono::steady_clock::now();
    const std::size_t acknowledged = acknowledgedBytes(client);
    if (acknowledged != client.acknowledgedBefore_) {
        client.acknowledgedBefore_ = acknowledged;
        client.waitsForReaderSince_ = now;
    }
    const bool needed
        = (usesMoreThan(state.buffers_, shortageFraction) || isClientLimitReached(state))
        && now - client.waitsForReaderSince_ >= state.settings_.unreadTimeoutInShortage_;
    const auto exchange = state.exchanges_.find(client.exchange_);
    const bool holdsUpstream = exchange != state.exchanges_.end() && exchange->second.upstream_
        && state.upstreams_.at(*exchange->second.upstream_).readPaused_
        && now - client.waitsForReaderSince_ >= state.settings_.unreadTimeout_;
    if (!needed && !holdsUpstream) {
        setDeadline(state, client.channel_, now + state.settings_.unreadTimeoutInShortage_);
        return;
    }
    ++state.buffers_.unreadClosed_;
    // A reset, because the response may be delimited by the end of the connection.
    client.resetOnClose_ = true;
    closeClient(state, client.channel_.id_);
}

} // namespace tamarack::frontend
