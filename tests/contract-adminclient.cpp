// Tests the client of the administration interface against a server that sends broken responses.
// Guards against an operator who is told that a change was made or refused when that is not known.
#include "ctl/adminclient.h"
#include "scriptedserver.h"

#include <catch2/catch.hpp>

namespace tamarack {

TEST_CASE("a broken response of the administration interface has no status")
{
    struct Case
    {
        std::string response_;
        ServerEnding ending_;
        int status_ = 0;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string sized = "Content-Length: 2\r\n\r\n{}";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const auto test = GENERATE_COPY(values<Case>({
        {ok + sized, ServerEnding::Close, 200},
        {"HTTP/1.1 409 Conflict\r\n" + sized, ServerEnding::Close, 409},
        {chunked + "2\r\n{}\r\n0\r\n\r\n", ServerEnding::Close, 200},
        {ok + "\r\n{}", ServerEnding::Close, 200},
        {ok + "\r\n{}", ServerEnding::Reset},
        {chunked + "2\r\n{}\r\n", ServerEnding::Close},
        {ok + "Content-Length: 3\r\n\r\n{}", ServerEnding::Close},
        {"HTTP/1.1 000 A\r\n\r\n" + ok + sized, ServerEnding::Close},
        {"HTTP/1.1 600 A\r\n" + sized, ServerEnding::Close},
        {ok + "X Name: 1\r\n" + sized, ServerEnding::Close},
        {ok + "Transfer-Encoding: gzip\r\n" + sized, ServerEnding::Close},
        {ok + "X-Name: 1", ServerEnding::Close},
        {"", ServerEnding::Close},
    }));
    INFO(test.response_ << ", ending " << static_cast<int>(test.ending_));
    const ScriptedServer server(test.response_, test.ending_);
    const AdminCallResult result
        = callAdmin(AdminTarget {addressOf(server), "token"}, "POST", "/v1/bundle", "{}");
    CHECK(result.status_ == test.status_);
    CHECK(!result.body_.empty());
}

} // namespace tamarack
