// Answers on their way from an upstream to its client.
#include "adapters/relayhttp/frontparts.h"

#include <fmt/format.h>
#include <sys/epoll.h>

#include <charconv>

namespace tamarack::front {

namespace {

constexpr int statusGatewayTimeout = 504;

ClientConnection *clientOf(FrontState &state, const Exchange &exchange)
{
    if (exchange.abandoned_)
        return nullptr;
    const auto it = state.clients_.find(exchange.client_);
    return it == state.clients_.end() ? nullptr : &it->second;
}

std::string headBytes(const Exchange &exchange, const ClientConnection &client,
                      std::optional<std::size_t> length)
{
    const HttpAnswerHead &head = exchange.head_;
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", head.status_, head.reason_);
    for (const HeaderField &field : head.headers_)
        text += fmt::format("{}: {}\r\n", field.name_, field.value_);
    const bool bodiless = head.status_ == 204 || head.status_ == 304;
    if (length && !bodiless)
        text += fmt::format("Content-Length: {}\r\n", *length);
    else if (!length && !client.closeAfter_)
        text += "Transfer-Encoding: chunked\r\n";
    else if (!length)
        text += exchange.request_.http10_ ? "" : "Transfer-Encoding: chunked\r\n";
    if (client.closeAfter_)
        text += "Connection: close\r\n";
    return text + "\r\n";
}

void startChunked(FrontState &state, Exchange &exchange, ClientConnection &client)
{
    if (exchange.headSent_)
        return;
    if (state.closing_)
        client.closeAfter_ = true;
    exchange.headSent_ = true;
    // An HTTP/1.0 client reads to the end of the connection instead.
    exchange.chunked_ = !exchange.request_.http10_;
    client.endpoint_.out_.bytes_ += headBytes(exchange, client, std::nullopt);
}

void appendBody(const Exchange &exchange, ClientConnection &client, std::string_view bytes)
{
    if (bytes.empty())
        return;
    std::string &out = client.endpoint_.out_.bytes_;
    if (exchange.chunked_)
        out += fmt::format("{:x}\r\n", bytes.size());
    out += bytes;
    if (exchange.chunked_)
        out += "\r\n";
}

/// Sends what is queued and stops reading from the upstream while the client does not keep up.
void push(FrontState &state, Exchange &exchange, ClientConnection &client)
{
    sendToClient(state, client, {});
    const OutputBuffer &out = client.endpoint_.out_;
    if (out.bytes_.size() - out.sent_ < state.settings_.clientBacklogBytes_ || !exchange.upstream_)
        return;
    UpstreamConnection &upstream = state.upstreams_.at(*exchange.upstream_);
    upstream.paused_ = true;
    watch(state, upstream.endpoint_, EPOLLRDHUP);
}

void postOutput(FrontState &state, Exchange &exchange)
{
    if (exchange.outputPosted_)
        return;
    exchange.outputPosted_ = true;
    state.events_.post_(
        OutputStarted {exchange.id_, exchange.attempt_.attempt_, std::chrono::steady_clock::now()});
}

std::optional<std::uint64_t> number(const std::string &text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// An upstream that ignores the resume position sends events that the client has.
bool isRepeated(const Exchange &exchange, const WholeEvent &event)
{
    if (!event.id_ || exchange.lastEventId_.empty())
        return false;
    const auto id = number(*event.id_);
    const auto last = number(exchange.lastEventId_);
    return id && last && *id <= *last;
}

void relayEvents(FrontState &state, Exchange &exchange, ClientConnection &client)
{
    while (std::optional<WholeEvent> event = takeEvent(exchange.events_)) {
        postOutput(state, exchange);
        if (isRepeated(exchange, *event))
            continue;
        startChunked(state, exchange, client);
        appendBody(exchange, client, event->bytes_);
        ++exchange.eventCount_;
        if (event->id_)
            exchange.lastEventId_ = *event->id_;
    }
    push(state, exchange, client);
}

void endChunked(const Exchange &exchange, ClientConnection &client)
{
    if (exchange.chunked_)
        client.endpoint_.out_.bytes_ += "0\r\n\r\n";
    else
        client.closeAfter_ = true;
}

void reportDelivered(FrontState &state, Exchange &exchange)
{
    RelayAttemptEnded ended;
    ended.id_ = exchange.id_;
    ended.attempt_ = exchange.attempt_.attempt_;
    ended.end_ = AttemptEnd::Delivered;
    ended.status_ = exchange.head_.status_;
    ended.events_ = exchange.eventCount_;
    state.events_.post_(std::move(ended));
}

void sendHeld(FrontState &state, Exchange &exchange, ClientConnection &client)
{
    if (state.closing_)
        client.closeAfter_ = true;
    std::string &out = client.endpoint_.out_.bytes_;
    out += headBytes(exchange, client, exchange.held_.size());
    out += exchange.held_;
}

bool isStreamed(const Exchange &exchange)
{
    return exchange.attempt_.streaming_ && exchange.meaning_ == ResponseClass::Deliver
        && exchange.head_.status_ == 200;
}

AttemptEnd endOf(ResponseClass meaning)
{
    switch (meaning) {
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

bool onAnswerHead(FrontState &state, UpstreamConnection &upstream, Exchange &exchange)
{
    const HeaderNames &names = state.settings_.headers_;
    HttpAnswerHead head = answerHead(upstream.reader_);
    ResponseHead facts;
    facts.status_ = head.status_;
    if (const auto echoed = findField(head.headers_, names.requestId_))
        facts.echoedRequest_ = RequestId {std::string(*echoed)};
    facts.signed_ = findField(head.headers_, names.signature_).has_value();
    facts.notExecuted_ = findField(head.headers_, names.notExecuted_).has_value();
    facts.contentEncoded_ = findField(head.headers_, "Content-Encoding").has_value();
    const ResponseClass meaning = classifyResponse(facts, exchange.requestId_);
    if (meaning == ResponseClass::OtherRequest)
        return false;
    exchange.meaning_ = meaning;
    // A resumed stream keeps the head of its first upstream.
    if (!exchange.headSent_)
        exchange.head_ = std::move(head);
    if (meaning == ResponseClass::Deliver && !isStreamed(exchange))
        postOutput(state, exchange);
    return true;
}

void onAnswerBody(FrontState &state, Exchange &exchange, const std::string &body)
{
    ClientConnection *client = clientOf(state, exchange);
    if (!client)
        return;
    if (isStreamed(exchange)) {
        feedEvents(exchange.events_, body);
        relayEvents(state, exchange, *client);
        return;
    }
    if (exchange.headSent_ && exchange.meaning_ == ResponseClass::Deliver) {
        appendBody(exchange, *client, body);
        push(state, exchange, *client);
        return;
    }
    exchange.held_ += body;
    if (exchange.meaning_ != ResponseClass::Deliver
        || exchange.held_.size() <= state.settings_.heldAnswerBytes_)
        return;
    startChunked(state, exchange, *client);
    appendBody(exchange, *client, std::exchange(exchange.held_, {}));
    push(state, exchange, *client);
}

void onAnswerEnd(FrontState &state, Exchange &exchange)
{
    if (exchange.meaning_ != ResponseClass::Deliver) {
        reportEnd(state, exchange, endOf(exchange.meaning_),
                  fmt::format("status {}", exchange.head_.status_));
        return;
    }
    reportDelivered(state, exchange);
    ClientConnection *client = clientOf(state, exchange);
    if (!client) {
        state.exchanges_.erase(exchange.id_);
        return;
    }
    if (isStreamed(exchange)) {
        startChunked(state, exchange, *client);
        appendBody(exchange, *client, exchange.events_.partial_);
        endChunked(exchange, *client);
    } else if (exchange.headSent_) {
        endChunked(exchange, *client);
    } else {
        sendHeld(state, exchange, *client);
    }
    completeAnswer(state, *client);
}

void reportEnd(FrontState &state, Exchange &exchange, AttemptEnd end, std::string detail)
{
    if (exchange.abandoned_) {
        state.exchanges_.erase(exchange.id_);
        return;
    }
    RelayAttemptEnded ended;
    ended.id_ = exchange.id_;
    ended.attempt_ = exchange.attempt_.attempt_;
    ended.end_ = end;
    ended.status_ = end == AttemptEnd::Failed ? exchange.head_.status_ : 0;
    ended.events_ = exchange.eventCount_;
    ended.partiallyDelivered_ = exchange.headSent_;
    ended.detail_ = std::move(detail);
    state.events_.post_(std::move(ended));
}

void passOnAnswer(FrontState &state, Exchange &exchange)
{
    ClientConnection *client = clientOf(state, exchange);
    if (!client)
        return;
    sendHeld(state, exchange, *client);
    completeAnswer(state, *client);
}

void cutAnswer(FrontState &state, Exchange &exchange)
{
    ClientConnection *client = clientOf(state, exchange);
    if (!client)
        return;
    if (!exchange.headSent_) {
        answerLocally(state, *client, statusGatewayTimeout, LocalResponse {}, std::nullopt);
        return;
    }
    // Without the last chunk, or before the length is reached, the end is seen as a cut.
    client->closeAfter_ = true;
    if (!exchange.chunked_)
        client->reset_ = true;
    completeAnswer(state, *client);
}

} // namespace tamarack::front
