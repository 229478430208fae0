// The operators' HTTP listener, based on POCO.
#include "adapters/http/adminserver.h"

#include "adapters/crypto/crypto.h"
#include "adapters/http/serverparams.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <ostream>

namespace tamarack {

namespace {

constexpr std::uint32_t adminConnections = 16;
constexpr Millis adminIdleTimeout {Seconds {10}};
constexpr std::string_view bearerPrefix = "Bearer ";

/// State shared by all request handlers of one listener.
struct AdminListener
{
    AdminServerSettings settings_;
    std::function<AdminResponse(const AdminRequest &)> handle_;
};

bool isAuthorized(const AdminListener &listener, const Poco::Net::HTTPServerRequest &request)
{
    if (request.getURI() == "/metrics" && request.getMethod() == "GET")
        return true;
    const std::string header = request.get("Authorization", "");
    if (!header.starts_with(bearerPrefix))
        return false;
    const std::vector<std::string> tokens = listener.settings_.tokens_();
    const std::string digest = sha256Hex(std::string_view(header).substr(bearerPrefix.size()));
    return std::find(tokens.begin(), tokens.end(), digest) != tokens.end();
}

AdminResponse respond(const AdminListener &listener, Poco::Net::HTTPServerRequest &request)
{
    if (!isAuthorized(listener, request))
        return AdminResponse {
            401, "application/json",
            R"({"error":"the operator token is missing or wrong; pass --token"})"};
    const bool tooLarge = request.hasContentLength()
        && request.getContentLength64()
            > static_cast<std::int64_t>(listener.settings_.maxRequestBytes_);
    if (tooLarge || request.getChunkedTransferEncoding())
        return AdminResponse {413, "application/json",
                              R"({"error":"the body is too large or has no Content-Length"})"};
    AdminRequest call {request.getMethod(), request.getURI(), {}};
    if (request.hasContentLength())
        Poco::StreamCopier::copyToString(request.stream(), call.body_);
    return listener.handle_(call);
}

class AdminHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit AdminHandler(const AdminListener &listener)
        : listener_(listener)
    { }

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        const AdminResponse reply = respond(listener_, request);
        response.setStatusAndReason(
            static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status_));
        response.setContentType(reply.contentType_);
        response.setContentLength64(static_cast<std::int64_t>(reply.body_.size()));
        response.send() << reply.body_ << std::flush;
    }

private:
    const AdminListener &listener_;
};

class AdminHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit AdminHandlerFactory(AdminListener listener)
        : listener_(std::move(listener))
    { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new AdminHandler(listener_);
    }

private:
    AdminListener listener_;
};

} // namespace

HttpListener startAdminServer(const AdminServerSettings &settings,
                              std::function<AdminResponse(const AdminRequest &)> handle)
{
    HttpListener running;
    running.threads_
        = std::make_unique<Poco::ThreadPool>("admin", 2, static_cast<int>(adminConnections) + 2);
    running.server_ = std::make_unique<Poco::Net::HTTPServer>(
        new AdminHandlerFactory(AdminListener {settings, std::move(handle)}), *running.threads_,
        Poco::Net::ServerSocket(Poco::Net::SocketAddress(settings.address_)),
        serverParams(adminConnections, adminIdleTimeout));
    running.server_->start();
    return running;
}

} // namespace tamarack
