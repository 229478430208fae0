// Single requests to upstreams on new connections: health probes and cancellations. Internal to the
// HTTP adapter.
#pragma once

#include "ports/exchange.h"

#include <Poco/Net/HTTPRequest.h>

#include <optional>
#include <string>

namespace tamarack {

/// @brief Sets Host and Content-Length and returns the serialized request.
std::string formatRequest(Poco::Net::HTTPRequest &request, const std::string &address,
                          const std::string &body);

/// @brief Probes an upstream with GET /health.
ProbeResult probeUpstream(const std::string &address);

/// @brief Requests that an engine stops generating output for a request.
/// @return the token usage so far, if the engine reports it
std::optional<Tokens> cancelRequest(const std::string &address, const RequestId &request,
                                    Millis timeout);

} // namespace tamarack
