// HTTP client for upstreams.
#include "adapters/http/upstreamclient.h"

#include "adapters/http/connectionpool.h"
#include "adapters/http/eventstream.h"
#include "adapters/http/oneshotrequest.h"
#include "adapters/httpclient/httpclient.h"
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
/// Response fields that callers of plain services need to interpret the body.
constexpr std::array forwardedFields
    = {"Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language",
       "ETag",          "Last-Modified",       "Location",         "Retry-After",
       "Vary"};

struct Client
{
    ConnectionPool pool_;
};

std::string formatExchange(const ExchangeRequest &exchange)
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
    return formatRequest(request, exchange.address_, exchange.body_);
}

void setReadFailure(ExchangeResult &result, IoStatus status)
{
    result.detail_ = ioStatusText(status);
    switch (status) {
    case IoStatus::IdleTimeout:
    case IoStatus::DeadlineExceeded:
        result.result_ = AttemptResult::TimedOut;
        return;
    case IoStatus::CallerDisconnected:
        result.result_ = AttemptResult::Cancelled;
        return;
    case IoStatus::Malformed:
        result.result_ = AttemptResult::Failed;
        result.malformed_ = true;
        return;
    case IoStatus::Ok:
    case IoStatus::Closed:
    case IoStatus::ConnectionError:
        break;
    }
    result.result_ = AttemptResult::Truncated;
}

void setFailed(ExchangeResult &result, std::string detail)
{
    result.result_ = AttemptResult::Failed;
    result.detail_ = std::move(detail);
}

/// State of one exchange on one connection.
struct Exchange
{
    const ExchangeRequest &request_;
    const EventSink &sink_;
    Connection &connection_;
    ReadLimits limits_;
    MonoTime sentAt_;
    ReceivedHead head_;
    ExchangeResult result_;
};

void recordFirstByte(Exchange &exchange)
{
    if (!exchange.result_.timeToFirstByte_)
        exchange.result_.timeToFirstByte_
            = std::chrono::ceil<Micros>(std::chrono::steady_clock::now() - exchange.sentAt_);
}

