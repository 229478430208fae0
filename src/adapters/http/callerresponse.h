// Writes responses to callers. Internal to the HTTP adapter.
#pragma once

#include "traffic/traffic.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <ostream>
#include <string>

namespace tamarack {

/// @brief The HTTP request and response of one caller request.
struct HttpExchange
{
    Poco::Net::HTTPServerRequest &request_;
    Poco::Net::HTTPServerResponse &response_;
    std::size_t maxBytes_ = 0;
    std::string requestId_;
    /// Response body of an event stream; null until the stream has started.
    std::ostream *stream_ = nullptr;
    /// A write failed; further writes are skipped.
    bool callerDisconnected_ = false;
};

/// @brief Sends a complete response.
/// @return false if the caller disconnected
bool sendResponse(HttpExchange &exchange, const CallerResponse &response);

/// @brief Sends the refusal as a JSON error response.
void sendRefusal(HttpExchange &exchange, const Refusal &refusal);

/// @brief Refuses an invalid request and closes the connection, because it is unclear where the
/// next request would begin.
void refuseInvalidRequest(HttpExchange &exchange, std::string message);

/// @brief Returns the functions that write the response of @a exchange, which must outlive them.
CallerResponseWriter makeResponseWriter(HttpExchange &exchange);

} // namespace tamarack
