// The callers' listener by POCO.
#include "adapters/http/callerserver.h"

#include "adapters/crypto/crypto.h"
#include "adapters/http/address.h"
#include "adapters/json/json.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <fmt/format.h>

#include <algorithm>
#include <istream>
#include <ostream>
#include <set>
#include <sstream>

namespace tamarack {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view servicesPrefix = "/services/";
constexpr Millis maxTimeLimit {std::chrono::hours {1}};

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

/// The HTTP side of one request.
struct HttpCall
{
    HTTPServerRequest &request_;
    HTTPServerResponse &response_;
    std::size_t maxBytes_;
    std::string requestId_;
    std::ostream *stream_ = nullptr;
};

void sendBody(HttpCall &call, int status, const std::string &contentType, const std::string &body)
{
    call.response_.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(status));
    call.response_.setContentType(contentType);
    call.response_.setContentLength64(static_cast<std::int64_t>(body.size()));
    call.response_.send() << body << std::flush;
}

void refuseCall(HttpCall &call, const Refusal &refusal)
{
    if (refusal.retryAfter_) {
        const auto seconds = std::chrono::ceil<Seconds>(*refusal.retryAfter_);
        call.response_.set("Retry-After", std::to_string(seconds.count()));
    }
    sendBody(call, httpStatus(refusal.reason_), "application/json",
             errorBody(refusal, call.requestId_));
}

void refuseInvalid(HttpCall &call, std::string message)
{
    refuseCall(call,
               Refusal {RefusalReason::InvalidRequest, Execution::NotRun, std::move(message),
                        std::nullopt});
}

bool writeEvent(HttpCall &call, const std::string &data)
{
    if (!call.stream_) {
        call.response_.setContentType("text/event-stream");
        call.response_.set("Cache-Control", "no-cache");
        call.response_.setChunkedTransferEncoding(true);
        call.stream_ = &call.response_.send();
    }
    *call.stream_ << "data: " << data << "\n\n" << std::flush;
    return call.stream_->good();
}

CallerResponse responseFor(HttpCall &call)
{
    CallerResponse response;
    response.send_ = [&call](int status, const std::string &type, const std::string &body) {
        sendBody(call, status, type, body);
    };
    response.sendEvent_ = [&call](const std::string &data) {
        return writeEvent(call, data);
    };
    response.endStream_ = [&call] {
        writeEvent(call, "[DONE]");
    };
    response.cutStream_ = [&call](const Refusal &refusal) {
        writeEvent(call, errorBody(refusal, call.requestId_));
    };
    response.refuse_ = [&call](const Refusal &refusal) {
        refuseCall(call, refusal);
    };
    return response;
}

/// Reads the body.
/// @return nothing if it is larger than the limit
std::optional<std::string> readBody(HttpCall &call)
{
    std::string body;
    std::string buffer(16U << 10U, '\0');
    std::istream &stream = call.request_.stream();
    while (stream.read(buffer.data(), static_cast<std::streamsize>(buffer.size())),
           stream.gcount() > 0) {
        body.append(buffer, 0, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > call.maxBytes_)
            return std::nullopt;
    }
    return body;
}

/// Reads the headers that all kinds of requests share.
/// @return false if the request was refused
bool readHeaders(HttpCall &call, CallerRequest &request)
{
    const std::string authorization = call.request_.get("Authorization", "");
    if (authorization.starts_with(bearerPrefix))
        request.keySha256_ = sha256Hex(std::string_view(authorization).substr(bearerPrefix.size()));
    request.budget_ = BudgetId {call.request_.get("Tamarack-Budget", "")};
    request.idempotencyKey_ = call.request_.get("Idempotency-Key", "");
    request.nonIdempotent_ = call.request_.get("Tamarack-Non-Idempotent", "") == "true";
    request.contentType_ = call.request_.getContentType();
    request.method_ = call.request_.getMethod();
    const std::string limit = call.request_.get("Tamarack-Deadline-Ms", "");
    if (limit.empty())
        return true;
    std::int64_t millis = 0;
    std::istringstream(limit) >> millis;
    if (millis < 1 || Millis {millis} > maxTimeLimit) {
        refuseInvalid(call,
                      fmt::format("header Tamarack-Deadline-Ms is not a number from 1 to {}",
                                  maxTimeLimit.count()));
        return false;
    }
    request.timeLimit_ = Millis {millis};
    return true;
}

Tokens defaultMaxOutput(const TrafficContext &context)
{
    const std::shared_ptr<const Snapshot> snapshot = context.snapshot_.load();
    return snapshot && snapshot->bundle_ ? snapshot->bundle_->policies_.defaultMaxOutput_
                                         : Policies {}.defaultMaxOutput_;
}

