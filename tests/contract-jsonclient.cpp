// Tests the JSON client against a server that sends broken responses. Guards against a response
// that is taken for a result of the store although it is not complete or not valid.
#include "adapters/jsonhttp/jsonhttp.h"
#include "invalidfields.h"
#include "scriptedserver.h"

#include <catch2/catch.hpp>

namespace tamarack {

namespace {

struct Case
{
    std::string response_;
    ServerEnding ending_;
    StoreStatus outcome_;
    /// The next request is sent on the same connection.
    bool isKept_ = false;
};

void check(const Case &test)
{
    INFO(test.response_ << ", ending " << static_cast<int>(test.ending_));
    const ScriptedServer server(test.response_, test.ending_);
    JsonHttpClient client({addressOf(server)}, Millis {20'000}, "X-Era");
    const JsonRequest request {"POST", "/a", "{}", Idempotency::NonIdempotent, std::nullopt, false};
    const JsonResponse response = sendJson(client, request);
    CHECK(response.outcome_ == test.outcome_);
    CHECK((response.outcome_ == StoreStatus::Ok) == (response.httpStatus_ != 0));
    if (response.outcome_ != StoreStatus::Ok) {
        CHECK(!response.body_);
        // A broken response says nothing about the state of the store either.
        CHECK(newestEra(client) == StoreEra {});
    }
    sendJson(client, request);
    CHECK(server.connections_ == (test.isKept_ ? 1 : 2));
}

const std::string json = R"({"a":1})";

std::string sized(const std::string &head, const std::string &body = json)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr StoreStatus accepted = StoreStatus::Ok;
constexpr StoreStatus unknown = StoreStatus::Unknown;
constexpr ServerEnding keepOpen = ServerEnding::KeepOpen;
constexpr ServerEnding closes = ServerEnding::Close;
constexpr ServerEnding resets = ServerEnding::Reset;

} // namespace

TEST_CASE("a response of the store is accepted with a valid status only")
{
    // Results were taken from 000 before a valid response, from 101, and from a status above 599.
    const auto test = GENERATE(values<Case>({
        {sized("HTTP/1.1 200 OK\r\n"), keepOpen, accepted, true},
        {sized("HTTP/1.1 404 Not Found\r\n"), keepOpen, accepted, true},
        {sized("HTTP/1.1 599 \r\n", ""), keepOpen, accepted, true},
        {"HTTP/1.1 103 Early Hints\r\n\r\n" + sized("HTTP/1.1 200 OK\r\n"), keepOpen, accepted,
         true},
        {sized("HTTP/1.1 000 A\r\n"), keepOpen, unknown},
        {sized("HTTP/1.1 099 A\r\n"), keepOpen, unknown},
        {sized("HTTP/1.1 600 A\r\n"), keepOpen, unknown},
        {sized("HTTP/1.1 999 A\r\n"), keepOpen, unknown},
        {sized("HTTP/1.1 -200 A\r\n"), keepOpen, unknown},
        {sized("HTTP/1.1 +200 A\r\n"), keepOpen, unknown},
        {sized("HTTP/1.1 2000 A\r\n"), keepOpen, unknown},
        {sized("HTTP/1.1\r\n200 A\r\n"), keepOpen, unknown},
        {"HTTP/1.1 000 A\r\n\r\n" + sized("HTTP/1.1 200 OK\r\n"), keepOpen, unknown},
        {sized("HTTP/1.1 101 A\r\n", ""), keepOpen, unknown},
    }));
    check(test);
}

TEST_CASE("a response of the store with an invalid field is not accepted")
{
    // The parser kept blanks and control bytes in a name, so a field that frames the body was not
    // found under its name.
    const std::string line = GENERATE(from_range(invalidFieldLines()));
    check(Case {sized("HTTP/1.1 200 OK\r\n" + line + "\r\n"), keepOpen, unknown});
    check(Case {"HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + sized("HTTP/1.1 200 OK\r\n"),
                keepOpen, unknown});
}

TEST_CASE("a response of the store is accepted only as a whole")
{
    // A body without a length was taken as whole wherever the connection ended, and so was a
    // chunked one. The end of the connection inside the head was taken for the end of the head.
    const std::string ok = "HTTP/1.1 200 OK\r\nX-Era: 7\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    // Without this field the connection may be used again before its end arrives.
    const std::string closing = ok + "Connection: close\r\n";
    const auto test = GENERATE_COPY(values<Case>({
        {sized(closing, ""), closes, accepted},
        {sized(closing), closes, accepted},
        {sized(closing), resets, accepted},
        {chunked + "7\r\n" + json + "\r\n0\r\n\r\n", keepOpen, accepted, true},
        // The value shows its own end.
        {ok + "\r\n" + json, closes, accepted},
        {ok + "\r\n" + json, resets, unknown},
        {ok + "\r\n", closes, unknown},
        {ok + "\r\n" + json.substr(0, 4), closes, unknown},
        {"HTTP/1.1 404 N\r\n\r\n", closes, unknown},
        {"HTTP/1.1 404 N\r\n\r\nnot f", closes, unknown},
        {sized(ok).substr(0, sized(ok).size() - 1), closes, unknown},
        {chunked + "7\r\n" + json + "\r\n", closes, unknown},
        {chunked + "7\r\n" + json + "\r\n0\r\n", closes, unknown},
        {chunked + "7\r\n" + json.substr(0, 5), closes, unknown},
        {chunked, closes, unknown},
        {ok, closes, unknown},
        {"HTTP/1.1 200 OK\r\nX-Era: 7", closes, unknown},
        {"HTTP/1.1 404", closes, unknown},
        {"", closes, unknown},
        {"", resets, unknown},
    }));
    check(test);
}

TEST_CASE("a response of the store whose framing is not understood is not accepted")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunks = "\r\n7\r\n" + json + "\r\n0\r\n\r\n";
    const auto test = GENERATE_COPY(values<Case>({
        {ok + "Transfer-Encoding: gzip\r\nContent-Length: 7\r\n\r\n" + json, keepOpen, unknown},
        {ok + "Transfer-Encoding: gzip\r\n\r\n" + json, closes, unknown},
        {ok + "Transfer-Encoding: gzip, chunked\r\n" + chunks, keepOpen, unknown},
        {ok + "Transfer-Encoding: chunked, identity\r\n" + chunks, closes, unknown},
        {ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n" + chunks, keepOpen,
         unknown},
        {ok + "Transfer-Encoding: chunked\r\nContent-Length: 7\r\n" + chunks, keepOpen, unknown},
        {ok + "Content-Length: 7\r\nContent-Length: 8\r\n\r\n" + json, keepOpen, unknown},
        {ok + "Content-Length: +7\r\n\r\n" + json, keepOpen, unknown},
        {ok + "Content-Length: -1\r\n\r\n" + json, closes, unknown},
        {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, closes, unknown},
    }));
    check(test);
}

TEST_CASE("an early response of the store before a reset is not accepted")
{
    // The service may have run the request or not.
    const std::string body(std::size_t {4} << 20U, ' ');
    const ScriptedServer server("HTTP/1.1 200 OK\r\n\r\n" + json, ServerEnding::ResetUnread);
    JsonHttpClient client({addressOf(server)}, Millis {20'000});
    const JsonResponse response = sendJson(
        client, JsonRequest {"POST", "/a", body, Idempotency::NonIdempotent, std::nullopt, false});
    CHECK(response.outcome_ == StoreStatus::Unknown);
    CHECK(!response.body_);
}

} // namespace tamarack
