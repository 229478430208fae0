// Parameters of POCO servers.
#include "adapters/http/serverparams.h"

#include "adapters/httpclient/httpclient.h"

namespace tamarack {

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
