// The callers' listener by POCO.
#include "adapters/http/callerserver.h"

#include "adapters/http/address.h"
#include "adapters/http/calleranswer.h"
#include "adapters/http/callerdecode.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <set>
#include <sstream>

namespace tamarack {

namespace {

/// POCO's default of 64 dropped connections of 250 callers that connected at the same moment.
constexpr int listenBacklog = 1024;

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

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
    CallerResponse answer;
    answer.contentType_ = "application/json";
    answer.body_ = text.str();
    sendAnswer(call, answer);
}

void setRequestId(HttpCall &call, const RequestId &id)
{
    call.requestId_ = id.value_;
    call.response_.set("Tamarack-Request-Id", id.value_);
}

void handleCall(HttpCall &call, TrafficContext &context)
{
    setRequestId(call, context.newRequestId_());
    std::string fault = framingFault(call.request_);
    if (!fault.empty()) {
        refuseInvalid(call, std::move(fault));
        return;
    }
    const std::string &method = call.request_.getMethod();
    if (requestPath(call) == "/v1/models" && (method == "GET" || method == "HEAD")) {
        // A body would be read as the next request.
        if (call.request_.getContentLength64() > 0)
            call.response_.setKeepAlive(false);
        sendModels(call, context);
        return;
    }
    const std::optional<CallerRequest> request = decodeRequest(call, context);
    if (request)
        serve(context, *request, responseFor(call),
              [&call](const RequestId &id) { setRequestId(call, id); });
}

/// Last resort for exceptions, for example when memory or descriptors run out.
void handleCallSafely(HttpCall &call, TrafficContext &context)
{
    try {
        handleCall(call, context);
    } catch (const std::exception &error) {
        context.log_.write_(LogEvent {LogLevel::Error,
                                      "caller.exception",
                                      {{"request", call.requestId_}, {"detail", error.what()}}});
        call.response_.setKeepAlive(false);
        if (!call.response_.sent())
            refuseCall(call,
                       Refusal {RefusalReason::Overloaded, Execution::Unknown,
                                "this daemon failed to handle the request; send it again",
                                Millis {1000}});
    }
}

class CallerHandler : public Poco::Net::HTTPRequestHandler
{
public:
    CallerHandler(TrafficContext &context, const CallerServerSettings &settings)
        : context_(context)
        , settings_(settings)
    { }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        // A caller that stops reading must not hold its thread for ever.
        if (auto *impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&request))
            impl->socket().setSendTimeout(toTimespan(settings_.writeLimit_));
        HttpCall call {request, response, settings_.maxRequestBytes_, {}, nullptr, false};
        handleCallSafely(call, context_);
    }

private:
    TrafficContext &context_;
    const CallerServerSettings &settings_;
};

class CallerHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    CallerHandlerFactory(TrafficContext &context, CallerServerSettings settings)
        : context_(context)
        , settings_(std::move(settings))
    { }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new CallerHandler(context_, settings_);
    }

private:
    TrafficContext &context_;
    CallerServerSettings settings_;
};

} // namespace

HttpListener startCallerServer(const CallerServerSettings &settings, TrafficContext &context)
{
    HttpListener running;
    running.threads_ = std::make_unique<Poco::ThreadPool>(
        "caller", 2, static_cast<int>(settings.connections_) + 2);
    running.server_ = std::make_unique<Poco::Net::HTTPServer>(
        new CallerHandlerFactory(context, settings), *running.threads_,
        Poco::Net::ServerSocket(Poco::Net::SocketAddress(settings.address_), listenBacklog),
        serverParams(settings.connections_, settings.idleLimit_));
    running.server_->start();
    return running;
}

void stopAccepting(HttpListener &server)
{
    server.server_->stop();
}

} // namespace tamarack
