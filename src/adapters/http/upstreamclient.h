// HTTP client for upstreams.
#pragma once

#include "ports/exchange.h"

namespace tamarack {

/// @brief Returns a port that exchanges requests and responses with upstreams over HTTP.
UpstreamPort makeHttpUpstreamPort();

} // namespace tamarack
