// Short requests to upstreams on new connections: probes and cancellations.
#include "adapters/http/shortrequest.h"

#include "adapters/http/answer.h"
#include "adapters/json/json.h"

#include <sstream>

namespace tamarack {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr Millis probeLimit {1000};
constexpr std::size_t maxProbeBytes = 64U << 10U;

/// Answer to a short request on a new connection.
struct ShortAnswer
{
    int status_ = 0;
    std::string body_;
};

std::optional<ShortAnswer> askShortly(const std::string &address, const char *method,
                                      const std::string &path, Millis limit)
{
    std::string detail;
    std::optional<Connection> connection = connectTo(address, limit, detail);
    HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
    request.set("Connection", "close");
    if (!connection
        || sendAll(*connection, requestText(request, address, {}), limit) != Receipt::Data)
        return std::nullopt;
    WaitLimits limits;
    limits.silence_ = limit;
    limits.deadline_ = std::chrono::steady_clock::now() + limit;
    AnswerHead head;
    if (readHead(*connection, limits, method, head) != Receipt::Data)
        return std::nullopt;
    ShortAnswer answer {head.response_.getStatus(), {}};
    std::string piece;
    while (!head.body_.ended_ && answer.body_.size() < maxProbeBytes
           && readPiece(*connection, limits, head.body_, piece) == Receipt::Data)
        answer.body_ += piece;
    return answer;
}

} // namespace

std::string requestText(HTTPRequest &request, const std::string &address, const std::string &body)
{
    request.setHost(address);
    request.setContentLength64(static_cast<std::int64_t>(body.size()));
    std::ostringstream text;
    request.write(text);
    return text.str() + body;
}

ProbeResult probeUpstream(const std::string &address)
{
    const std::optional<ShortAnswer> answer
        = askShortly(address, HTTPRequest::HTTP_GET.c_str(), "/health", probeLimit);
    if (!answer || answer->status_ >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
        return ProbeResult::Failed;
    return reportsLeaving(answer->body_) ? ProbeResult::Leaving : ProbeResult::Live;
}

std::optional<Tokens> cancelRequest(const std::string &address, const RequestId &request,
                                    Millis limit)
{
    const std::optional<ShortAnswer> answer
        = askShortly(address, HTTPRequest::HTTP_POST.c_str(), "/cancel/" + request.value_, limit);
    return answer ? parseUsage(answer->body_) : std::nullopt;
}

} // namespace tamarack
