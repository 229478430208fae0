// Short requests to upstreams on new connections: probes and cancellations. Internal to the HTTP
// adapter.
#pragma once

#include "ports/exchange.h"

#include <Poco/Net/HTTPRequest.h>

#include <optional>
#include <string>

namespace tamarack {

/// @brief Completes a request and returns its bytes.
std::string formatRequest(Poco::Net::HTTPRequest &request, const std::string &address,
                          const std::string &body);

/// @brief Asks an upstream for its health.
ProbeResult probeUpstream(const std::string &address);

/// @brief Asks an engine to stop generating for a request.
/// @return the usage so far, if the engine reports it
std::optional<Tokens> cancelRequest(const std::string &address, const RequestId &request,
                                    Millis limit);

} // namespace tamarack