/// Passes events to the sink in order.
/// @return false if the exchange has ended
bool deliverEvent(Exchange &exchange, ReorderBuffer &reorderBuffer, RawEvent event)
{
    if (event.data_ == streamTerminator) {
        exchange.result_.result_
            = reorderBuffer.pending_.empty() ? AttemptResult::Complete : AttemptResult::Truncated;
        if (!reorderBuffer.pending_.empty())
            exchange.result_.detail_ = fmt::format("event {} is missing", reorderBuffer.next_);
        return false;
    }
    std::vector<std::string> deliverable;
    if (!insertInOrder(reorderBuffer, std::move(event), deliverable)) {
        exchange.result_.result_ = AttemptResult::Truncated;
        exchange.result_.detail_ = fmt::format("event {} is missing", reorderBuffer.next_);
        return false;
    }
    for (std::string &data : deliverable) {
        recordFirstByte(exchange);
        // The deadline applies only until the first event; from then on only the idle timeout ends
        // the exchange.
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
    ReorderBuffer reorderBuffer {exchange.request_.resumeOffset_, {}};
    std::vector<RawEvent> events;
    std::string bytes;
    while (true) {
        const IoStatus status
            = readBodyBytes(exchange.connection_, exchange.limits_, exchange.head_.body_, bytes);
        if (status != IoStatus::Ok) {
            setReadFailure(exchange.result_, status);
            return;
        }
        events.clear();
        const bool fits = parseEvents(parser, bytes, events);
        for (RawEvent &event : events) {
            if (!deliverEvent(exchange, reorderBuffer, std::move(event)))
                return;
        }
        if (!fits) {
            setFailed(exchange.result_,
                      fmt::format("an event is larger than {} bytes", maxEventBytes));
            return;
        }
        if (exchange.head_.body_.complete_) {
            setReadFailure(exchange.result_, IoStatus::Closed);
            return;
        }
    }
}

/// Decides whether the body is complete where the framing does not prove it.
void checkBodyComplete(Exchange &exchange)
{
    ExchangeResult &result = exchange.result_;
    result.usage_ = parseUsage(result.body_);
    const bool proven = exchange.head_.body_.framing_ != BodyFraming::UntilClose;
    // An end of the connection may be a failure. Without framing, only a JSON response that
    // contains its usage is known to be complete.
    const bool complete = proven
        || (exchange.request_.kind_ == UpstreamKind::ModelEngine && result.usage_.has_value());
    result.result_ = complete ? AttemptResult::Complete : AttemptResult::Truncated;
    if (!complete)
        result.detail_
            = "the response has neither Content-Length nor chunked encoding and may be truncated";
}

void readBody(Exchange &exchange)
{
    recordFirstByte(exchange);
    std::string bytes;
    while (!exchange.head_.body_.complete_) {
        const IoStatus status
            = readBodyBytes(exchange.connection_, exchange.limits_, exchange.head_.body_, bytes);
        if (status != IoStatus::Ok) {
            setReadFailure(exchange.result_, status);
            return;
        }
        exchange.result_.body_ += bytes;
        if (exchange.result_.body_.size() > exchange.request_.maxBodyBytes_) {
            setFailed(exchange.result_,
                      fmt::format("the response is larger than {} bytes",
                                  exchange.request_.maxBodyBytes_));
            return;
        }
    }
    checkBodyComplete(exchange);
}

/// A response that names another request or attempt must not be delivered to this caller.
bool belongsToOtherRequest(const Exchange &exchange)
{
    const HTTPResponse &response = exchange.head_.response_;
    const std::string &request = exchange.request_.request_.value_;
    const std::string &attempt = exchange.request_.attempt_.value_;
    return response.get("X-Request-Id", request) != request
        || response.get("X-Attempt-Id", attempt) != attempt;
}

bool confirmsResumeOffset(const Exchange &exchange)
{
    const std::uint64_t offset = exchange.request_.resumeOffset_;
    return offset == 0
        || exchange.head_.response_.get("X-Resume-Offset", "") == std::to_string(offset);
}

void readRejection(Exchange &exchange)
{
    readBody(exchange);
    exchange.result_.result_ = AttemptResult::Rejected;
    if (reportsLeaving(exchange.result_.body_))
        exchange.result_.probe_ = ProbeResult::Leaving;
    exchange.result_.detail_
        = fmt::format("the upstream rejected the request with status {}", exchange.result_.status_);
}

void copyFields(Exchange &exchange)
{
    const HTTPResponse &response = exchange.head_.response_;
    exchange.result_.status_ = exchange.head_.status_;
    if (response.has("Content-Type"))
        exchange.result_.contentType_ = response.get("Content-Type");
    for (const char *name : forwardedFields) {
        if (response.has(name))
            exchange.result_.headers_.push_back(HeaderField {name, response.get(name)});
    }
}

void readResponse(Exchange &exchange)
{
    copyFields(exchange);
    ExchangeResult &result = exchange.result_;
    if (belongsToOtherRequest(exchange)) {
        result.forOtherRequest_ = true;
        setFailed(result, "the response belongs to another request or attempt");
        return;
    }
    if (result.status_ == HTTPResponse::HTTP_SERVICE_UNAVAILABLE
        || result.status_ == HTTPResponse::HTTP_TOO_MANY_REQUESTS) {
        readRejection(exchange);
        return;
    }
    if (result.status_ >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR) {
        setFailed(result, fmt::format("the upstream responded with status {}", result.status_));
        return;
    }
    const bool ok = result.status_ == HTTPResponse::HTTP_OK;
    result.streamed_
        = exchange.request_.stream_ && ok && result.contentType_.starts_with("text/event-stream");
    if (ok && !confirmsResumeOffset(exchange)) {
        result.resumeRefused_ = true;
        setFailed(result, "the upstream did not confirm the resume offset");
    } else if (result.streamed_) {
        readEvents(exchange);
    } else {
        readBody(exchange);
    }
}

void poolIfComplete(Client &client, Exchange &exchange)
{
    const bool complete = exchange.result_.result_ == AttemptResult::Complete;
    const bool framed = exchange.head_.body_.framing_ != BodyFraming::UntilClose;
    if (!complete || !framed || !exchange.head_.response_.getKeepAlive())
        return;
    returnConnection(client.pool_, exchange.request_.address_,
                     PooledConnection {std::move(exchange.connection_), exchange.head_.body_,
                                       std::chrono::steady_clock::now()});
}

/// @param responseStarted set if a response head, or malformed data, was received
ExchangeResult runExchangeOn(Client &client, Connection &connection, const ExchangeRequest &request,
                             const EventSink &sink, bool &responseStarted)
{
    Exchange exchange {request, sink, connection, {}, std::chrono::steady_clock::now(), {}, {}};
    exchange.limits_.idleTimeout_ = request.silenceLimit_;
    exchange.limits_.deadline_ = request.deadline_;
    exchange.limits_.callerSocket_ = request.callerSocket_;
    exchange.limits_.continueAfterTimeout_ = [&exchange] {
        exchange.result_.probe_ = probeUpstream(exchange.request_.address_);
        // A plain response sends nothing until it is complete, so waiting continues while the
        // upstream passes the health probe.
        return !exchange.request_.stream_ && exchange.result_.probe_ != ProbeResult::Failed;
    };
    IoStatus status = sendAll(connection, formatExchange(request), request.silenceLimit_);
    if (status == IoStatus::Ok)
        status = readHead(connection, exchange.limits_, request.method_, exchange.head_);
    if (status != IoStatus::Ok) {
        setReadFailure(exchange.result_, status);
        responseStarted = status == IoStatus::Malformed;
        return std::move(exchange.result_);
    }
    responseStarted = true;
    readResponse(exchange);
    poolIfComplete(client, exchange);
    return std::move(exchange.result_);
}

/// Returns whether the pooled connection itself may have failed, in which case a new connection may
/// succeed.
bool isConnectionFailure(const ExchangeResult &result)
{
    return result.result_ == AttemptResult::Truncated
        || (result.result_ == AttemptResult::TimedOut && result.probe_ == ProbeResult::Live);
}

ExchangeResult runExchange(Client &client, const ExchangeRequest &request, const EventSink &sink)
{
    // A non-idempotent request uses a new connection: a dead pooled connection is detected only
    // after the request was sent.
    if (request.idempotent_) {
        if (std::optional<Connection> pooled = takeConnection(client.pool_, request.address_)) {
            bool responseStarted = false;
            ExchangeResult result = runExchangeOn(client, *pooled, request, sink, responseStarted);
            if (responseStarted || !isConnectionFailure(result))
                return result;
            closeConnections(client.pool_, request.address_);
        }
    }
    ExchangeResult result;
    std::optional<Connection> connection
        = connectTo(request.address_, request.connectTimeout_, result.detail_);
    if (!connection)
        return result;
    bool responseStarted = false;
    return runExchangeOn(client, *connection, request, sink, responseStarted);
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
