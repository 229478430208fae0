// Tests the host list adapter. Guards against treating a malformed list as an empty one.
#include "adapters/hostlist/hostlist.h"

#include "fakes/fakehttp.h"
#include "scriptedserver.h"

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
        {"an entry that is not an object", "[1]", false},
        {"a missing field", R"([{"host": "h"}])", false},
        {"too many hosts", "[" + host + "," + host + "," + host + "]", false},
        {"empty text", "", false},
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
    SECTION("an error status, a malformed list and an oversized list give no list")
    {
        status = 503;
        CHECK_FALSE(port.read_());
        status = 200;
        body = "[";
        CHECK_FALSE(port.read_());
        body = "[" + std::string(1000, ' ') + "]";
        CHECK_FALSE(port.read_());
    }
    SECTION("an unreachable server gives no list")
    {
        server->stopAll(true);
        CHECK_FALSE(port.read_());
    }
}

TEST_CASE("a broken response gives no host list")
{
    // A host list that was cut off and still is a list would show hosts as gone.
    struct BrokenCase
    {
        std::string response_;
        ServerEnding ending_;
        bool isRead_ = false;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string list = "Content-Length: 2\r\n\r\n[]";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const auto test = GENERATE_COPY(values<BrokenCase>({
        {ok + list, ServerEnding::Close, true},
        {ok + "\r\n[]", ServerEnding::Close, true},
        {chunked + "2\r\n[]\r\n0\r\n\r\n", ServerEnding::Close, true},
        {ok + "\r\n[]", ServerEnding::Reset},
        {chunked + "2\r\n[]\r\n", ServerEnding::Close},
        {ok + "Content-Length: 3\r\n\r\n[]", ServerEnding::Close},
        {"HTTP/1.1 000 A\r\n\r\n" + ok + list, ServerEnding::Close},
        {ok + "X Name: 1\r\n" + list, ServerEnding::Close},
        {ok + "Transfer-Encoding: gzip\r\n" + list, ServerEnding::Close},
        {ok + "Transfer-Encoding : chunked\r\n\r\n[]", ServerEnding::Close},
    }));
    INFO(test.response_ << ", ending " << static_cast<int>(test.ending_));
    const ScriptedServer server(test.response_, test.ending_);
    HostListSettings settings;
    settings.address_ = addressOf(server);
    settings.timeout_ = Seconds {20};
    CHECK(makeHostListPort(settings).read_().has_value() == test.isRead_);
}

} // namespace tamarack
