// The callers' HTTP listener, based on POCO.
#include "adapters/http/callerserver.h"

#include "adapters/http/callerresponse.h"
#include "adapters/http/requestdecoder.h"
#include "adapters/http/serverparams.h"
#include "adapters/httpclient/httpclient.h"

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

/// With POCO's default backlog of 64, connections were dropped when 250 callers connected at the
/// same time.
constexpr int listenBacklog = 1024;

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

void sendModels(HttpExchange &exchange, const TrafficContext &context)
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
    CallerResponse response;
    response.contentType_ = "application/json";
    response.body_ = text.str();
    sendResponse(exchange, response);
}

void setRequestId(HttpExchange &exchange, const RequestId &id)
{
    exchange.requestId_ = id.value_;
    exchange.response_.set("Tamarack-Request-Id", id.value_);
}

void processRequest(HttpExchange &exchange, TrafficContext &context)
{
    setRequestId(exchange, context.newRequestId_());
    std::string error = framingError(exchange.request_);
    if (!error.empty()) {
        refuseInvalidRequest(exchange, std::move(error));
        return;
    }
    const std::string &method = exchange.request_.getMethod();
    if (requestPath(exchange) == "/v1/models" && (method == "GET" || method == "HEAD")) {
        // An unread body would be parsed as the next request.
        if (exchange.request_.getContentLength64() > 0)
            exchange.response_.setKeepAlive(false);
        sendModels(exchange, context);
        return;
    }
    const std::optional<CallerRequest> request = decodeRequest(exchange, context);
    if (request)
        serve(context, *request, makeResponseWriter(exchange),
              [&exchange](const RequestId &id) { setRequestId(exchange, id); });
}

/// Handles a request and responds with status 503 if it throws, for example when memory or file
/// descriptors run out.
void processRequestSafely(HttpExchange &exchange, TrafficContext &context)
{
    try {
        processRequest(exchange, context);
    } catch (const std::exception &error) {
        context.log_.write_(
            LogEvent {LogLevel::Error,
                      "caller.exception",
                      {{"request", exchange.requestId_}, {"detail", error.what()}}});
        exchange.response_.setKeepAlive(false);
        if (!exchange.response_.sent())
            sendRefusal(exchange,
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
        // Without a send timeout, a caller that stops reading would block its thread indefinitely.
        if (auto *impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&request))
            impl->socket().setSendTimeout(toTimespan(settings_.writeTimeout_));
        HttpExchange exchange {request, response, settings_.maxRequestBytes_, {}, nullptr, false};
        processRequestSafely(exchange, context_);
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
        "caller", 2, static_cast<int>(settings.maxConnections_) + 2);
    running.server_ = std::make_unique<Poco::Net::HTTPServer>(
        new CallerHandlerFactory(context, settings), *running.threads_,
        Poco::Net::ServerSocket(Poco::Net::SocketAddress(settings.address_), listenBacklog),
        serverParams(settings.maxConnections_, settings.idleTimeout_));
    running.server_->start();
    return running;
}

void stopAccepting(HttpListener &server)
{
    server.server_->stop();
}

} // namespace tamarack
