// Conversion of durations to POCO's type.
#include "adapters/httpclient/timespan.h"

namespace tamarack {

Poco::Timespan toTimespan(Millis time)
{
    return Poco::Timespan(std::chrono::duration_cast<Micros>(time).count());
}

} // namespace tamarack
