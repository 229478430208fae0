// Single requests to upstreams on new connections: health probes and cancellations.
#include "adapters/http/oneshotrequest.h"

#include "adapters/httpclient/httpclient.h"
#include "adapters/json/json.h"

#include <sstream>

namespace tamarack {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr Millis probeTimeout {1000};
constexpr std::size_t maxOneShotResponseBytes = 64U << 10U;

struct OneShotResponse
{
    int status_ = 0;
    std::string body_;
};

/// Returns nothing if no whole response arrives.
std::optional<OneShotResponse> sendOneShotRequest(const std::string &address, const char *method,
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
    ReceivedHead head;
    if (readHead(*connection, limits, method, head) != IoStatus::Ok)
        return std::nullopt;
    OneShotResponse response {head.response_.getStatus(), {}};
    if (readWholeBody(*connection, limits, head.body_, maxOneShotResponseBytes, response.body_)
        != IoStatus::Ok)
        return std::nullopt;
    return response;
}

} // namespace

std::string formatRequest(HTTPRequest &request, const std::string &address, const std::string &body)
{
    request.setHost(address);
    request.setContentLength64(static_cast<std::int64_t>(body.size()));
    std::ostringstream text;
    request.write(text);
    return text.str() + body;
}

ProbeResult probeUpstream(const std::string &address)
{
    const std::optional<OneShotResponse> response
        = sendOneShotRequest(address, HTTPRequest::HTTP_GET.c_str(), "/health", probeTimeout);
    if (!response || response->status_ >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
        return ProbeResult::Failed;
    return reportsLeaving(response->body_) ? ProbeResult::Leaving : ProbeResult::Live;
}

std::optional<Tokens> cancelRequest(const std::string &address, const RequestId &request,
                                    Millis timeout)
{
    const std::optional<OneShotResponse> response = sendOneShotRequest(
        address, HTTPRequest::HTTP_POST.c_str(), "/cancel/" + request.value_, timeout);
    return response ? parseUsage(response->body_) : std::nullopt;
}

} // namespace tamarack
