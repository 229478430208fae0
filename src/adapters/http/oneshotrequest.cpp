// Single requests to upstreams on new connections: health probes and cancellations.
#include "adapters/http/oneshotrequest.h"

#include "adapters/httpclient/httpclient.h"
#include "adapters/json/json.h"

namespace tamarack {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr Millis probeTimeout {1000};
constexpr std::size_t maxOneShotResponseBytes = 64U << 10U;

/// Returns nothing if no whole response arrives.
std::optional<WholeResponse> sendOneShotRequest(const std::string &address, const char *method,
                                                const std::string &path, Millis timeout)
{
    std::string detail;
    std::optional<Connection> connection = connectTo(address, timeout, detail);
    HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
    request.set("Connection", "close");
    if (!connection
        || sendAll(*connection, formatRequest(request, address, {}), timeout) != IoStatus::Ok)
        return std::nullopt;
    ReadLimits limits;
    limits.idleTimeout_ = timeout;
    limits.deadline_ = std::chrono::steady_clock::now() + timeout;
    WholeResponse response;
    if (readWholeResponse(*connection, limits, method, maxOneShotResponseBytes, response)
        != IoStatus::Ok)
        return std::nullopt;
    return response;
}

} // namespace

std::string formatRequest(HTTPRequest &request, const std::string &address, const std::string &body)
{
    request.setHost(address);
    request.setContentLength64(static_cast<std::int64_t>(body.size()));
    return serialize(request, body);
}

ProbeResult probeUpstream(const std::string &address)
{
    const std::optional<WholeResponse> response
        = sendOneShotRequest(address, HTTPRequest::HTTP_GET.c_str(), "/health", probeTimeout);
    if (!response || response->status_ >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
        return ProbeResult::Failed;
    return reportsLeaving(response->body_) ? ProbeResult::Leaving : ProbeResult::Live;
}

std::optional<Tokens> cancelRequest(const std::string &address, const RequestId &request,
                                    Millis timeout)
{
    const std::optional<WholeResponse> response = sendOneShotRequest(
        address, HTTPRequest::HTTP_POST.c_str(), "/cancel/" + request.value_, timeout);
    return response ? parseUsage(response->body_) : std::nullopt;
}

} // namespace tamarack
