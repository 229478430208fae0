// The HTTP client towards upstreams, by POCO.
#include "adapters/http/upstreamclient.h"

#include "adapters/http/address.h"
#include "adapters/json/json.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <istream>
#include <ostream>

namespace tamarack {

namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPResponse;

constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view streamTerminator = "[DONE]";

Poco::Net::HTTPRequest makeRequest(const ExchangeRequest &exchange)
{
    Poco::Net::HTTPRequest request(exchange.method_, exchange.path_,
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    if (!exchange.contentType_.empty())
        request.setContentType(exchange.contentType_);
    request.setContentLength64(static_cast<std::int64_t>(exchange.body_.size()));
    request.set("X-Request-Id", exchange.request_.value_);
    request.set("X-Attempt-Id", exchange.attempt_.value_);
    request.set("X-Priority", std::to_string(exchange.priority_));
    if (!exchange.idempotencyKey_.empty())
        request.set("Idempotency-Key", exchange.idempotencyKey_);
    if (exchange.resumeOffset_ > 0)
        request.set("X-Resume-Offset", std::to_string(exchange.resumeOffset_));
    return request;
}

/// Reads events until the terminator.
/// @return Whole, Cut or Cancelled
AttemptResult readEvents(std::istream &stream, const EventSink &sink, ExchangeResult &result)
{
    std::string line;
    while (std::getline(stream, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (!line.starts_with(dataPrefix))
            continue;
        const std::string data = line.substr(dataPrefix.size());
        if (data == streamTerminator)
            return AttemptResult::Whole;
        if (const std::optional<Tokens> usage = parseUsage(data))
            result.usage_ = usage;
        if (!sink(data))
            return AttemptResult::Cancelled;
    }
    return AttemptResult::Cut;
}

AttemptResult readBody(std::istream &stream, const HTTPResponse &response, std::size_t maxBytes,
                       ExchangeResult &result)
{
    std::string buffer(16U << 10U, '\0');
    while (stream.read(buffer.data(), static_cast<std::streamsize>(buffer.size())),
           stream.gcount() > 0) {
        result.body_.append(buffer, 0, static_cast<std::size_t>(stream.gcount()));
        if (result.body_.size() > maxBytes) {
            result.detail_ = "the answer is larger than the limit";
            return AttemptResult::Failed;
        }
    }
    const bool sized = response.hasContentLength();
    if (sized && response.getContentLength64() != static_cast<std::int64_t>(result.body_.size()))
        return AttemptResult::Cut;
    result.usage_ = parseUsage(result.body_);
    return AttemptResult::Whole;
}

AttemptResult classify(int status)
{
    if (status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE
        || status == HTTPResponse::HTTP_TOO_MANY_REQUESTS)
        return AttemptResult::Rejected;
    return status >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR ? AttemptResult::Failed
                                                              : AttemptResult::Whole;
}

void receive(HTTPClientSession &session, const ExchangeRequest &exchange, const EventSink &sink,
             MonoTime sentAt, ExchangeResult &result)
{
    HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    result.firstByte_
        = std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - sentAt);
    result.status_ = response.getStatus();
    result.contentType_ = response.getContentType();
    result.result_ = classify(result.status_);
    if (result.result_ != AttemptResult::Whole)
        return;
    const bool events = exchange.stream_ && result.status_ == HTTPResponse::HTTP_OK;
    result.result_ = events ? readEvents(stream, sink, result)
                            : readBody(stream, response, exchange.maxBodyBytes_, result);
}

/// Connects on its own, because a failure to connect is the only proof that nothing was sent.
bool connect(Poco::Net::StreamSocket &socket, const ExchangeRequest &exchange,
             ExchangeResult &result)
{
    try {
        socket.connect(Poco::Net::SocketAddress(exchange.address_),
                       toTimespan(exchange.connectLimit_));
        return true;
    } catch (const Poco::Exception &error) {
        result.result_ = AttemptResult::NotSent;
        result.detail_ = error.displayText();
        return false;
    }
}

ExchangeResult runExchange(const ExchangeRequest &exchange, const EventSink &sink)
{
    ExchangeResult result;
    Poco::Net::StreamSocket socket;
    if (!connect(socket, exchange, result))
        return result;
    try {
        HTTPClientSession session(socket);
        const Poco::Timespan limit = toTimespan(exchange.silenceLimit_);
        session.setTimeout(limit, limit, limit);
        Poco::Net::HTTPRequest request = makeRequest(exchange);
        const MonoTime sentAt = std::chrono::steady_clock::now();
        session.sendRequest(request) << exchange.body_ << std::flush;
        receive(session, exchange, sink, sentAt, result);
    } catch (const Poco::TimeoutException &error) {
        result.result_ = AttemptResult::TimedOut;
        result.detail_ = error.displayText();
    } catch (const Poco::Exception &error) {
        result.result_ = AttemptResult::Cut;
        result.detail_ = error.displayText();
    }
    return result;
}

} // namespace

UpstreamPort makeHttpUpstreamPort()
{
    return UpstreamPort {runExchange};
}

} // namespace tamarack
