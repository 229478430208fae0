// Forwarding of upstream responses to clients.
#include "adapters/relayhttp/internal.h"

#include <fmt/format.h>
#include <sys/epoll.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace tamarack::frontend {

namespace {

ClientConnection *findClient(FrontendState &state, const ClientExchange &exchange)
{
    if (exchange.abandoned_)
        return nullptr;
    const auto it = state.clients_.find(exchange.client_);
    return it == state.clients_.end() ? nullptr : &it->second;
}

/// The response to such a request has no body.
bool isHeadRequest(const ClientExchange &exchange)
{
    return exchange.request_.method_ == "HEAD";
}

std::string formatHead(const ClientExchange &exchange, const ClientConnection &client,
                       std::optional<std::size_t> length)
{
    const HttpResponseHead &head = exchange.head_;
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", head.status_, head.reason_);
    for (const HeaderField &field : head.headers_)
        text += fmt::format("{}: {}\r\n", field.name_, field.value_);
    const bool bodiless = head.status_ == 204 || head.status_ == 304;
    if (isHeadRequest(exchange))
        text += head.contentLength_ ? fmt::format("Content-Length: {}\r\n", *head.contentLength_)
                                    : "";
    else if (length && !bodiless)
        text += fmt::format("Content-Length: {}\r\n", *length);
    else if (!length && !client.closeAfterResponse_)
        text += "Transfer-Encoding: chunked\r\n";
    else if (!length)
        text += exchange.request_.http10_ ? "" : "Transfer-Encoding: chunked\r\n";
    if (client.closeAfterResponse_)
        text += "Connection: close\r\n";
    return text + "\r\n";
}

/// Queues the head of a response whose length is not known: an event stream, or a body too large to
/// buffer.
void startUnsizedResponse(FrontendState &state, ClientExchange &exchange, ClientConnection &client)
{
    if (exchange.headSent_)
        return;
    if (state.keepAliveDisabled_)
        client.closeAfterResponse_ = true;
    exchange.headSent_ = true;
    // HTTP/1.0 has no chunked encoding; the end of the connection delimits the body.
    exchange.chunked_ = !exchange.request_.http10_ && !isHeadRequest(exchange);
    client.channel_.out_.bytes_ += formatHead(exchange, client, std::nullopt);
}

void appendBody(const ClientExchange &exchange, ClientConnection &client, std::string_view bytes)
{
    if (bytes.empty())
        return;
    std::string &out = client.channel_.out_.bytes_;
    if (exchange.chunked_)
        out += fmt::format("{:x}\r\n", bytes.size());
    out += bytes;
    if (exchange.chunked_)
        out += "\r\n";
}

/// Sends queued bytes. Pauses reading from the upstream while too many remain queued (flow
/// control).
void flushWithBackpressure(FrontendState &state, ClientExchange &exchange, ClientConnection &client)
{
    sendToClient(state, client, {});
    const OutputBuffer &out = client.channel_.out_;
    if (out.bytes_.size() - out.sent_
            < bufferLimit(state.buffers_, state.settings_.maxClientBufferBytes_)
        || !exchange.upstream_)
        return;
    UpstreamConnection &upstream = state.upstreams_.at(*exchange.upstream_);
    upstream.readPaused_ = true;
    // Without interest in a half-close, which epoll would report again and again meanwhile.
    // The rest of the request is still sent.
    updateInterest(state, upstream.channel_,
                   upstream.channel_.interest_ & std::uint32_t {EPOLLOUT});
}

void reportOutputStarted(FrontendState &state, ClientExchange &exchange)
{
    if (exchange.outputReported_)
        return;
    exchange.outputReported_ = true;
    state.events_.post_(OutputStarted {exchange.id_, exchange.attempt_.attempt_,
                                       std::chrono::steady_clock::now(), exchange.newConnection_});
}

/// Returns the number in a header field, or nothing if it is missing, malformed or negative.
std::optional<double> decimalField(const HttpResponseHead &head, std::string_view name)
{
    const std::optional<std::string_view> text = findField(head.headers_, name);
    if (!text)
        return std::nullopt;
    double value = 0.0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
    const bool valid = parsed.ec == std::errc {} && parsed.ptr == text->data() + text->size();
    return valid && std::isfinite(value) && value >= 0.0 ? std::optional(value) : std::nullopt;
}

InstanceNotice readNotice(const HttpResponseHead &head, const HeaderNames &names)
{
    constexpr int statusServiceUnavailable = 503;
    /// Longer times could overflow the clock's type.
    constexpr double maxRetryAfterSeconds = 86'400.0;
    constexpr double maxColdMs = 86'400'000.0;
    InstanceNotice notice;
    notice.requestLimit_ = decimalField(head, names.requestLimit_);
    notice.maxRefusals_ = decimalField(head, names.maxRefusals_);
    notice.leaving_ = findField(head.headers_, names.leaving_) == "1";
    const double coldMs = decimalField(head, names.coldRemaining_).value_or(0.0);
    if (coldMs > 0.0)
        notice.coldRemaining_ = std::chrono::ceil<Millis>(
            std::chrono::duration<double, std::milli>(std::min(coldMs, maxColdMs)));
    if (head.status_ != statusServiceUnavailable)
        return notice;
    if (const std::optional<double> seconds = decimalField(head, "Retry-After"))
        notice.retryAfter_ = std::chrono::ceil<Millis>(
            std::chrono::duration<double>(std::min(*seconds, maxRetryAfterSeconds)));
    return notice;
}

/// Reports what the head of a response states about its instance. A head that states nothing is
/// reported only if the one before it stated something.
void reportNotice(FrontendState &state, const UpstreamId &instance, const HttpResponseHead &head)
{
    const InstanceNotice notice = readNotice(head, state.settings_.headers_);
    const bool stated = notice != InstanceNotice {};
    const bool statedBefore = state.noticeStated_.erase(instance) > 0;
    if (stated)
        state.noticeStated_.insert(instance);
    if (stated || statedBefore)
        state.events_.post_(InstanceNoticeReceived {instance, notice});
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Returns whether the client already has this event: an upstream that ignores the Last-Event-ID
/// field repeats earlier events.
bool isDuplicateEvent(const ClientExchange &exchange, const CompleteEvent &event)
{
    if (!event.id_ || exchange.lastEventId_.empty())
        return false;
    const auto id = parseNumber(*event.id_);
    const auto last = parseNumber(exchange.lastEventId_);
    return id && last && *id <= *last;
}

void forwardEvents(FrontendState &state, ClientExchange &exchange, ClientConnection &client)
{
    while (std::optional<CompleteEvent> event = takeEvent(exchange.events_)) {
        reportOutputStarted(state, exchange);
        if (isDuplicateEvent(exchange, *event))
            continue;
        startUnsizedResponse(state, exchange, client);
        appendBody(exchange, client, event->bytes_);
        ++exchange.eventCount_;
        if (exchange.begunBy_ == 0) {
            exchange.begunBy_ = exchange.attempt_.attempt_;
            exchange.begunAt_ = exchange.attempt_.version_;
        }
        if (event->id_)
            exchange.lastEventId_ = *event->id_;
    }
    flushWithBackpressure(state, exchange, client);
}

void endUnsizedResponse(const ClientExchange &exchange, ClientConnection &client)
{
    if (exchange.chunked_)
        client.channel_.out_.bytes_ += "0\r\n\r\n";
    else if (!isHeadRequest(exchange))
        client.closeAfterResponse_ = true;
}

/// Reports a complete upstream response, also if the client has disconnected.
void reportResponseComplete(FrontendState &state, ClientExchange &exchange)
{
    RelayAttemptEnded ended;
    ended.id_ = exchange.id_;
    ended.attempt_ = exchange.attempt_.attempt_;
    ended.connected_ = exchange.newConnection_;
    ended.end_ = AttemptEnd::Delivered;
    ended.status_ = exchange.head_.status_;
    ended.events_ = exchange.eventCount_;
    state.events_.post_(std::move(ended));
}

void sendBufferedResponse(FrontendState &state, ClientExchange &exchange, ClientConnection &client)
{
    if (state.keepAliveDisabled_)
        client.closeAfterResponse_ = true;
    std::string &out = client.channel_.out_.bytes_;
    out += formatHead(exchange, client, exchange.bufferedBody_.size());
    out += exchange.bufferedBody_;
}

/// A chunked response lacks its last chunk then. Any other body is delimited by the end of the
/// connection, which is reset to signal the truncation.
void truncateResponse(FrontendState &state, const ClientExchange &exchange,
                      ClientConnection &client)
{
    client.closeAfterResponse_ = true;
    if (!exchange.chunked_)
        client.resetOnClose_ = true;
    completeResponse(state, client);
}

bool isEventStream(const ClientExchange &exchange)
{
    return exchange.attempt_.streaming_ && exchange.responseClass_ == ResponseClass::Deliver
        && exchange.head_.status_ == 200;
}

AttemptEnd attemptEndFor(ResponseClass responseClass)
{
    switch (responseClass) {
    case ResponseClass::UpstreamFailure:
        return AttemptEnd::Failed;
    case ResponseClass::NotExecuted:
        return AttemptEnd::NotExecuted;
    case ResponseClass::WrongInstance:
        return AttemptEnd::WrongInstance;
    default:
        return AttemptEnd::Malformed;
    }
}

} // namespace

bool onResponseHead(FrontendState &state, UpstreamConnection &upstream, ClientExchange &exchange)
{
    const HeaderNames &names = state.settings_.headers_;
    HttpResponseHead head = responseHead(upstream.reader_);
    ResponseHead received;
    received.status_ = head.status_;
    if (const auto echoed = findField(head.headers_, names.requestId_))
        received.echoedRequest_ = RequestId {std::string(*echoed)};
    received.signed_ = findField(head.headers_, names.signature_).has_value();
    received.notExecuted_ = findField(head.headers_, names.notExecuted_).has_value();
    received.contentEncoded_ = findField(head.headers_, "Content-Encoding").has_value();
    // A skipped response to another request shows as well that the upstream repeats responses.
    received.connectionReused_ = upstream.reused_ || upstream.closeAfterResponse_;
    const bool fromPeer = exchange.attempt_.toPeer_;
    const ResponseClass responseClass = fromPeer
        ? classifyPeerResponse(received, exchange.requestId_)
        : classifyResponse(received, exchange.requestId_);
    if (responseClass == ResponseClass::OtherRequest)
        return false;
    // A response of another instance, or one that may belong to another request, says nothing about
    // the instance that was asked.
    if (!fromPeer && responseClass != ResponseClass::WrongInstance
        && responseClass != ResponseClass::Malformed)
        reportNotice(state, upstream.instance_, head);
    exchange.responseClass_ = responseClass;
    exchange.peerUnable_ = fromPeer && findField(head.headers_, names.unable_) == "1";
    if (fromPeer)
        std::erase_if(head.headers_, [&names](const HeaderField &field) {
            return equalsIgnoreCase(field.name_, names.unable_);
        });
    // Only the rest of the stream may follow its beginning, not the body of an error.
    if (exchange.headSent_ && responseClass == ResponseClass::Deliver
        && head.status_ != exchange.head_.status_)
        exchange.responseClass_ = ResponseClass::UpstreamFailure;
    // A resumed stream keeps the head of its first response.
    if (!exchange.headSent_)
        exchange.head_ = std::move(head);
    if (exchange.responseClass_ == ResponseClass::Deliver && !isEventStream(exchange))
        reportOutputStarted(state, exchange);
    return true;
}

bool onResponseBody(FrontendState &state, ClientExchange &exchange, const std::string &body)
{
    ClientConnection *client = findClient(state, exchange);
    if (!client)
        return true;
    if (isEventStream(exchange)) {
        feedEvents(exchange.events_, body);
        forwardEvents(state, exchange, *client);
        return exchange.events_.partial_.size() <= state.settings_.maxEventBytes_;
    }
    if (exchange.headSent_ && exchange.responseClass_ == ResponseClass::Deliver) {
        appendBody(exchange, *client, body);
        flushWithBackpressure(state, exchange, *client);
        return true;
    }
    exchange.bufferedBody_ += body;
    const std::size_t limit = state.settings_.maxBufferedResponseBytes_;
    if (exchange.bufferedBody_.size() <= bufferLimit(state.buffers_, limit))
        return true;
    if (exchange.responseClass_ != ResponseClass::Deliver)
        return exchange.bufferedBody_.size() <= limit;
    startUnsizedResponse(state, exchange, *client);
    appendBody(exchange, *client, std::exchange(exchange.bufferedBody_, {}));
    flushWithBackpressure(state, exchange, *client);
    return true;
}

bool endsInsideEvent(const ClientExchange &exchange)
{
    return isEventStream(exchange) && !exchange.events_.partial_.empty();
}

void onResponseEnd(FrontendState &state, ClientExchange &exchange)
{
    if (exchange.responseClass_ != ResponseClass::Deliver) {
        reportAttemptEnd(state, exchange, attemptEndFor(exchange.responseClass_),
                         fmt::format("status {}", exchange.head_.status_));
        return;
    }
    reportResponseComplete(state, exchange);
    ClientConnection *client = findClient(state, exchange);
    if (!client) {
        state.exchanges_.erase(exchange.id_);
        return;
    }
    if (isEventStream(exchange)) {
        startUnsizedResponse(state, exchange, *client);
        appendBody(exchange, *client, exchange.events_.partial_);
        endUnsizedResponse(exchange, *client);
    } else if (exchange.headSent_) {
        endUnsizedResponse(exchange, *client);
    } else {
        sendBufferedResponse(state, exchange, *client);
    }
    completeResponse(state, *client);
}

void reportAttemptEnd(FrontendState &state, ClientExchange &exchange, AttemptEnd end,
                      std::string detail, bool connectionsUsed)
{
    if (exchange.abandoned_) {
        state.exchanges_.erase(exchange.id_);
        return;
    }
    RelayAttemptEnded ended;
    ended.id_ = exchange.id_;
    ended.attempt_ = exchange.attempt_.attempt_;
    ended.connected_ = exchange.newConnection_ && end != AttemptEnd::NotSent;
    ended.end_ = end;
    ended.status_ = end == AttemptEnd::Failed ? exchange.head_.status_ : 0;
    ended.events_ = exchange.eventCount_;
    ended.partiallyDelivered_ = exchange.headSent_;
    ended.begunBy_ = exchange.begunBy_;
    ended.peerUnable_ = end == AttemptEnd::Failed && exchange.peerUnable_;
    ended.connectionsUsed_ = connectionsUsed;
    ended.detail_ = std::move(detail);
    state.events_.post_(std::move(ended));
}

void endClientResponse(FrontendState &state, ExchangeId id,
                       const std::function<void(ClientExchange &, ClientConnection &)> &respond)
{
    const auto it = state.exchanges_.find(id);
    if (it == state.exchanges_.end())
        return;
    ClientExchange &exchange = it->second;
    ClientConnection *client = findClient(state, exchange);
    if (!client)
        return;
    if (exchange.headSent_)
        truncateResponse(state, exchange, *client);
    else
        respond(exchange, *client);
}

bool mayRestartResponse(const ClientExchange &exchange)
{
    // Only a stream whose events have ids continues after its last event.
    return !exchange.headSent_ || !exchange.lastEventId_.empty();
}

bool beganElsewhere(const ClientExchange &exchange, const SendAttempt &attempt)
{
    return exchange.begunBy_ > 0 && exchange.begunAt_ != attempt.version_;
}

void forwardBufferedResponse(FrontendState &state, ClientExchange &exchange,
                             ClientConnection &client)
{
    sendBufferedResponse(state, exchange, client);
    completeResponse(state, client);
}

} // namespace tamarack::frontend
