// The HTTP client towards upstreams.
#include "adapters/http/upstreamclient.h"

#include "adapters/http/answer.h"
#include "adapters/http/connectionpool.h"
#include "adapters/http/eventstream.h"
#include "adapters/http/shortrequest.h"
#include "adapters/json/json.h"

#include <Poco/Net/HTTPRequest.h>

#include <fmt/format.h>

#include <array>
#include <memory>

namespace tamarack {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::string_view streamTerminator = "[DONE]";
/// Fields of an answer that callers of plain services need to use its body.
constexpr std::array forwardedFields
    = {"Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language",
       "ETag",          "Last-Modified",       "Location",         "Retry-After",
       "Vary"};

struct Client
{
    ConnectionPool pool_;
};

std::string exchangeText(const ExchangeRequest &exchange)
{
    HTTPRequest request(exchange.method_, exchange.path_, HTTPRequest::HTTP_1_1);
    for (const HeaderField &field : exchange.headers_)
        request.set(field.name_, field.value_);
    if (!exchange.contentType_.empty())
        request.setContentType(exchange.contentType_);
    request.set("X-Request-Id", exchange.request_.value_);
    request.set("X-Attempt-Id", exchange.attempt_.value_);
    request.set("X-Priority", std::to_string(exchange.priority_));
    if (!exchange.idempotencyKey_.empty())
        request.set("Idempotency-Key", exchange.idempotencyKey_);
    if (exchange.resumeOffset_ > 0)
        request.set("X-Resume-Offset", std::to_string(exchange.resumeOffset_));
    return requestText(request, exchange.address_, exchange.body_);
}

void endBy(ExchangeResult &result, Receipt receipt)
{
    result.detail_ = receiptText(receipt);
    switch (receipt) {
    case Receipt::Silent:
    case Receipt::DeadlinePassed:
        result.result_ = AttemptResult::TimedOut;
        return;
    case Receipt::CallerGone:
        result.result_ = AttemptResult::Cancelled;
        return;
    case Receipt::Malformed:
        result.result_ = AttemptResult::Failed;
        return;
    case Receipt::Data:
    case Receipt::Closed:
    case Receipt::Broken:
        break;
    }
    result.result_ = AttemptResult::Truncated;
}

void fail(ExchangeResult &result, std::string detail)
{
    result.result_ = AttemptResult::Failed;
    result.detail_ = std::move(detail);
}

/// One exchange on one connection.
struct Exchange
{
    const ExchangeRequest &request_;
    const EventSink &sink_;
    Connection &connection_;
    WaitLimits limits_;
    MonoTime sentAt_;
    AnswerHead head_;
    ExchangeResult result_;
};

void noteFirstByte(Exchange &exchange)
{
    if (!exchange.result_.firstByte_)
        exchange.result_.firstByte_
            = std::chrono::ceil<Micros>(std::chrono::steady_clock::now() - exchange.sentAt_);
}

/// Delivers events in order.
/// @return false if the exchange is over
bool deliver(Exchange &exchange, EventOrder &order, RawEvent event)
{
    if (event.data_ == streamTerminator) {
        exchange.result_.result_
            = order.held_.empty() ? AttemptResult::Complete : AttemptResult::Truncated;
        if (!order.held_.empty())
            exchange.result_.detail_ = fmt::format("event {} is missing", order.next_);
        return false;
    }
    std::vector<std::string> deliverable;
    if (!takeInOrder(order, std::move(event), deliverable)) {
        exchange.result_.result_ = AttemptResult::Truncated;
        exchange.result_.detail_ = fmt::format("event {} is missing", order.next_);
        return false;
    }
    for (std::string &data : deliverable) {
        noteFirstByte(exchange);
        // The deadline holds until the answer begins; then only silence ends it.
        exchange.limits_.deadline_.reset();
        const ChatUsage usage = parseChatUsage(data);
        if (usage.tokens_)
            exchange.result_.usage_ = usage.tokens_;
        if (!exchange.sink_(StreamEvent {std::move(data), usage.usageOnly_})) {
            exchange.result_.result_ = AttemptResult::Cancelled;
            return false;
        }
    }
    return true;
}

void readEvents(Exchange &exchange)
{
    EventParser parser;
    EventOrder order {exchange.request_.resumeOffset_, {}};
    std::vector<RawEvent> events;
    std::string piece;
    while (true) {
        const Receipt receipt
            = readPiece(exchange.connection_, exchange.limits_, exchange.head_.body_, piece);
        if (receipt != Receipt::Data) {
            endBy(exchange.result_, receipt);
            return;
        }
        events.clear();
        const bool fits = parseEvents(parser, piece, events);
        for (RawEvent &event : events) {
            if (!deliver(exchange, order, std::move(event)))
                return;
        }
        if (!fits) {
            fail(exchange.result_, fmt::format("an event is larger than {} bytes", maxEventBytes));
            return;
        }
        if (exchange.head_.body_.ended_) {
            endBy(exchange.result_, Receipt::Closed);
            return;
        }
    }
}

/// Checks what the framing does not prove.
void judgeBody(Exchange &exchange)
{
    ExchangeResult &result = exchange.result_;
    result.usage_ = parseUsage(result.body_);
    const bool proven = exchange.head_.body_.framing_ != BodyFraming::UntilClose;
    // The end of the connection may be a failure; only a JSON answer with its usage is known whole.
    const bool whole = proven
        || (exchange.request_.kind_ == UpstreamKind::ModelEngine && result.usage_.has_value());
    result.result_ = whole ? AttemptResult::Complete : AttemptResult::Truncated;
    if (!whole)
        result.detail_ = "the answer has neither a length nor chunks, so its end is not proven";
}

void readBody(Exchange &exchange)
{
    noteFirstByte(exchange);
    std::string piece;
    while (!exchange.head_.body_.ended_) {
        const Receipt receipt
            = readPiece(exchange.connection_, exchange.limits_, exchange.head_.body_, piece);
        if (receipt != Receipt::Data) {
            endBy(exchange.result_, receipt);
            return;
        }
        exchange.result_.body_ += piece;
        if (exchange.result_.body_.size() > exchange.request_.maxBodyBytes_) {
            fail(
                exchange.result_,
                fmt::format("the answer is larger than {} bytes", exchange.request_.maxBodyBytes_));
            return;
        }
    }
    judgeBody(exchange);
}

/// An answer that names another request must never reach this caller.
bool isForeign(const Exchange &exchange)
{
    const HTTPResponse &response = exchange.head_.response_;
    const std::string &request = exchange.request_.request_.value_;
    const std::string &attempt = exchange.request_.attempt_.value_;
    return response.get("X-Request-Id", request) != request
        || response.get("X-Attempt-Id", attempt) != attempt;
}

bool honoursOffset(const Exchange &exchange)
{
    const std::uint64_t offset = exchange.request_.resumeOffset_;
    return offset == 0
        || exchange.head_.response_.get("X-Resume-Offset", "") == std::to_string(offset);
}

void takeRefusal(Exchange &exchange)
{
    readBody(exchange);
    exchange.result_.result_ = AttemptResult::Rejected;
    if (reportsLeaving(exchange.result_.body_))
        exchange.result_.probe_ = ProbeResult::Leaving;
    exchange.result_.detail_
        = fmt::format("the upstream refused with status {}", exchange.result_.status_);
}

void takeFields(Exchange &exchange)
{
    const HTTPResponse &response = exchange.head_.response_;
    exchange.result_.status_ = response.getStatus();
    if (response.has("Content-Type"))
        exchange.result_.contentType_ = response.get("Content-Type");
    for (const char *name : forwardedFields) {
        if (response.has(name))
            exchange.result_.headers_.push_back(HeaderField {name, response.get(name)});
    }
}

void takeAnswer(Exchange &exchange)
{
    takeFields(exchange);
    ExchangeResult &result = exchange.result_;
    if (isForeign(exchange)) {
        result.forOtherRequest_ = true;
        fail(result, "the answer belongs to another request or attempt");
        return;
    }
    if (result.status_ == HTTPResponse::HTTP_SERVICE_UNAVAILABLE
        || result.status_ == HTTPResponse::HTTP_TOO_MANY_REQUESTS) {
        takeRefusal(exchange);
        return;
    }
    if (result.status_ >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR) {
        fail(result, fmt::format("the upstream answered with status {}", result.status_));
        return;
    }
    if (result.status_ < HTTPResponse::HTTP_OK) {
        fail(result, "the upstream switched protocols");
        return;
    }
    const bool ok = result.status_ == HTTPResponse::HTTP_OK;
    result.streamed_
        = exchange.request_.stream_ && ok && result.contentType_.starts_with("text/event-stream");
    if (ok && !honoursOffset(exchange)) {
        result.resumeRefused_ = true;
        fail(result, "the upstream does not resume at the offset");
    } else if (result.streamed_) {
        readEvents(exchange);
    } else {
        readBody(exchange);
    }
}

void keepIfWhole(Client &client, Exchange &exchange)
{
    const bool whole = exchange.result_.result_ == AttemptResult::Complete;
    const bool framed = exchange.head_.body_.framing_ != BodyFraming::UntilClose;
    if (!whole || !framed || !exchange.head_.response_.getKeepAlive())
        return;
    keep(client.pool_, exchange.request_.address_,
         KeptConnection {std::move(exchange.connection_), exchange.head_.body_,
                         std::chrono::steady_clock::now()});
}

/// @param answered is set when the head of an answer arrived
ExchangeResult exchangeOn(Client &client, Connection &connection, const ExchangeRequest &request,
                          const EventSink &sink, bool &answered)
{
    Exchange exchange {request, sink, connection, {}, std::chrono::steady_clock::now(), {}, {}};
    exchange.limits_.silence_ = request.silenceLimit_;
    exchange.limits_.deadline_ = request.deadline_;
    exchange.limits_.callerSocket_ = request.callerSocket_;
    exchange.limits_.mayWaitOn_ = [&exchange] {
        exchange.result_.probe_ = probeUpstream(exchange.request_.address_);
        // Nothing is expected of a plain answer until it is complete, so a live upstream may go on.
        return !exchange.request_.stream_ && exchange.result_.probe_ != ProbeResult::Failed;
    };
    Receipt receipt = sendAll(connection, exchangeText(request), request.silenceLimit_);
    if (receipt == Receipt::Data)
        receipt = readHead(connection, exchange.limits_, request.method_, exchange.head_);
    if (receipt != Receipt::Data) {
        endBy(exchange.result_, receipt);
        answered = receipt == Receipt::Malformed;
        return std::move(exchange.result_);
    }
    answered = true;
    takeAnswer(exchange);
    keepIfWhole(client, exchange);
    return std::move(exchange.result_);
}

/// Whether a kept connection may have failed on its own, so that a new one may succeed.
bool blamesConnection(const ExchangeResult &result)
{
    return result.result_ == AttemptResult::Truncated
        || (result.result_ == AttemptResult::TimedOut && result.probe_ == ProbeResult::Live);
}

ExchangeResult runExchange(Client &client, const ExchangeRequest &request, const EventSink &sink)
{
    // A request that must not run twice gets a new connection: whether a kept one has gone silent
    // shows only after the request was sent.
    if (request.idempotent_) {
        if (std::optional<Connection> kept = takeKept(client.pool_, request.address_)) {
            bool answered = false;
            ExchangeResult result = exchangeOn(client, *kept, request, sink, answered);
            if (answered || !blamesConnection(result))
                return result;
            dropKept(client.pool_, request.address_);
        }
    }
    ExchangeResult result;
    std::optional<Connection> connection
        = connectTo(request.address_, request.connectTimeout_, result.detail_);
    if (!connection)
        return result;
    bool answered = false;
    return exchangeOn(client, *connection, request, sink, answered);
}

} // namespace

UpstreamPort makeHttpUpstreamPort()
{
    const auto client = std::make_shared<Client>();
    UpstreamPort port;
    port.exchange_ = [client](const ExchangeRequest &request, const EventSink &sink) {
        return runExchange(*client, request, sink);
    };
    port.cancel_ = cancelRequest;
    return port;
}

} // namespace tamarack