bool readChat(HttpCall &call, const TrafficContext &context, const std::string &body,
              CallerRequest &request)
{
    Faults faults;
    ChatRequest chat = parseChatRequest(body, defaultMaxOutput(context), call.maxBytes_, faults);
    if (!faults.empty()) {
        refuseInvalid(call, formatFault(faults.front()));
        return false;
    }
    request.kind_ = UpstreamKind::ModelEngine;
    request.model_ = chat.model_;
    request.path_ = "/v1/chat/completions";
    request.contentType_ = "application/json";
    request.body_ = std::move(chat.upstreamBody_);
    request.stream_ = chat.stream_;
    request.promptBound_ = chat.promptBound_;
    request.maxOutput_ = chat.maxOutput_;
    return true;
}

/// Splits "/services/NAME/rest" into name and path.
bool readServiceCall(HttpCall &call, const std::string &body, CallerRequest &request)
{
    const std::string rest = call.request_.getURI().substr(servicesPrefix.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    request.kind_ = UpstreamKind::Service;
    request.service_ = ServiceId {rest.substr(0, slash)};
    request.path_ = slash == rest.size() ? "/" : rest.substr(slash);
    request.body_ = body;
    return true;
}

void sendModels(HttpCall &call, const TrafficContext &context)
{
    std::set<ModelId> models;
    const std::shared_ptr<const Snapshot> snapshot = context.snapshot_.load();
    if (snapshot && snapshot->bundle_) {
        for (const auto &[id, upstream] : snapshot->bundle_->upstreams_)
            models.insert(upstream.models_.begin(), upstream.models_.end());
    }
    Poco::JSON::Array data;
    for (const ModelId &model : models) {
        Poco::JSON::Object entry(Poco::JSON_PRESERVE_KEY_ORDER);
        entry.set("id", model.value_);
        entry.set("object", "model");
        data.add(entry);
    }
    Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
    root.set("object", "list");
    root.set("data", data);
    std::ostringstream text;
    root.stringify(text);
    sendBody(call, 200, "application/json", text.str());
}

void handleCall(HttpCall &call, TrafficContext &context)
{
    const std::string &path = call.request_.getURI();
    if (path == "/v1/models") {
        sendModels(call, context);
        return;
    }
    const bool chat = path == "/v1/chat/completions" && call.request_.getMethod() == "POST";
    if (!chat && !path.starts_with(servicesPrefix)) {
        refuseInvalid(call, "no such path; use /v1/chat/completions, /v1/models or /services/NAME");
        return;
    }
    CallerRequest request;
    if (!readHeaders(call, request))
        return;
    const std::optional<std::string> body = readBody(call);
    if (!body) {
        refuseInvalid(call,
                      fmt::format("the body is larger than {} bytes; shorten it", call.maxBytes_));
        return;
    }
    const bool readable
        = chat ? readChat(call, context, *body, request) : readServiceCall(call, *body, request);
    if (!readable)
        return;
    serve(context, request, responseFor(call), [&call](const RequestId &id) {
        call.requestId_ = id.value_;
        call.response_.set("Tamarack-Request-Id", id.value_);
    });
}

class CallerHandler : public Poco::Net::HTTPRequestHandler
{
public:
    CallerHandler(TrafficContext &context, std::size_t maxBytes)
        : context_(context)
        , maxBytes_(maxBytes)
    { }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        HttpCall call {request, response, maxBytes_, {}, nullptr};
        handleCall(call, context_);
    }

private:
    TrafficContext &context_;
    std::size_t maxBytes_;
};

class CallerHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    CallerHandlerFactory(TrafficContext &context, std::size_t maxBytes)
        : context_(context)
        , maxBytes_(maxBytes)
    { }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new CallerHandler(context_, maxBytes_);
    }

private:
    TrafficContext &context_;
    std::size_t maxBytes_;
};

} // namespace

CallerServer startCallerServer(const CallerServerSettings &settings, TrafficContext &context)
{
    CallerServer running;
    running.threads_ = std::make_unique<Poco::ThreadPool>(
        "caller", 2, static_cast<int>(settings.connections_) + 2);
    running.server_ = std::make_unique<Poco::Net::HTTPServer>(
        new CallerHandlerFactory(context, settings.maxRequestBytes_), *running.threads_,
        Poco::Net::ServerSocket(Poco::Net::SocketAddress(settings.address_)),
        serverParams(settings.connections_, settings.idleLimit_));
    running.server_->start();
    return running;
}

void stopAccepting(CallerServer &server)
{
    server.server_->stop();
}

} // namespace tamarack
