// Conversion of durations to POCO's type.
#pragma once

#include "core/time.h"

#include <Poco/Timespan.h>

namespace tamarack {

/// @brief Converts a duration to POCO's type.
Poco::Timespan toTimespan(Millis time);

} // namespace tamarack
