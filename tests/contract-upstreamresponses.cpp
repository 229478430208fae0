// Tests the upstream client against a server that sends broken responses. Guards against a broken
// response that reaches a caller as the upstream's, or a body that isn't the one of the response.
#include "adapters/http/oneshotrequest.h"
#include "adapters/http/upstreamclient.h"
#include "invalidfields.h"
#include "scriptedserver.h"

#include <catch2/catch.hpp>

namespace tamarack {

namespace {

ExchangeRequest requestTo(const ScriptedServer &server, UpstreamKind kind)
{
    ExchangeRequest request;
    request.address_ = addressOf(server);
    request.kind_ = kind;
    request.method_ = "POST";
    request.path_ = "/a";
    request.body_ = "{}";
    request.request_ = RequestId {"r1"};
    request.attempt_ = AttemptId {"a1"};
    request.idempotent_ = true;
    request.silenceLimit_ = Seconds {20};
    return request;
}

constexpr AttemptResult complete = AttemptResult::Complete;
constexpr AttemptResult failed = AttemptResult::Failed;

struct Case
{
    std::string response_;
    AttemptResult result_;
    /// The next request is sent on the same connection.
    bool isKept_ = false;
    ServerEnding ending_ = ServerEnding::KeepOpen;
};

ExchangeResult exchangeOnce(const UpstreamPort &port, const ExchangeRequest &request)
{
    return port.exchange_(request, [](const StreamEvent &) { return true; });
}

void check(const Case &test)
{
    INFO(test.response_ << ", ending " << static_cast<int>(test.ending_));
    const ScriptedServer server(test.response_, test.ending_);
    const UpstreamPort port = makeHttpUpstreamPort();
    const ExchangeRequest request = requestTo(server, UpstreamKind::Service);
    const ExchangeResult result = exchangeOnce(port, request);
    CHECK(result.result_ == test.result_);
    CHECK(result.malformed_ == (test.result_ == failed));
    CHECK((test.result_ != complete || result.body_ == "ok"));
    exchangeOnce(port, request);
    CHECK(server.connections_ == (test.isKept_ ? 1 : 2));
}

std::string sized(const std::string &head)
{
    return head + "Content-Length: 2\r\n\r\nok";
}

const std::string ok = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST_CASE("a status that no response can have fails the exchange")
{
    // One below 200 was skipped as an interim response, and the exchange waited for another.
    const auto test = GENERATE(values<Case>({
        {sized(ok), complete, true},
        {sized("HTTP/1.1 499 A\r\n"), complete, true},
        {"HTTP/1.1 103 Early Hints\r\n\r\n" + sized(ok), complete, true},
        {sized("HTTP/1.1 000 A\r\n"), failed},
        {sized("HTTP/1.1 001 A\r\n"), failed},
        {sized("HTTP/1.1 099 A\r\n"), failed},
        {sized("HTTP/1.1 600 A\r\n"), failed},
        {sized("HTTP/1.1 999 A\r\n"), failed},
        {sized("HTTP/1.1 -20 A\r\n"), failed},
        {sized("HTTP/1.1 +200 A\r\n"), failed},
        {sized("HTTP/1.1 20 A\r\n"), failed},
        {sized("HTTP/1.1 2000 A\r\n"), failed},
        {sized("HTTP/1.1\r\n200 A\r\n"), failed},
        {sized("HTTX/1.1 200 A\r\n"), failed},
        {"HTTP/1.1 000 A\r\n\r\n" + sized(ok), failed},
        {"HTTP/1.1 101 Switching Protocols\r\n\r\n", failed},
        {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + sized(ok), failed},
    }));
    check(test);
}

TEST_CASE("an invalid field fails the exchange")
{
    // The parser kept blanks and control bytes in a name, so a field that frames the body was not
    // found under its name.
    const std::string line = GENERATE(from_range(invalidFieldLines()));
    check(Case {sized(ok + line + "\r\n"), failed});
    check(Case {"HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + sized(ok), failed});
    check(Case {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n",
                failed});
    check(Case {ok + "Content-Length : 2\r\n\r\nok", failed});
}

TEST_CASE("valid fields don't fail the exchange")
{
    check(Case {sized(ok + "X-Name: \tvalue \xe9\r\nX-Empty:\r\n"), complete, true});
    // A folded value is obsolete but has one meaning (RFC 9112 section 5.2).
    check(Case {sized(ok + "X-Name: a\r\n b\r\n"), complete, true});
    check(Case {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Name: 1\r\n\r\n",
                complete, true});
}

TEST_CASE("a body whose framing is not understood fails the exchange")
{
    const std::string chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
    const auto test = GENERATE_COPY(values<Case>({
        {ok + "Transfer-Encoding: chunked\r\n" + chunks, complete, true},
        {sized(ok + "Transfer-Encoding: gzip\r\n"), failed},
        {sized(ok + "Transfer-Encoding: \r\n"), failed},
        {ok + "Transfer-Encoding: gzip, chunked\r\n" + chunks, failed},
        {ok + "Transfer-Encoding: chunked, identity\r\n" + chunks, failed},
        {ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n" + chunks, failed},
        {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, failed},
    }));
    check(test);
}

TEST_CASE("an early response without framing before a reset is not complete")
{
    const bool usesUsage = GENERATE(true, false);
    const std::string body
        = usesUsage ? R"({"usage":{"prompt_tokens":4,"completion_tokens":6}})" : "ok";
    const ScriptedServer server(ok + "\r\n" + body, ServerEnding::ResetUnread);
    const UpstreamPort port = makeHttpUpstreamPort();
    ExchangeRequest request = requestTo(server, UpstreamKind::ModelEngine);
    request.body_.assign(std::size_t {4} << 20U, ' ');
    const ExchangeResult result = exchangeOnce(port, request);
    CHECK(result.result_ == AttemptResult::Truncated);
}

TEST_CASE("a health probe succeeds only with a whole response")
{
    struct ProbeCase
    {
        std::string response_;
        ServerEnding ending_;
        ProbeResult result_;
    };
    const std::string body = R"({"state":"ready"})";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const auto test = GENERATE_COPY(values<ProbeCase>({
        {ok + length + body, ServerEnding::Close, ProbeResult::Live},
        {ok + "\r\n" + body, ServerEnding::Close, ProbeResult::Live},
        {ok + "\r\n" + body, ServerEnding::Reset, ProbeResult::Failed},
        {ok + length + body.substr(1), ServerEnding::Close, ProbeResult::Failed},
        {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", ServerEnding::Close,
         ProbeResult::Failed},
        {"HTTP/1.1 000 A\r\n" + length + body, ServerEnding::Close, ProbeResult::Failed},
        {"HTTP/1.1 101 A\r\n\r\n", ServerEnding::Close, ProbeResult::Failed},
        {ok + "X Name: 1\r\n" + length + body, ServerEnding::Close, ProbeResult::Failed},
        {ok + "X-Name: 1", ServerEnding::Close, ProbeResult::Failed},
    }));
    INFO(test.response_ << ", ending " << static_cast<int>(test.ending_));
    const ScriptedServer server(test.response_, test.ending_);
    CHECK(probeUpstream(addressOf(server)) == test.result_);
}

} // namespace tamarack
