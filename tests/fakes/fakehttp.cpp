// HTTP server of the fakes, based on POCO.
#include "fakes/fakehttp.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include <csignal>
#include <ostream>
#include <sstream>

namespace tamarack::fakes {

namespace {

constexpr int maxConnections = 1024;

class Handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit Handler(const RequestHandler &handler)
        : handler_(handler)
    { }

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        handler_(request, response);
    }

private:
    const RequestHandler &handler_;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit Factory(RequestHandler handler)
        : handler_(std::move(handler))
    { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new Handler(handler_);
    }

private:
    RequestHandler handler_;
};

Poco::ThreadPool &threadPool()
{
    static Poco::ThreadPool pool(2, maxConnections + 8);
    return pool;
}

} // namespace

std::unique_ptr<Poco::Net::HTTPServer> startHttpServer(const std::string &address,
                                                       RequestHandler handler)
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(maxConnections);
    params->setMaxQueued(maxConnections);
    auto server = std::make_unique<Poco::Net::HTTPServer>(
        new Factory(std::move(handler)), threadPool(),
        Poco::Net::ServerSocket(Poco::Net::SocketAddress(address), maxConnections), params);
    server->start();
    return server;
}

void runHttpServer(const std::string &address, RequestHandler handler)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto server = startHttpServer(address, std::move(handler));
    int signal = 0;
    sigwait(&signals, &signal);
    // Exits without waiting for handlers that still sleep; a fake has no data to save.
    std::_Exit(0);
}

std::string readBody(Poco::Net::HTTPServerRequest &request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

void sendText(Poco::Net::HTTPServerResponse &response, int status, const std::string &type,
              const std::string &body)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType(type);
    response.setContentLength64(static_cast<std::int64_t>(body.size()));
    response.send() << body << std::flush;
}

void sendJson(Poco::Net::HTTPServerResponse &response, const Poco::JSON::Object &object)
{
    sendText(response, 200, "application/json", serializeJson(object));
}

std::string serializeJson(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Poco::JSON::Object::Ptr parseJson(const std::string &text)
{
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

} // namespace tamarack::fakes
