// Upstream connections: pooling, sending of requests and reading of responses.
#include "adapters/relayhttp/internal.h"

#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace tamarack::frontend {

namespace {

constexpr std::uint32_t readInterest = EPOLLIN | EPOLLRDHUP;

/// While memory is used up, the unfinished head of a response may take this much.
constexpr std::size_t maxHeadBytesWhenFull = std::size_t {16} << 10U;

/// Returns the maximum idle time of a pooled connection that this attempt may use.
std::chrono::nanoseconds maxReuseIdleTime(const FrontendSettings &settings,
                                          const SendAttempt &attempt,
                                          const UpstreamConnection &upstream)
{
    const bool nonRetryable = attempt.retryPolicy_ == RetryPolicy::AtMostOnce;
    const std::chrono::duration<double> keepAliveTimeout = upstream.keepAliveTimeout_.value_or(
        std::chrono::duration_cast<Seconds>(settings.defaultKeepAlive_));
    const double share
        = nonRetryable ? settings.idleReuseFractionNonRetryable_ : settings.idleReuseFraction_;
    const auto limit
        = std::chrono::duration_cast<std::chrono::nanoseconds>(keepAliveTimeout * share);
    return nonRetryable
        ? std::min<std::chrono::nanoseconds>(limit, settings.maxIdleReuseNonRetryable_)
        : limit;
}

std::optional<ConnectionId> takeIdleConnection(FrontendState &state, const SendAttempt &attempt)
{
    while (true) {
        // closeUpstream() removes the entry of an address with its last connection.
        const auto idle = state.idleConnections_.find(attempt.address_);
        if (idle == state.idleConnections_.end() || idle->second.empty())
            return std::nullopt;
        const ConnectionId id = idle->second.back();
        const UpstreamConnection &upstream = state.upstreams_.at(id);
        const bool fresh = bootTime() - upstream.idleSince_
            <= maxReuseIdleTime(state.settings_, attempt, upstream);
        const bool same
            = upstream.instance_ == attempt.instance_ && upstream.startedAt_ == attempt.startedAt_;
        if (fresh && same) {
            idle->second.pop_back();
            return id;
        }
        if (same)
            return std::nullopt;
        closeUpstream(state, id);
    }
}

/// Closes an idle connection to any upstream, or else the longest running attempt whose client has
/// left.
/// @return false if there is neither
bool makeRoomForUpstream(FrontendState &state)
{
    const auto idle = std::find_if(state.idleConnections_.begin(), state.idleConnections_.end(),
                                   [](const auto &entry) { return !entry.second.empty(); });
    if (idle != state.idleConnections_.end()) {
        closeUpstream(state, idle->second.front());
        return true;
    }
    const auto abandoned
        = std::find_if(state.exchanges_.begin(), state.exchanges_.end(), [](const auto &entry) {
              return entry.second.abandoned_ && entry.second.upstream_;
          });
    if (abandoned == state.exchanges_.end())
        return false;
    cancelAttempt(state, abandoned->second);
    state.exchanges_.erase(abandoned);
    return true;
}

/// Opens a connection to an instance.
/// @param limited set if a limit of this daemon prevents it
std::optional<ConnectionId> openConnection(FrontendState &state, const SendAttempt &attempt,
                                           bool &limited)
{
    limited = true;
    std::vector<ConnectionId> &idle = state.idleConnections_[attempt.address_];
    if (state.connectionCounts_[attempt.address_] >= attempt.maxConnections_ && !idle.empty())
        closeUpstream(state, idle.front());
    if (state.connectionCounts_[attempt.address_] >= attempt.maxConnections_)
        return std::nullopt;
    if (state.upstreams_.size() >= state.settings_.maxUpstreams_ && !makeRoomForUpstream(state))
        return std::nullopt;
    limited = false;
    Descriptor socket = startConnect(attempt.address_, state.settings_.tcpUserTimeout_);
    if (socket.fd_ < 0)
        return std::nullopt;
    const ConnectionId id {++state.lastId_};
    UpstreamConnection &upstream = state.upstreams_[id];
    upstream.channel_.id_ = id;
    upstream.channel_.socket_ = std::move(socket);
    upstream.instance_ = attempt.instance_;
    upstream.startedAt_ = attempt.startedAt_;
    upstream.address_ = attempt.address_;
    upstream.connecting_ = true;
    ++state.connectionCounts_[attempt.address_];
    updateInterest(state, upstream.channel_, readInterest | EPOLLOUT);
    setDeadline(state, upstream.channel_,
                std::chrono::steady_clock::now() + attempt.connectTimeout_);
    return id;
}

/// Removes the exchange from its connection.
/// @return the exchange, or nullptr if it has ended
ClientExchange *detachExchange(FrontendState &state, UpstreamConnection &upstream)
{
    const auto it = state.exchanges_.find(upstream.exchange_);
    upstream.exchange_ = {};
    if (it == state.exchanges_.end())
        return nullptr;
    it->second.upstream_.reset();
    return &it->second;
}

void failAttempt(FrontendState &state, UpstreamConnection &upstream, AttemptEnd end,
                 std::string detail)
{
    ClientExchange *exchange = detachExchange(state, upstream);
    closeUpstream(state, upstream.channel_.id_);
    if (exchange)
        reportAttemptEnd(state, *exchange, end, std::move(detail));
}

/// Handles a failed connection. The request may have run only if some of it was sent.
void onConnectionLost(FrontendState &state, UpstreamConnection &upstream, const std::string &detail)
{
    if (upstream.probes_)
        state.events_.post_(InstanceProbed {upstream.instance_, false});
    if (upstream.exchange_ == ExchangeId {}) {
        closeUpstream(state, upstream.channel_.id_);
        return;
    }
    failAttempt(state, upstream,
                upstream.sendStarted_ ? AttemptEnd::ConnectionLost : AttemptEnd::NotSent, detail);
}

/// Queues the next part of the request's body. A copy of the whole body would double its memory.
/// @return false if nothing is left
bool queueBodyPart(const FrontendState &state, UpstreamConnection &upstream)
{
    constexpr std::size_t maxPartBytes = std::size_t {64} << 10U;
    const auto exchange = state.exchanges_.find(upstream.exchange_);
    if (upstream.unsentBodyBytes_ == 0 || exchange == state.exchanges_.end())
        return false;
    const std::string &body = exchange->second.request_.body_;
    const std::size_t count = std::min(upstream.unsentBodyBytes_, maxPartBytes);
    upstream.channel_.out_.bytes_ = body.substr(body.size() - upstream.unsentBodyBytes_, count);
    upstream.unsentBodyBytes_ -= count;
    return true;
}

void flushUpstream(FrontendState &state, UpstreamConnection &upstream)
{
    SendStatus sent = SendStatus::Sent;
    do {
        sent = flush(state, upstream.channel_);
        upstream.sendStarted_
            = upstream.sendStarted_ || upstream.channel_.out_.sent_ > 0 || sent == SendStatus::Sent;
    } while (sent == SendStatus::Sent && queueBodyPart(state, upstream));
    if (sent == SendStatus::Failed) {
        // The upstream may have responded before it closed the connection, so its response is read
        // first.
        upstream.channel_.out_ = {};
        updateInterest(state, upstream.channel_, readInterest);
        return;
    }
    const std::uint32_t interest = upstream.readPaused_ ? 0U : readInterest;
    updateInterest(state, upstream.channel_,
                   sent == SendStatus::Blocked ? interest | EPOLLOUT : interest);
}

void startRequest(FrontendState &state, UpstreamConnection &upstream, ClientExchange &exchange)
{
    upstream.exchange_ = exchange.id_;
    upstream.sendStarted_ = false;
    upstream.headParsed_ = false;
    upstream.otherRequest_ = false;
    upstream.skippedBytes_ = 0;
    upstream.unsentBodyBytes_ = exchange.request_.body_.size();
    upstream.readPaused_ = false;
    exchange.upstream_ = upstream.channel_.id_;
    exchange.newConnection_ = !upstream.reused_;
    startResponse(upstream.reader_, exchange.request_.method_);
    upstream.channel_.out_.bytes_ = formatRequestHead(state, exchange);
    if (upstream.connecting_)
        return;
    setDeadline(state, upstream.channel_, std::nullopt);
    flushUpstream(state, upstream);
}

void poolOrClose(FrontendState &state, UpstreamConnection &upstream, bool keepAlive)
{
    // Bytes after a complete response belong to no request.
    const bool usable = keepAlive && upstream.input_.empty() && !upstream.closeAfterResponse_
        && upstream.channel_.sendFailure_ == SendFailure::None
        && upstream.channel_.out_.bytes_.empty() && upstream.unsentBodyBytes_ == 0;
    if (!usable) {
        closeUpstream(state, upstream.channel_.id_);
        return;
    }
    upstream.reused_ = true;
    upstream.headBytes_ = 0;
    upstream.reader_ = ResponseReader();
    upstream.idleSince_ = bootTime();
    state.idleConnections_[upstream.address_].push_back(upstream.channel_.id_);
    const std::chrono::duration<double> keepAliveTimeout = upstream.keepAliveTimeout_.value_or(
        std::chrono::duration_cast<Seconds>(state.settings_.defaultKeepAlive_));
    setDeadline(state, upstream.channel_,
                std::chrono::steady_clock::now()
                    + std::chrono::duration_cast<Millis>(keepAliveTimeout
                                                         * state.settings_.idleReuseFraction_));
}

void onResponseComplete(FrontendState &state, UpstreamConnection &upstream)
{
    const HttpResponseHead head = responseHead(upstream.reader_);
    if (head.keepAliveTimeout_)
        upstream.keepAliveTimeout_ = head.keepAliveTimeout_;
    ClientExchange *exchange = detachExchange(state, upstream);
    poolOrClose(state, upstream, head.keepAlive_);
    if (exchange)
        onResponseEnd(state, *exchange);
}

/// Skips a response that belongs to another request and prepares for the next response.
void skipOtherResponse(UpstreamConnection &upstream, const ClientExchange &exchange)
{
    upstream.otherRequest_ = false;
    upstream.headParsed_ = false;
    upstream.closeAfterResponse_ = true;
    startResponse(upstream.reader_, exchange.request_.method_);
}

/// Parses received bytes until more are needed, or until the connection has no exchange any more.
void parseResponse(FrontendState &state, UpstreamConnection &upstream)
{
    while (true) {
        const auto it = state.exchanges_.find(upstream.exchange_);
        if (it == state.exchanges_.end()) {
            closeUpstream(state, upstream.channel_.id_);
            return;
        }
        ClientExchange &exchange = it->second;
        const ParseStatus read = readResponse(upstream.reader_, upstream.input_);
        if (read == ParseStatus::Invalid) {
            failAttempt(state, upstream, AttemptEnd::Malformed, "malformed HTTP response");
            return;
        }
        if (read == ParseStatus::NeedMore) {
            if (!upstream.headParsed_)
                upstream.headBytes_ = parsedHeadBytes(upstream.reader_);
            // No client that reads would free this memory.
            if (!upstream.headParsed_ && upstream.headBytes_ > maxHeadBytesWhenFull
                && isMemoryFull(state))
                failAttempt(state, upstream, AttemptEnd::Malformed,
                            "response head too large while memory is short");
            return;
        }
        if (!upstream.headParsed_) {
            upstream.headParsed_ = true;
            upstream.headBytes_ = parsedHeadBytes(upstream.reader_);
            upstream.otherRequest_ = !onResponseHead(state, upstream, exchange);
        }
        const std::string body = takeBody(upstream.reader_);
        bool withinLimits = true;
        if (upstream.otherRequest_) {
            upstream.skippedBytes_ += body.size();
            withinLimits = upstream.skippedBytes_ <= state.settings_.maxBufferedResponseBytes_;
        } else if (!body.empty()) {
            withinLimits = onResponseBody(state, exchange, body);
        }
        if (!withinLimits) {
            failAttempt(state, upstream, AttemptEnd::Malformed, "response or event too large");
            return;
        }
        if (read == ParseStatus::HeadDone)
            return;
        if (!upstream.otherRequest_) {
            onResponseComplete(state, upstream);
            return;
        }
        skipOtherResponse(upstream, exchange);
    }
}

void onUpstreamClosed(FrontendState &state, UpstreamConnection &upstream)
{
    const bool responding
        = upstream.exchange_ != ExchangeId {} && upstream.headParsed_ && !upstream.otherRequest_;
    upstream.closeAfterResponse_ = true;
    const auto exchange = state.exchanges_.find(upstream.exchange_);
    const bool brokenOff = exchange != state.exchanges_.end() && endsInsideEvent(exchange->second);
    if (responding && !brokenOff && endResponse(upstream.reader_) == ParseStatus::Done)
        onResponseComplete(state, upstream);
    else
        onConnectionLost(state, upstream, "connection closed by the upstream");
}

void onConnected(FrontendState &state, UpstreamConnection &upstream)
{
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(upstream.channel_.socket_.fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        onConnectionLost(state, upstream, "connect failed");
        return;
    }
    upstream.connecting_ = false;
    setDeadline(state, upstream.channel_, std::nullopt);
    if (std::exchange(upstream.probes_, false)) {
        state.events_.post_(InstanceProbed {upstream.instance_, true});
        updateInterest(state, upstream.channel_, readInterest);
        poolOrClose(state, upstream, true);
        return;
    }
    const auto exchange = state.exchanges_.find(upstream.exchange_);
    if (exchange != state.exchanges_.end() && exchange->second.abandoned_)
        limitAbandonedAttempt(state, exchange->second);
    flushUpstream(state, upstream);
}

} // namespace

