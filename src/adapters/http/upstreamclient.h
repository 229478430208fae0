// The HTTP client towards upstreams.
#pragma once

#include "ports/exchange.h"

namespace tamarack {

/// @brief Returns a port that makes exchanges by HTTP.
UpstreamPort makeHttpUpstreamPort();

} // namespace tamarack
