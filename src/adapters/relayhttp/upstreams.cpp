// Connections to upstream instances and the requests on them.
#include "adapters/relayhttp/frontparts.h"

#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace tamarack::front {

namespace {

constexpr std::uint32_t readInterest = EPOLLIN | EPOLLRDHUP;

bool isSetByRelay(const HeaderNames &names, std::string_view field)
{
    const std::array<std::string_view, 4> own {names.account_, names.expectInstance_,
                                               names.deadline_, "Authorization"};
    const auto same = [field](std::string_view name) {
        return sameFieldName(name, field);
    };
    return std::any_of(own.begin(), own.end(), same)
        || std::any_of(names.reserved_.begin(), names.reserved_.end(), same);
}

Millis timeLeft(const Exchange &exchange, MonoTime now)
{
    Millis left = std::chrono::duration_cast<Millis>(exchange.attempt_.deadline_ - now);
    if (exchange.clientTimeout_)
        left = std::min(left,
                        *exchange.clientTimeout_
                            - std::chrono::duration_cast<Millis>(now - exchange.arrivedAt_));
    return std::max(left, Millis {1});
}

std::string requestBytes(const FrontState &state, const Exchange &exchange)
{
    const HeaderNames &names = state.settings_.headers_;
    const HttpRequest &request = exchange.request_;
    const bool resumes = !exchange.lastEventId_.empty();
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.method_, request.target_);
    for (const HeaderField &field : request.headers_) {
        if (isSetByRelay(names, field.name_)
            || (resumes && sameFieldName(field.name_, names.lastEventId_)))
            continue;
        text += fmt::format("{}: {}\r\n", field.name_, field.value_);
    }
    if (resumes)
        text += fmt::format("{}: {}\r\n", names.lastEventId_, exchange.lastEventId_);
    text += fmt::format("{}: {}\r\n", names.expectInstance_, exchange.attempt_.instance_.value_);
    if (!exchange.attempt_.account_.isEmpty())
        text += fmt::format("{}: {}\r\n", names.account_, exchange.attempt_.account_.value_);
    text += fmt::format("{}: {}\r\n", names.deadline_,
                        timeLeft(exchange, std::chrono::steady_clock::now()).count());
    const bool hasBody = !request.body_.empty() || request.method_ == "POST"
        || request.method_ == "PUT" || request.method_ == "PATCH";
    if (hasBody)
        text += fmt::format("Content-Length: {}\r\n", request.body_.size());
    text += "\r\n";
    return text + request.body_;
}

/// Longest idle time after which a connection is taken for this attempt.
std::chrono::nanoseconds reuseLimit(const FrontendSettings &settings, const SendAttempt &attempt,
                                    const UpstreamConnection &upstream)
{
    const bool once = attempt.retryPolicy_ == RetryPolicy::AtMostOnce;
    const std::chrono::duration<double> own = upstream.keepAliveTime_.value_or(
        std::chrono::duration_cast<Seconds>(settings.assumedKeepAlive_));
    const double share = once ? settings.idleReuseShareOnce_ : settings.idleReuseShare_;
    const auto limit = std::chrono::duration_cast<std::chrono::nanoseconds>(own * share);
    return once ? std::min<std::chrono::nanoseconds>(limit, settings.idleReuseOnce_) : limit;
}