void sendAttempt(FrontendState &state, ClientExchange &exchange, const SendAttempt &attempt)
{
    cancelAttempt(state, exchange);
    exchange.attempt_ = attempt;
    exchange.responseClass_ = ResponseClass::Deliver;
    exchange.bufferedBody_.clear();
    exchange.outputReported_ = false;
    exchange.events_ = {};
    std::optional<ConnectionId> id = takeIdleConnection(state, attempt);
    bool connectionsUsed = false;
    if (!id)
        id = openConnection(state, attempt, connectionsUsed);
    if (!id) {
        reportAttemptEnd(state, exchange, AttemptEnd::NotSent,
                         connectionsUsed ? "no connection: connection limit reached"
                                         : "no connection: connect failed",
                         connectionsUsed);
        return;
    }
    startRequest(state, state.upstreams_.at(*id), exchange);
}

void probeInstance(FrontendState &state, const ProbeInstance &probe)
{
    SendAttempt attempt;
    attempt.instance_ = probe.instance_;
    attempt.address_ = probe.address_;
    attempt.startedAt_ = probe.startedAt_;
    attempt.maxConnections_ = probe.maxConnections_;
    attempt.connectTimeout_ = probe.connectTimeout_;
    bool limited = false;
    const std::optional<ConnectionId> id = openConnection(state, attempt, limited);
    if (id)
        state.upstreams_.at(*id).probes_ = true;
    else
        state.events_.post_(InstanceProbed {probe.instance_, false});
}

