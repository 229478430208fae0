// The platform's host list. Guards against a malformed list that is taken for an empty one.
#include "adapters/hostlist/hostlist.h"

#include "fakes/fakehttp.h"

#include <catch2/catch.hpp>

namespace tamarack {

namespace {

struct Case
{
    const char *name_;
    std::string text_;
    bool accepted_;
};

std::vector<Case> cases()
{
    const std::string host
        = R"({"host": "h", "address": "127.0.0.1", "zone": "z", "state": "live"})";
    return {
        {"empty list", "[]", true},
        {"one host", "[" + host + "]", true},
        {"not JSON", "<html>", false},
        {"an object", "{}", false},
        {"an entry that is no object", "[1]", false},
        {"a missing field", R"([{"host": "h"}])", false},
        {"too many hosts", "[" + host + "," + host + "," + host + "]", false},
        {"nothing", "", false},
    };
}

} // namespace

TEST_CASE("host list")
{
    for (const Case &one : cases()) {
        INFO(one.name_);
        CHECK(parseHostList(one.text_, 2).has_value() == one.accepted_);
    }
    const std::vector<ListedHost> hosts
        = parseHostList(
              R"([{"host": "h", "address": "10.0.0.1", "zone": "z", "state": "leaving"}])", 2)
              .value();
    CHECK(hosts.at(0).host_ == HostId {"h"});
    CHECK(hosts.at(0).zone_ == ZoneId {"z"});
    CHECK(hosts.at(0).address_ == "10.0.0.1");
    CHECK(hosts.at(0).leaving_);
}

TEST_CASE("host list by HTTP")
{
    std::string body = R"([{"host": "h", "address": "a", "zone": "z", "state": "live"}])";
    int status = 200;
    const auto server = fakes::startHttpServer("127.0.0.1:0", [&](auto &, auto &response) {
        fakes::sendText(response, status, "application/json", body);
    });
    HostListSettings settings;
    settings.address_ = "127.0.0.1:" + std::to_string(server->port());
    settings.maxBytes_ = 1000;
    const HostListPort port = makeHostListPort(settings);

    SECTION("the list is read")
    {
        REQUIRE(port.read_());
        CHECK(port.read_()->size() == 1);
    }
    SECTION("another status, a malformed or oversized list is no list")
    {
        status = 503;
        CHECK_FALSE(port.read_());
        status = 200;
        body = "[";
        CHECK_FALSE(port.read_());
        body = "[" + std::string(1000, ' ') + "]";
        CHECK_FALSE(port.read_());
    }
    SECTION("a list that is down is no list")
    {
        server->stopAll(true);
        CHECK_FALSE(port.read_());
    }
}

} // namespace tamarack
