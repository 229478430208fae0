// Writing of answers to callers. Internal to the HTTP adapter.
#pragma once

#include "traffic/traffic.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <ostream>
#include <string>

namespace tamarack {

/// @brief The HTTP side of one request.
struct HttpCall
{
    Poco::Net::HTTPServerRequest &request_;
    Poco::Net::HTTPServerResponse &response_;
    std::size_t maxBytes_ = 0;
    std::string requestId_;
    /// Set once a stream of events has begun.
    std::ostream *stream_ = nullptr;
    /// A write failed; nothing more is written.
    bool callerDisconnected_ = false;
};

/// @brief Sends a complete answer.
/// @return false if the caller went away
bool sendAnswer(HttpCall &call, const CallerResponse &answer);

/// @brief Refuses the request in place of an answer.
void refuseCall(HttpCall &call, const Refusal &refusal);

/// @brief Refuses a request that fails a check, and closes the connection, because the place where
/// the next request begins may be in doubt.
void refuseInvalid(HttpCall &call, std::string message);

/// @brief Returns the functions that answer @a call, which must outlive them.
CallerResponseWriter responseFor(HttpCall &call);

} // namespace tamarack