void onUpstreamEvent(FrontendState &state, UpstreamConnection &upstream, std::uint32_t events)
{
    const ConnectionId id = upstream.channel_.id_;
    if (upstream.connecting_) {
        if ((events & (EPOLLERR | EPOLLHUP)) != 0U)
            onConnectionLost(state, upstream, "connect failed");
        else if ((events & EPOLLOUT) != 0U)
            onConnected(state, upstream);
        return;
    }
    if ((events & EPOLLOUT) != 0U)
        flushUpstream(state, upstream);
    if (upstream.readPaused_ && (events & (EPOLLHUP | EPOLLERR)) != 0U) {
        // epoll reports these events without interest in them.
        onConnectionLost(state, upstream, "connection reset by the upstream");
        return;
    }
    const std::uint32_t readable = EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR;
    if ((events & readable) == 0U || upstream.readPaused_)
        return;
    if (upstream.exchange_ == ExchangeId {}) {
        // A readable idle connection was closed by the upstream or received unexpected data.
        closeUpstream(state, id);
        return;
    }
    switch (receive(state, upstream.channel_, upstream.input_)) {
    case ReceiveStatus::Received:
        parseResponse(state, upstream);
        break;
    case ReceiveStatus::Blocked:
        break;
    case ReceiveStatus::Ended:
        onUpstreamClosed(state, upstream);
        break;
    case ReceiveStatus::Failed:
        onConnectionLost(state, upstream, "connection reset by the upstream");
        break;
    }
}

