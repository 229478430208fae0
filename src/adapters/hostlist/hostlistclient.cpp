// HTTP client for the platform's host list.
#include "adapters/hostlist/hostlistclient.h"

#include "adapters/httpclient/httpclient.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

namespace tamarack {

namespace {

boost::leaf::error_id malformed(const std::string &detail)
{
    return fail(ErrorKind::InvalidMessage, "tamarack.hostlist.101",
                "the host list is malformed (" + detail
                    + "); check that hostList.address is the address of the platform's host list");
}

ListedHost readHost(const Poco::JSON::Object &object)
{
    ListedHost host;
    host.host_ = HostId {object.getValue<std::string>("host")};
    host.zone_ = ZoneId {object.getValue<std::string>("zone")};
    host.address_ = object.getValue<std::string>("address");
    host.leaving_ = object.getValue<std::string>("state") == "leaving";
    return host;
}

/// Returns the body of a whole response with status 200, or nothing.
std::optional<std::string> fetch(const HostListSettings &settings)
{
    std::string detail;
    std::optional<Connection> connection = connectTo(settings.address_, settings.timeout_, detail);
    if (!connection)
        return std::nullopt;
    Poco::Net::HTTPRequest request("GET", "/hosts", Poco::Net::HTTPRequest::HTTP_1_1);
    request.setHost(settings.address_);
    request.setKeepAlive(false);
    ReadLimits limits;
    limits.idleTimeout_ = settings.timeout_;
    WholeResponse response;
    if (sendAll(*connection, serialize(request, {}), settings.timeout_) != IoStatus::Ok
        || readWholeResponse(*connection, limits, "GET", settings.maxBytes_, response)
            != IoStatus::Ok
        || response.status_ != Poco::Net::HTTPResponse::HTTP_OK)
        return std::nullopt;
    return response.body_;
}

} // namespace

Result<std::vector<ListedHost>> parseHostList(const std::string &text, std::size_t maxHosts)
{
    try {
        Poco::JSON::Parser parser;
        const auto array = parser.parse(text).extract<Poco::JSON::Array::Ptr>();
        if (array->size() > maxHosts)
            return fail(ErrorKind::InvalidMessage, "tamarack.hostlist.102",
                        "the host list has more than " + std::to_string(maxHosts)
                            + " hosts; check hostList.address");
        std::vector<ListedHost> hosts;
        for (unsigned i = 0; i < array->size(); ++i) {
            const Poco::JSON::Object::Ptr object = array->getObject(i);
            if (!object)
                return malformed("an entry is not an object");
            hosts.push_back(readHost(*object));
        }
        return hosts;
    } catch (const Poco::Exception &error) {
        return malformed(error.displayText());
    }
}

HostListPort makeHostListPort(HostListSettings settings)
{
    return HostListPort {[settings]() -> std::optional<std::vector<ListedHost>> {
        const std::optional<std::string> text = fetch(settings);
        if (!text)
            return std::nullopt;
        return boost::leaf::try_handle_all(
            [&]() -> Result<std::optional<std::vector<ListedHost>>> {
                BOOST_LEAF_AUTO(hosts, parseHostList(*text, settings.maxHosts_));
                return std::optional {std::move(hosts)};
            },
            [] { return std::optional<std::vector<ListedHost>> {}; });
    }};
}

} // namespace tamarack
