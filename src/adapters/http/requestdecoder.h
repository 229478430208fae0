// Decodes and validates the requests of callers. Internal to the HTTP adapter.
#pragma once

#include "adapters/http/callerresponse.h"

#include <optional>

namespace tamarack {

/// @brief Decodes a request for a chat completion or a plain service. Sends a refusal if it is
/// invalid.
/// @return nothing if the request was refused
std::optional<CallerRequest> decodeRequest(HttpExchange &exchange, const TrafficContext &context);

/// @brief Returns the path of the request without its query.
std::string requestPath(const HttpExchange &exchange);

/// @brief Checks that the length of the request is unambiguous: at most one Content-Length and no
/// Transfer-Encoding.
/// @return what is wrong, or an empty string
std::string framingError(const Poco::Net::HTTPServerRequest &request);

} // namespace tamarack