void onUpstreamDeadline(FrontendState &state, UpstreamConnection &upstream)
{
    onConnectionLost(state, upstream,
                     upstream.connecting_ ? "connect timed out"
                                          : "the connection's deadline has passed");
}

void closeUpstream(FrontendState &state, ConnectionId id)
{
    const auto it = state.upstreams_.find(id);
    if (it == state.upstreams_.end())
        return;
    const std::string address = it->second.address_;
    std::erase(state.idleConnections_[address], id);
    setDeadline(state, it->second.channel_, std::nullopt);
    state.upstreams_.erase(it);
    if (--state.connectionCounts_[address] == 0) {
        state.connectionCounts_.erase(address);
        state.idleConnections_.erase(address);
    }
}

void cancelAttempt(FrontendState &state, ClientExchange &exchange)
{
    if (!exchange.upstream_)
        return;
    const ConnectionId id = *exchange.upstream_;
    exchange.upstream_.reset();
    closeUpstream(state, id);
}

void limitAbandonedAttempt(FrontendState &state, ClientExchange &exchange)
{
    const auto upstream = state.upstreams_.find(exchange.upstream_.value_or(ConnectionId {}));
    // Such an attempt is not repeated, so what was sent of its body is not needed any more.
    if (upstream != state.upstreams_.end() && upstream->second.sendStarted_
        && upstream->second.unsentBodyBytes_ == 0) {
        std::string().swap(exchange.request_.body_);
        exchange.body_ = BufferShare();
    }
    // A connect has a shorter deadline of its own.
    if (upstream != state.upstreams_.end() && !upstream->second.connecting_)
        setDeadline(state, upstream->second.channel_, exchange.attempt_.deadline_);
}

void closeIdleUpstreams(FrontendState &state)
{
    std::vector<ConnectionId> all;
    for (const auto &[address, idle] : state.idleConnections_)
        all.insert(all.end(), idle.begin(), idle.end());
    for (const ConnectionId id : all)
        closeUpstream(state, id);
}

void resumeReading(FrontendState &state, const ClientExchange &exchange)
{
    if (!exchange.upstream_)
        return;
    const auto it = state.upstreams_.find(*exchange.upstream_);
    if (it == state.upstreams_.end() || !it->second.readPaused_)
        return;
    it->second.readPaused_ = false;
    updateInterest(state, it->second.channel_, it->second.channel_.interest_ | readInterest);
}

} // namespace tamarack::frontend
