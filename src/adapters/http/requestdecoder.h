// Decoding and checking of callers' requests. Internal to the HTTP adapter.
#pragma once

#include "adapters/http/callerresponse.h"

#include <optional>

namespace tamarack {

/// @brief Reads a request for a chat completion or a plain service. Refuses it if it fails a check.
/// @return nothing if the request was refused
std::optional<CallerRequest> decodeRequest(HttpExchange &exchange, const TrafficContext &context);

/// @brief Path of the request without its query.
std::string requestPath(const HttpExchange &exchange);

/// @brief Checks that the end of the request is beyond doubt: one Content-Length and no other
/// transfer encoding.
/// @return what is wrong, or an empty text
std::string framingError(const Poco::Net::HTTPServerRequest &request);

} // namespace tamarack
