// Writes responses to callers.
#include "adapters/http/callerresponse.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <sstream>

namespace tamarack {

namespace {

using Poco::Net::HTTPResponse;

int httpStatus(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::InvalidRequest:
        return 400;
    case RefusalReason::UnknownKey:
        return 401;
    case RefusalReason::BudgetExhausted:
        return 402;
    case RefusalReason::BudgetNotOwned:
        return 403;
    case RefusalReason::OutcomeUnknown:
        return 409;
    case RefusalReason::RateLimited:
    case RefusalReason::TooManyRequestsInFlight:
        return 429;
    case RefusalReason::UpstreamFailed:
        return 502;
    case RefusalReason::DeadlineExceeded:
        return 504;
    case RefusalReason::BudgetHeldElsewhere:
    case RefusalReason::BudgetUnconfirmed:
    case RefusalReason::Overloaded:
    case RefusalReason::NoUpstream:
    case RefusalReason::Stopping:
    case RefusalReason::BundleUnconfirmed:
        break;
    }
    return 503;
}

std::string errorBody(const Refusal &refusal, const std::string &requestId)
{
    Poco::JSON::Object error(Poco::JSON_PRESERVE_KEY_ORDER);
    error.set("code", std::string(refusalCode(refusal.reason_)));
    error.set("message", refusal.message_);
    error.set("request_id", requestId);
    error.set("execution", std::string(executionCode(refusal.execution_)));
    Poco::JSON::Object root;
    root.set("error", error);
    std::ostringstream text;
    root.stringify(text);
    return text.str();
}

/// Returns whether a field value can be forwarded: control characters could inject further header
/// fields into the caller's response.
bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte >= 0x20 && byte != 0x7f;
    });
}

/// Runs a write unless an earlier one failed. POCO throws when the caller's connection fails.
/// @return false if the caller disconnected
template <typename Write>
bool tryWrite(HttpExchange &exchange, Write write)
{
    if (exchange.callerDisconnected_)
        return false;
    try {
        write();
    } catch (const std::exception &) {
        exchange.callerDisconnected_ = true;
    }
    if (exchange.callerDisconnected_)
        exchange.response_.setKeepAlive(false);
    return !exchange.callerDisconnected_;
}

bool writeEvent(HttpExchange &exchange, const std::string &data)
{
    return tryWrite(exchange, [&exchange, &data] {
        if (!exchange.stream_) {
            exchange.response_.setContentType("text/event-stream");
            exchange.response_.set("Cache-Control", "no-cache");
            exchange.response_.setChunkedTransferEncoding(true);
            exchange.stream_ = &exchange.response_.send();
        }
        std::string text = "data: ";
        for (const char c : data) {
            text += c;
            if (c == '\n')
                text += "data: ";
        }
        text += "\n\n";
        *exchange.stream_ << text << std::flush;
        exchange.callerDisconnected_ = !exchange.stream_->good();
    });
}

} // namespace

bool sendResponse(HttpExchange &exchange, const CallerResponse &response)
{
    return tryWrite(exchange, [&exchange, &response] {
        exchange.response_.setStatusAndReason(
            static_cast<HTTPResponse::HTTPStatus>(response.status_));
        if (!response.contentType_.empty() && isPrintable(response.contentType_))
            exchange.response_.setContentType(response.contentType_);
        for (const HeaderField &field : response.headers_) {
            if (isPrintable(field.value_))
                exchange.response_.set(field.name_, field.value_);
        }
        exchange.response_.setContentLength64(static_cast<std::int64_t>(response.body_.size()));
        std::ostream &stream = exchange.response_.send();
        stream << response.body_ << std::flush;
        exchange.callerDisconnected_ = !stream.good();
    });
}

void sendRefusal(HttpExchange &exchange, const Refusal &refusal)
{
    CallerResponse response;
    response.status_ = httpStatus(refusal.reason_);
    response.contentType_ = "application/json";
    response.body_ = errorBody(refusal, exchange.requestId_);
    if (refusal.retryAfter_) {
        const auto seconds = std::chrono::ceil<Seconds>(*refusal.retryAfter_);
        response.headers_.push_back(HeaderField {"Retry-After", std::to_string(seconds.count())});
    }
    sendResponse(exchange, response);
}

void refuseInvalidRequest(HttpExchange &exchange, std::string message)
{
    exchange.response_.setKeepAlive(false);
    sendRefusal(exchange,
                Refusal {RefusalReason::InvalidRequest, Execution::NotRun, std::move(message),
                         std::nullopt});
}

CallerResponseWriter makeResponseWriter(HttpExchange &exchange)
{
    CallerResponseWriter writer;
    writer.send_ = [&exchange](const CallerResponse &response) {
        return sendResponse(exchange, response);
    };
    writer.sendEvent_ = [&exchange](const std::string &data) {
        return writeEvent(exchange, data);
    };
    writer.endStream_ = [&exchange] {
        return writeEvent(exchange, "[DONE]");
    };
    writer.abortStream_ = [&exchange](const Refusal &refusal) {
        exchange.response_.setKeepAlive(false);
        writeEvent(exchange, errorBody(refusal, exchange.requestId_));
    };
    writer.refuse_ = [&exchange](const Refusal &refusal) {
        sendRefusal(exchange, refusal);
    };
    if (auto *request = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&exchange.request_))
        writer.callerSocket_ = request->socket().impl()->sockfd();
    return writer;
}

} // namespace tamarack
