// Parameters of POCO servers. Internal to the HTTP adapter.
#pragma once

#include "core/time.h"

#include <Poco/Net/HTTPServerParams.h>

#include <cstdint>

namespace tamarack {

/// @brief Returns parameters of a keep-alive server with one thread per connection.
Poco::Net::HTTPServerParams::Ptr serverParams(std::uint32_t connections, Millis idleTimeout);

} // namespace tamarack
