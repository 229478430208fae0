// Conversions between the project's types and POCO's. Internal to the HTTP adapter.
#pragma once

#include "core/time.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Timespan.h>

#include <cstdint>

namespace tamarack {

/// @brief Converts a time to POCO's type.
Poco::Timespan toTimespan(Millis time);

/// @brief Returns server parameters with one thread for each of @a connections.
Poco::Net::HTTPServerParams::Ptr serverParams(std::uint32_t connections, Millis idleLimit);

} // namespace tamarack
