// Writing of answers to callers.
#include "adapters/http/calleranswer.h"

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

/// An upstream's field must not add a line to the caller's header.
bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte >= 0x20 && byte != 0x7f;
    });
}

/// Runs a write. POCO throws when the caller's connection fails.
template <typename Write>
bool guardWrite(HttpCall &call, Write write)
{
    if (call.callerDisconnected_)
        return false;
    try {
        write();
    } catch (const std::exception &) {
        call.callerDisconnected_ = true;
    }
    if (call.callerDisconnected_)
        call.response_.setKeepAlive(false);
    return !call.callerDisconnected_;
}

bool writeEvent(HttpCall &call, const std::string &data)
{
    return guardWrite(call, [&call, &data] {
        if (!call.stream_) {
            call.response_.setContentType("text/event-stream");
            call.response_.set("Cache-Control", "no-cache");
            call.response_.setChunkedTransferEncoding(true);
            call.stream_ = &call.response_.send();
        }
        std::string text = "data: ";
        for (const char c : data) {
            text += c;
            if (c == '\n')
                text += "data: ";
        }
        text += "\n\n";
        *call.stream_ << text << std::flush;
        call.callerDisconnected_ = !call.stream_->good();
    });
}

} // namespace

bool sendAnswer(HttpCall &call, const CallerResponse &answer)
{
    return guardWrite(call, [&call, &answer] {
        call.response_.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(answer.status_));
        if (!answer.contentType_.empty() && isPrintable(answer.contentType_))
            call.response_.setContentType(answer.contentType_);
        for (const HeaderField &field : answer.headers_) {
            if (isPrintable(field.value_))
                call.response_.set(field.name_, field.value_);
        }
        call.response_.setContentLength64(static_cast<std::int64_t>(answer.body_.size()));
        std::ostream &stream = call.response_.send();
        stream << answer.body_ << std::flush;
        call.callerDisconnected_ = !stream.good();
    });
}

void refuseCall(HttpCall &call, const Refusal &refusal)
{
    CallerResponse answer;
    answer.status_ = httpStatus(refusal.reason_);
    answer.contentType_ = "application/json";
    answer.body_ = errorBody(refusal, call.requestId_);
    if (refusal.retryAfter_) {
        const auto seconds = std::chrono::ceil<Seconds>(*refusal.retryAfter_);
        answer.headers_.push_back(HeaderField {"Retry-After", std::to_string(seconds.count())});
    }
    sendAnswer(call, answer);
}

void refuseInvalid(HttpCall &call, std::string message)
{
    call.response_.setKeepAlive(false);
    refuseCall(call,
               Refusal {RefusalReason::InvalidRequest, Execution::NotRun, std::move(message),
                        std::nullopt});
}

CallerResponseWriter responseFor(HttpCall &call)
{
    CallerResponseWriter response;
    response.send_ = [&call](const CallerResponse &answer) {
        return sendAnswer(call, answer);
    };
    response.sendEvent_ = [&call](const std::string &data) {
        return writeEvent(call, data);
    };
    response.endStream_ = [&call] {
        return writeEvent(call, "[DONE]");
    };
    response.abortStream_ = [&call](const Refusal &refusal) {
        call.response_.setKeepAlive(false);
        writeEvent(call, errorBody(refusal, call.requestId_));
    };
    response.refuse_ = [&call](const Refusal &refusal) {
        refuseCall(call, refusal);
    };
    if (auto *request = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&call.request_))
        response.callerSocket_ = request->socket().impl()->sockfd();
    return response;
}

} // namespace tamarack
