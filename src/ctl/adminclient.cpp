// HTTP client of the administration interface.
#include "ctl/adminclient.h"

#include "adapters/httpclient/httpclient.h"

#include <Poco/Net/HTTPRequest.h>

namespace tamarack {

namespace {

constexpr Millis timeout {Seconds {60}};
constexpr std::size_t maxResponseBytes = std::size_t {64} << 20U;

std::string formatCall(const AdminTarget &target, const std::string &method,
                       const std::string &path, const std::string &body)
{
    Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
    request.setHost(target.address_);
    request.setKeepAlive(false);
    request.set("Authorization", "Bearer " + target.token_);
    request.setContentLength64(static_cast<std::int64_t>(body.size()));
    return serialize(request, body);
}

AdminCallResult problem(const AdminTarget &target, const std::string &what,
                        const std::string &detail, const std::string &remedy)
{
    return AdminCallResult {
        0, "the daemon at " + target.address_ + ' ' + what + " (" + detail + "); " + remedy};
}

} // namespace

AdminCallResult callAdmin(const AdminTarget &target, const std::string &method,
                          const std::string &path, const std::string &body)
{
    std::string detail;
    std::optional<Connection> connection = connectTo(target.address_, timeout, detail);
    if (!connection)
        return problem(target, "cannot be reached", detail, "check --admin");
    ReadLimits limits;
    limits.idleTimeout_ = timeout;
    WholeResponse response;
    IoStatus status = sendAll(*connection, formatCall(target, method, path, body), timeout);
    if (status == IoStatus::Ok)
        status = readWholeResponse(*connection, limits, method, maxResponseBytes, response);
    if (status != IoStatus::Ok)
        return problem(target, "sent no whole response", ioStatusText(status),
                       "check its state before you repeat the command");
    return AdminCallResult {response.status_, std::move(response.body_)};
}

} // namespace tamarack
