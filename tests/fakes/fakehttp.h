// HTTP server of the fakes. One function handles all requests.
#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <memory>
#include <string>

namespace tamarack::fakes {

using RequestHandler
    = std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

/// @brief Starts a server on "IP:port".
std::unique_ptr<Poco::Net::HTTPServer> startHttpServer(const std::string &address,
                                                       RequestHandler handler);

/// @brief Runs a server until SIGTERM or SIGINT, then exits the process.
void runHttpServer(const std::string &address, RequestHandler handler);

std::string readBody(Poco::Net::HTTPServerRequest &request);

void sendText(Poco::Net::HTTPServerResponse &response, int status, const std::string &type,
              const std::string &body);

void sendJson(Poco::Net::HTTPServerResponse &response, const Poco::JSON::Object &object);

std::string serializeJson(const Poco::JSON::Object &object);

Poco::JSON::Object::Ptr parseJson(const std::string &text);

} // namespace tamarack::fakes
