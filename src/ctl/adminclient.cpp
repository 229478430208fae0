// HTTP client of the administration interface.
#include "ctl/adminclient.h"

#include "adapters/httpclient/httpclient.h"

#include <Poco/Net/HTTPRequest.h>

#include <sstream>

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
    std::ostringstream text;
    request.write(text);
    return text.str() + body;
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
    ReceivedHead head;
    AdminCallResult result;
    IoStatus status = sendAll(*connection, formatCall(target, method, path, body), timeout);
    if (status == IoStatus::Ok)
        status = readHead(*connection, limits, method, head);
    if (status == IoStatus::Ok)
        status = readWholeBody(*connection, limits, head.body_, maxResponseBytes, result.body_);
    if (status != IoStatus::Ok)
        return problem(target, "sent no whole response", ioStatusText(status),
                       "check its state before you repeat the command");
    result.status_ = head.response_.getStatus();
    return result;
}

} // namespace tamarack
