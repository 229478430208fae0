// Tests of the incremental HTTP/1.1 parsers and the event splitter. Guards against request
// smuggling, truncated responses that look complete, and events that are merged or split.
#include "adapters/relayhttp/eventstream.h"
#include "adapters/relayhttp/message.h"

#include <catch2/catch.hpp>

namespace tamarack {

namespace {

const RequestLimits limits {1000, 2000};

/// Feeds a request to the reader in pieces of the given size.
RequestProgress readPieces(RequestReader &reader, const std::string &text, std::size_t size)
{
    RequestProgress progress;
    for (std::size_t at = 0; at < text.size(); at += size) {
        reader.pending_ += text.substr(at, size);
        progress = readRequest(reader, limits);
        if (progress.parseStatus_ == ParseStatus::Invalid)
            return progress;
    }
    return progress;
}

ParseStatus readResponsePieces(ResponseReader &reader, const std::string &text, std::size_t size,
                               std::string &body, std::string &rest)
{
    ParseStatus state = ParseStatus::NeedMore;
    for (std::size_t at = 0; at < text.size(); at += size) {
        rest += text.substr(at, size);
        state = readResponse(reader, rest);
        if (state == ParseStatus::Invalid)
            return state;
        if (state != ParseStatus::NeedMore)
            body += takeBody(reader);
    }
    return state;
}

using Fields = std::vector<std::pair<std::string, std::string>>;

Fields fieldsOf(const std::vector<HeaderField> &headers)
{
    Fields fields;
    for (const HeaderField &field : headers)
        fields.emplace_back(field.name_, field.value_);
    return fields;
}

} // namespace

TEST_CASE("requests are parsed from pieces of any size")
{
    const std::size_t size = GENERATE(1U, 3U, 1000U);
    RequestReader reader;
    SECTION("body with Content-Length")
    {
        REQUIRE(readPieces(reader,
                           "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
                           "Connection: keep-alive, X-Drop\r\nX-Drop: 2\r\nContent-Length: 5\r\n"
                           "\r\nhello",
                           size)
                    .parseStatus_
                == ParseStatus::Done);
        const HttpRequest request = takeRequest(reader);
        CHECK(request.method_ == "POST");
        CHECK(request.target_ == "/a/b?c=d");
        CHECK(request.host_ == "h");
        CHECK(request.body_ == "hello");
        CHECK(findField(request.headers_, "x-one") == "1");
        CHECK(!findField(request.headers_, "X-Drop"));
        CHECK(!findField(request.headers_, "Content-Length"));
    }
    SECTION("chunked body")
    {
        REQUIRE(readPieces(reader,
                           "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: 1\r\n\r\n",
                           size)
                    .parseStatus_
                == ParseStatus::Done);
        CHECK(takeRequest(reader).body_ == "hello");
    }
    SECTION("pipelined requests")
    {
        const std::string get = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
        reader.pending_ = get + get;
        for (int i = 0; i < 2; ++i) {
            REQUIRE(readRequest(reader, limits).parseStatus_ == ParseStatus::Done);
            CHECK(takeRequest(reader).target_ == "/1");
        }
        CHECK(reader.pending_.empty());
    }
}

TEST_CASE("trailer fields of a request change nothing that its head says")
{
    // They were merged into the head after the request had been decided on: a client could change
    // what is charged, or have fields dropped that the daemon sets.
    const std::size_t size = GENERATE(1U, 3U, 1000U);
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nX-Tokens: 5,7\r\nX-Parts: a:1\r\n"
                             "Authorization: Bearer k\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string body = "3\r\nhel\r\n2\r\nlo\r\n0\r\n";
    RequestReader plain;
    REQUIRE(readPieces(plain, head + body + "\r\n", size).parseStatus_ == ParseStatus::Done);
    const HttpRequest expected = takeRequest(plain);
    struct Case
    {
        std::string trailer_;
        bool isAccepted_ = true;
    };
    const Case cases[] {
        {"X-Tokens: 1,1\r\n"},
        {"Connection: X-Tokens, X-Parts, close\r\n"},
        {"X-Parts: b:1\r\nX-Request-Id: other\r\nX-Deadline-Ms: 1\r\n"},
        {"Authorization: Bearer other\r\n"},
        {"Host: other\r\n"},
        {"Expect: 100-continue\r\n"},
        {"X-Any: 1\r\n"},
        {"Content-Length: 1\r\n", false},
        {"Transfer-Encoding: chunked\r\n", false},
    };
    for (const Case &c : cases) {
        INFO(c.trailer_);
        RequestReader reader;
        const RequestProgress progress
            = readPieces(reader, head + body + c.trailer_ + "\r\n", size);
        if (!c.isAccepted_) {
            CHECK(progress.parseStatus_ == ParseStatus::Invalid);
            continue;
        }
        REQUIRE(progress.parseStatus_ == ParseStatus::Done);
        const HttpRequest request = takeRequest(reader);
        CHECK(request.host_ == expected.host_);
        CHECK(request.keepAlive_ == expected.keepAlive_);
        CHECK(request.body_ == expected.body_);
        CHECK(fieldsOf(request.headers_) == fieldsOf(expected.headers_));
    }
}

TEST_CASE("trailer fields of a response are not passed on as fields of its head")
{
    const std::size_t size = GENERATE(1U, 3U, 1000U);
    ResponseReader reader;
    std::string body;
    std::string rest;
    startResponse(reader, "GET");
    REQUIRE(readResponsePieces(reader,
                               "HTTP/1.1 200 OK\r\nX-One: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "2\r\nok\r\n0\r\nX-Signature: s\r\nX-One: 2\r\n"
                               "Connection: close, X-One\r\n\r\n",
                               size, body, rest)
            == ParseStatus::Done);
    CHECK(body == "ok");
    const HttpResponseHead head = responseHead(reader);
    CHECK(head.keepAlive_);
    CHECK(fieldsOf(head.headers_) == Fields {{"X-One", "1"}});
}

TEST_CASE("ambiguous, malformed and oversized requests are rejected")
{
    struct Case
    {
        std::string text_;
        int status_;
    };
    const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
    const Case cases[] {
        {post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400},
        {post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
        {post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400},
        {post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
        {post + "Transfer-Encoding: identity\r\n\r\n", 400},
        {post + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", 400},
        {post + "Content-Length: +5\r\n\r\nhello", 400},
        {post + "Content-Length: 5 5\r\n\r\nhello", 400},
        {post + "Content-Length : 5\r\n\r\nhello", 400},
        {"POST / HTTP/1.1\r\n\r\n", 400},
        {post + "Host: g\r\n\r\n", 400},
        {"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
        {"POST http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        {"POST / HTTP/1.1\nHost: h\n\n", 400},
        {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
        {post + "Content-Length: 3000\r\n\r\n", 413},
        {post + "X: " + std::string(2000, 'x') + "\r\n\r\n", 431},
    };
    for (const Case &c : cases) {
        INFO(c.text_.substr(0, 120));
        RequestReader reader;
        const RequestProgress progress = readPieces(reader, c.text_, 4000);
        CHECK(progress.parseStatus_ == ParseStatus::Invalid);
        CHECK(progress.status_ == c.status_);
        CHECK(!progress.error_.empty());
    }
}

TEST_CASE("the end of a response is determined by its framing")
{
    const std::size_t size = GENERATE(1U, 7U, 1000U);
    ResponseReader reader;
    std::string body;
    std::string rest;
    startResponse(reader, "GET");
    SECTION("Content-Length, followed by extra bytes")
    {
        CHECK(readResponsePieces(reader, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokEXTRA",
                                 size, body, rest)
              == ParseStatus::Done);
        CHECK(body == "ok");
        CHECK(rest == "EXTRA");
        CHECK(responseHead(reader).keepAlive_);
    }
    SECTION("chunked, truncated before the last chunk")
    {
        CHECK(readResponsePieces(reader,
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                                 size, body, rest)
              == ParseStatus::HeadDone);
        CHECK(body == "ok");
        CHECK(endResponse(reader) == ParseStatus::Invalid);
    }
    SECTION("shorter than its Content-Length")
    {
        CHECK(readResponsePieces(reader, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", size,
                                 body, rest)
              == ParseStatus::HeadDone);
        CHECK(endResponse(reader) == ParseStatus::Invalid);
    }
    SECTION("no framing, ended by an orderly close")
    {
        CHECK(readResponsePieces(reader, "HTTP/1.1 200 OK\r\n\r\nok", size, body, rest)
              == ParseStatus::HeadDone);
        CHECK(endResponse(reader) == ParseStatus::Done);
        CHECK(body == "ok");
        CHECK(!responseHead(reader).keepAlive_);
    }
    SECTION("after an interim response")
    {
        CHECK(readResponsePieces(reader,
                                 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n"
                                 "Keep-Alive: timeout=7\r\n\r\n",
                                 size, body, rest)
              == ParseStatus::Done);
        CHECK(responseHead(reader).status_ == 204);
        CHECK(responseHead(reader).keepAliveTimeout_ == Seconds {7});
    }
    SECTION("not an HTTP response")
    {
        CHECK(readResponsePieces(reader, "garbage\r\n\r\n", size, body, rest)
              == ParseStatus::Invalid);
    }
}

TEST_CASE("framing without end between the parts of a body is rejected")
{
    // The parser consumes the size line of a chunk and the trailer section only when they are
    // complete, so the unparsed bytes grew until the process ran out of memory.
    const std::string start
        = GENERATE("0", "2;extension=", "2\r\nok\r\n0", "0\r\nX-Long: ", "0\r\nX-Short: 1\r\n");
    const std::string piece(4096, '0');
    constexpr std::size_t maxPieces = 256;
    SECTION("of a response")
    {
        ResponseReader reader;
        startResponse(reader, "GET");
        std::string unparsed = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + start;
        ParseStatus status = readResponse(reader, unparsed);
        for (std::size_t i = 0; i < maxPieces && status != ParseStatus::Invalid; ++i) {
            unparsed += piece;
            status = readResponse(reader, unparsed);
        }
        CHECK(status == ParseStatus::Invalid);
    }
    SECTION("of a request")
    {
        RequestReader reader;
        reader.pending_
            = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + start;
        RequestProgress progress = readRequest(reader, limits);
        for (std::size_t i = 0; i < maxPieces && progress.parseStatus_ != ParseStatus::Invalid;
             ++i) {
            reader.pending_ += piece;
            progress = readRequest(reader, limits);
        }
        CHECK(progress.parseStatus_ == ParseStatus::Invalid);
        CHECK(progress.status_ == 400);
    }
}

TEST_CASE("event streams are split into complete events")
{
    const std::string text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata";
    const std::size_t size = GENERATE(1U, 5U, 1000U);
    EventSplitter splitter;
    std::vector<CompleteEvent> events;
    for (std::size_t at = 0; at < text.size(); at += size) {
        feedEvents(splitter, text.substr(at, size));
        while (auto event = takeEvent(splitter))
            events.push_back(*event);
    }
    REQUIRE(events.size() == 3);
    CHECK(events[0].bytes_ == "id: 1\ndata: a\n\n");
    CHECK(events[0].id_ == "1");
    CHECK(events[1].id_ == "2");
    CHECK(!events[2].id_);
    CHECK(splitter.partial_ == "id: 3\ndata");
}

} // namespace tamarack