std::optional<ConnectionId> takeIdle(FrontState &state, const SendAttempt &attempt)
{
    std::vector<ConnectionId> &idle = state.idle_[attempt.address_];
    while (!idle.empty()) {
        const ConnectionId id = idle.back();
        const UpstreamConnection &upstream = state.upstreams_.at(id);
        const bool fresh
            = bootTime() - upstream.idleSince_ <= reuseLimit(state.settings_, attempt, upstream);
        const bool same = upstream.instance_ == attempt.instance_;
        if (fresh && same) {
            idle.pop_back();
            return id;
        }
        if (!same) {
            closeUpstream(state, id);
            continue;
        }
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<ConnectionId> connect(FrontState &state, const SendAttempt &attempt)
{
    std::vector<ConnectionId> &idle = state.idle_[attempt.address_];
    if (state.open_[attempt.address_] >= attempt.maxConnections_ && !idle.empty())
        closeUpstream(state, idle.front());
    if (state.open_[attempt.address_] >= attempt.maxConnections_)
        return std::nullopt;
    Descriptor socket = startConnect(attempt.address_, state.settings_.unackedLimit_);
    if (socket.fd_ < 0)
        return std::nullopt;
    const ConnectionId id {++state.lastId_};
    UpstreamConnection &upstream = state.upstreams_[id];
    upstream.endpoint_.id_ = id;
    upstream.endpoint_.socket_ = std::move(socket);
    upstream.instance_ = attempt.instance_;
    upstream.address_ = attempt.address_;
    upstream.connecting_ = true;
    ++state.open_[attempt.address_];
    watch(state, upstream.endpoint_, readInterest | EPOLLOUT);
    setDeadline(state, upstream.endpoint_,
                std::chrono::steady_clock::now() + attempt.connectTimeout_);
    return id;
}

/// Takes the exchange off its connection.
Exchange *detach(FrontState &state, UpstreamConnection &upstream)
{
    const auto it = state.exchanges_.find(upstream.exchange_);
    upstream.exchange_ = {};
    if (it == state.exchanges_.end())
        return nullptr;
    it->second.upstream_.reset();
    return &it->second;
}

void failAttempt(FrontState &state, UpstreamConnection &upstream, AttemptEnd end,
                 std::string detail)
{
    Exchange *exchange = detach(state, upstream);
    closeUpstream(state, upstream.endpoint_.id_);
    if (exchange)
        reportEnd(state, *exchange, end, std::move(detail));
}

/// The connection broke off: what that means depends on what was sent.
void onBroken(FrontState &state, UpstreamConnection &upstream, const std::string &detail)
{
    if (upstream.exchange_ == ExchangeId {}) {
        closeUpstream(state, upstream.endpoint_.id_);
        return;
    }
    failAttempt(state, upstream,
                upstream.sentAny_ ? AttemptEnd::ConnectionLost : AttemptEnd::NotSent, detail);
}

void flushUpstream(FrontState &state, UpstreamConnection &upstream)
{
    const SendState sent = flush(upstream.endpoint_);
    upstream.sentAny_
        = upstream.sentAny_ || upstream.endpoint_.out_.sent_ > 0 || sent == SendState::Sent;
    if (sent == SendState::Failed) {
        // The upstream may have answered before it closed; the answer is read first.
        upstream.endpoint_.out_ = {};
        watch(state, upstream.endpoint_, readInterest);
        return;
    }
    const std::uint32_t interest = upstream.paused_ ? std::uint32_t {EPOLLRDHUP} : readInterest;
    watch(state, upstream.endpoint_, sent == SendState::Blocked ? interest | EPOLLOUT : interest);
}

void startRequest(FrontState &state, UpstreamConnection &upstream, Exchange &exchange)
{
    upstream.exchange_ = exchange.id_;
    upstream.sentAny_ = false;
    upstream.headSeen_ = false;
    upstream.forOtherRequest_ = false;
    upstream.paused_ = false;
    exchange.upstream_ = upstream.endpoint_.id_;
    startAnswer(upstream.reader_, exchange.request_.method_);
    upstream.endpoint_.out_.bytes_ = requestBytes(state, exchange);
    if (upstream.connecting_)
        return;
    setDeadline(state, upstream.endpoint_, std::nullopt);
    flushUpstream(state, upstream);
}

void keepOrClose(FrontState &state, UpstreamConnection &upstream, bool keepAlive)
{
    // Bytes after a whole answer belong to no request.
    const bool usable = keepAlive && upstream.in_.empty() && !upstream.closeAfter_
        && upstream.endpoint_.out_.bytes_.empty();
    if (!usable) {
        closeUpstream(state, upstream.endpoint_.id_);
        return;
    }
    upstream.reused_ = true;
    upstream.idleSince_ = bootTime();
    state.idle_[upstream.address_].push_back(upstream.endpoint_.id_);
    const std::chrono::duration<double> own = upstream.keepAliveTime_.value_or(
        std::chrono::duration_cast<Seconds>(state.settings_.assumedKeepAlive_));
    setDeadline(state, upstream.endpoint_,
                std::chrono::steady_clock::now()
                    + std::chrono::duration_cast<Millis>(own * state.settings_.idleReuseShare_));
}

void onWholeAnswer(FrontState &state, UpstreamConnection &upstream)
{
    const HttpAnswerHead head = answerHead(upstream.reader_);
    if (head.keepAliveTime_)
        upstream.keepAliveTime_ = head.keepAliveTime_;
    Exchange *exchange = detach(state, upstream);
    keepOrClose(state, upstream, head.keepAlive_);
    if (exchange)
        onAnswerEnd(state, *exchange);
}

/// Reads on behind an answer that belongs to another request.
void skipForeign(UpstreamConnection &upstream, const Exchange &exchange)
{
    upstream.forOtherRequest_ = false;
    upstream.headSeen_ = false;
    upstream.closeAfter_ = true;
    startAnswer(upstream.reader_, exchange.request_.method_);
}

/// Parses what has arrived. Ends when bytes run out or the connection has no exchange any more.
void parseAnswer(FrontState &state, UpstreamConnection &upstream)
{
    while (true) {
        const auto it = state.exchanges_.find(upstream.exchange_);
        if (it == state.exchanges_.end()) {
            closeUpstream(state, upstream.endpoint_.id_);
            return;
        }
        Exchange &exchange = it->second;
        const ReadState read = readAnswer(upstream.reader_, upstream.in_);
        if (read == ReadState::Bad) {
            failAttempt(state, upstream, AttemptEnd::Malformed, "not an HTTP answer");
            return;
        }
        if (read == ReadState::NeedMore)
            return;
        if (!upstream.headSeen_) {
            upstream.headSeen_ = true;
            upstream.forOtherRequest_ = !onAnswerHead(state, upstream, exchange);
        }
        const std::string body = takeBody(upstream.reader_);
        if (!upstream.forOtherRequest_ && !body.empty())
            onAnswerBody(state, exchange, body);
        if (read == ReadState::HeadDone)
            return;
        if (!upstream.forOtherRequest_) {
            onWholeAnswer(state, upstream);
            return;
        }
        skipForeign(upstream, exchange);
    }
}

void onUpstreamEnd(FrontState &state, UpstreamConnection &upstream)
{
    const bool answering
        = upstream.exchange_ != ExchangeId {} && upstream.headSeen_ && !upstream.forOtherRequest_;
    upstream.closeAfter_ = true;
    if (answering && endAnswer(upstream.reader_) == ReadState::Done)
        onWholeAnswer(state, upstream);
    else
        onBroken(state, upstream, "closed by the upstream");
}

void onConnected(FrontState &state, UpstreamConnection &upstream)
{
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(upstream.endpoint_.socket_.fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        onBroken(state, upstream, "connection refused");
        return;
    }
    upstream.connecting_ = false;
    setDeadline(state, upstream.endpoint_, std::nullopt);
    flushUpstream(state, upstream);
}

} // namespace

void sendAttempt(FrontState &state, Exchange &exchange, const SendAttempt &attempt)
{
    cancelAttempt(state, exchange);
    exchange.attempt_ = attempt;
    exchange.meaning_ = ResponseClass::Deliver;
    exchange.held_.clear();
    exchange.outputPosted_ = false;
    exchange.events_ = {};
    std::optional<ConnectionId> id = takeIdle(state, attempt);
    if (!id)
        id = connect(state, attempt);
    if (!id) {
        reportEnd(state, exchange, AttemptEnd::NotSent, "no connection");
        return;
    }
    startRequest(state, state.upstreams_.at(*id), exchange);
}

void onUpstreamEvent(FrontState &state, UpstreamConnection &upstream, std::uint32_t events)
{
    const ConnectionId id = upstream.endpoint_.id_;
    if (upstream.connecting_) {
        if ((events & (EPOLLERR | EPOLLHUP)) != 0U)
            onBroken(state, upstream, "connection refused");
        else if ((events & EPOLLOUT) != 0U)
            onConnected(state, upstream);
        return;
    }
    if ((events & EPOLLOUT) != 0U)
        flushUpstream(state, upstream);
    const std::uint32_t readable = EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR;
    if ((events & readable) == 0U || upstream.paused_)
        return;
    if (upstream.exchange_ == ExchangeId {}) {
        // An idle connection has nothing to say: it was closed or sends what nobody asked for.
        closeUpstream(state, id);
        return;
    }
    switch (receive(upstream.endpoint_, upstream.in_)) {
    case ReceiveState::Received:
        parseAnswer(state, upstream);
        break;
    case ReceiveState::Blocked:
        break;
    case ReceiveState::Ended:
        onUpstreamEnd(state, upstream);
        break;
    case ReceiveState::Failed:
        onBroken(state, upstream, "reset by the upstream");
        break;
    }
}

void onUpstreamDeadline(FrontState &state, UpstreamConnection &upstream)
{
    if (upstream.connecting_)
        onBroken(state, upstream, "no connection in time");
    else
        closeUpstream(state, upstream.endpoint_.id_);
}

void closeUpstream(FrontState &state, ConnectionId id)
{
    const auto it = state.upstreams_.find(id);
    if (it == state.upstreams_.end())
        return;
    const std::string address = it->second.address_;
    std::erase(state.idle_[address], id);
    setDeadline(state, it->second.endpoint_, std::nullopt);
    state.upstreams_.erase(it);
    if (--state.open_[address] == 0) {
        state.open_.erase(address);
        state.idle_.erase(address);
    }
}

void cancelAttempt(FrontState &state, Exchange &exchange)
{
    if (!exchange.upstream_)
        return;
    const ConnectionId id = *exchange.upstream_;
    exchange.upstream_.reset();
    closeUpstream(state, id);
}

void closeIdleUpstreams(FrontState &state)
{
    std::vector<ConnectionId> all;
    for (const auto &[address, idle] : state.idle_)
        all.insert(all.end(), idle.begin(), idle.end());
    for (const ConnectionId id : all)
        closeUpstream(state, id);
}

void resumeUpstream(FrontState &state, const Exchange &exchange)
{
    if (!exchange.upstream_)
        return;
    const auto it = state.upstreams_.find(*exchange.upstream_);
    if (it == state.upstreams_.end() || !it->second.paused_)
        return;
    it->second.paused_ = false;
    watch(state, it->second.endpoint_, it->second.endpoint_.interest_ | readInterest);
}

} // namespace tamarack::front
