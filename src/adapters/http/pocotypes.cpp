// Conversions to POCO types.
#include "adapters/http/pocotypes.h"

namespace tamarack {

Poco::Timespan toTimespan(Millis time)
{
    return Poco::Timespan(std::chrono::duration_cast<Micros>(time).count());
}

Poco::Net::HTTPServerParams::Ptr serverParams(std::uint32_t connections, Millis idleTimeout)
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(static_cast<int>(connections));
    params->setMaxQueued(static_cast<int>(connections));
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(toTimespan(idleTimeout));
    return params;
}

} // namespace tamarack
