// Framing of responses and event streams by the front end. Guards against truncated responses that
// look complete, and streams in which a piece is missing, repeated or foreign.
#include "relayfrontfixture.h"

namespace tamarack {

TEST_CASE("the response to a HEAD request has the upstream's length and no body")
{
    // A length of 0 would be untrue, and body bytes would begin the client's next response.
    struct Case
    {
        std::string fields_;
        std::string expected_;
        bool streaming_ = false;
    };
    const auto test = GENERATE(
        values<Case>({{"Content-Length: 800\r\n", "Content-Length: 800\r\n"},
                      {"Content-Length: 0\r\n", "Content-Length: 0\r\n"},
                      {"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
                       "Content-Type: text/event-stream\r\n", true}}));
    Fixture fixture;
    setUp(fixture);
    const std::string request = "HEAD" + getRequest.substr(3);
    Exchange exchange = startExchange(fixture, RetryPolicy::AtMostOnce, test.streaming_, request);
    CHECK(exchange.head_.starts_with("HEAD /a/b HTTP/1.1\r\n"));
    sendText(exchange.upstream_, responseTo("r1", test.fields_ + "\r\n"));
    CHECK(waitForEvent<RelayAttemptEnded>(fixture).end_ == AttemptEnd::Delivered);
    const std::string response = readHead(exchange.client_);
    CHECK(response.find(test.expected_) != std::string::npos);
    CHECK(response.find("\r\n\r\n") == response.size() - 4);
    // The next response follows directly.
    sendText(exchange.client_, getRequest);
    command(
        fixture,
        attemptFor(fixture, waitForEvent<RequestRead>(fixture), RetryPolicy::AtMostOnce, false));
    readHead(exchange.upstream_);
    sendText(exchange.upstream_, responseTo("r1", "Content-Length: 2\r\n\r\nok"));
    const std::string next
        = readUntil(exchange.client_, [](const std::string &text) { return text.ends_with("ok"); });
    CHECK(next.starts_with("HTTP/1.1 200 OK\r\n"));
}

TEST_CASE("a response without framing is complete on an orderly close and truncated on a reset")
{
    Fixture fixture;
    setUp(fixture);
    const bool orderly = GENERATE(true, false);
    Exchange exchange = startExchange(fixture, RetryPolicy::AtMostOnce, true);
    sendText(exchange.upstream_,
             responseTo("r1", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"));
    const std::string first = readUntil(exchange.client_, [](const std::string &text) {
        return text.find("data: a") != std::string::npos;
    });
    CHECK(first.find("Transfer-Encoding: chunked") != std::string::npos);
    if (orderly) {
        exchange.upstream_.close();
        const std::string rest = readUntil(
            exchange.client_, [](const std::string &text) { return text.ends_with("0\r\n\r\n"); });
        CHECK(rest.ends_with("0\r\n\r\n"));
        return;
    }
    resetConnection(exchange.upstream_);
    CHECK(waitForEvent<RelayAttemptEnded>(fixture).end_ == AttemptEnd::ConnectionLost);
    command(fixture, AbortResponse {exchange.attempt_.id_});
    CHECK(readToEnd(exchange.client_).find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a stream without framing that ends inside an event was broken off")
{
    struct Case
    {
        const char *name_;
        const char *events_;
        AttemptEnd end_;
    };
    const Case cases[] {
        {"between events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", AttemptEnd::Delivered},
        {"inside a line", "id: 1\ndata: a\n\nid: 2\nda", AttemptEnd::ConnectionLost},
        {"before the blank line", "id: 1\ndata: a\n\nid: 2\ndata: b\n", AttemptEnd::ConnectionLost},
        {"inside the first event", "id: 1\nda", AttemptEnd::ConnectionLost},
    };
    for (const Case &c : cases) {
        INFO(c.name_);
        Fixture fixture;
        setUp(fixture);
        Exchange exchange = startExchange(fixture, RetryPolicy::AtMostOnce, true);
        sendText(exchange.upstream_, responseTo("r1", std::string("\r\n") + c.events_));
        exchange.upstream_.close();
        const RelayAttemptEnded end = waitForEvent<RelayAttemptEnded>(fixture);
        CHECK(end.end_ == c.end_);
        if (end.end_ != AttemptEnd::Delivered)
            command(fixture, AbortResponse {exchange.attempt_.id_});
        exchange.client_.shutdownSend();
        const std::string response = readToEnd(exchange.client_);
        const bool looksComplete
            = response.starts_with("HTTP/1.1 200 ") && response.ends_with("0\r\n\r\n");
        CHECK(looksComplete == (c.end_ == AttemptEnd::Delivered));
        CHECK(response.find("da\r\n") == std::string::npos);
    }
}

TEST_CASE("a stream resumes at another upstream after its last complete event")
{
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture, RetryPolicy::Retryable, true);
    sendText(exchange.upstream_,
             responseTo("r1",
                        "Transfer-Encoding: chunked\r\n\r\n"
                        "1c\r\nid: 1\ndata: a\n\nid: 2\ndata:\r\n"));
    waitForEvent<OutputStarted>(fixture);
    exchange.upstream_.close();
    const RelayAttemptEnded ended = waitForEvent<RelayAttemptEnded>(fixture);
    CHECK(ended.events_ == 1);
    CHECK(ended.partiallyDelivered_);
    SendAttempt next = exchange.attempt_;
    next.attempt_ = 2;
    command(fixture, next);
    StreamSocket second = fixture.upstream_.acceptConnection();
    second.setReceiveTimeout(receiveTimeout);
    CHECK(readHead(second).find("Last-Event-ID: 1\r\n") != std::string::npos);
    // This upstream ignores the resume position and repeats an event.
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    sendText(
        second,
        responseTo("r1", "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events));
    const std::string response = readUntil(
        exchange.client_, [](const std::string &text) { return text.ends_with("0\r\n\r\n"); });
    CHECK(response.find("data: a") == response.rfind("data: a"));
    CHECK(response.find("id: 2\ndata: b") != std::string::npos);
    CHECK(response.find("HTTP/1.1") == response.rfind("HTTP/1.1"));
    CHECK(waitForEvent<RelayAttemptEnded>(fixture).events_ == 2);
}

TEST_CASE("a stream that has begun is not continued at another software version")
{
    // The first attempt was given up as silent while its stream began.
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture, RetryPolicy::Retryable, true);
    sendText(exchange.upstream_, responseTo("r1", "\r\n") + "id: 1\ndata: a\n\n");
    std::string response = readUntil(exchange.client_, [](const std::string &text) {
        return text.find("data: a") != std::string::npos;
    });
    SendAttempt other = exchange.attempt_;
    other.attempt_ = 2;
    other.version_ = SoftwareVersion {"v2"};
    command(fixture, other);
    const RelayAttemptEnded ended = waitForEvent<RelayAttemptEnded>(fixture);
    CHECK(ended.attempt_ == 2);
    CHECK(ended.end_ == AttemptEnd::Superseded);
    CHECK(ended.begunBy_ == 1);
    CHECK(ended.events_ == 1);
    SendAttempt same = exchange.attempt_;
    same.attempt_ = 3;
    command(fixture, same);
    StreamSocket second = fixture.upstream_.acceptConnection();
    second.setReceiveTimeout(receiveTimeout);
    CHECK(readHead(second).find("Last-Event-ID: 1\r\n") != std::string::npos);
}

TEST_CASE("a connection to an earlier process of an instance is not used for the next one")
{
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture);
    sendText(exchange.upstream_, responseTo("r1", "Content-Length: 2\r\n\r\nok"));
    readUntil(exchange.client_, [](const std::string &text) { return text.ends_with("ok"); });
    waitForEvent<RelayAttemptEnded>(fixture);
    sendText(exchange.client_, getRequest);
    SendAttempt next
        = attemptFor(fixture, waitForEvent<RequestRead>(fixture), RetryPolicy::AtMostOnce, false);
    next.startedAt_ = WallTime {Millis {5}};
    command(fixture, next);
    StreamSocket second = fixture.upstream_.acceptConnection();
    second.setReceiveTimeout(receiveTimeout);
    CHECK(readHead(second).starts_with("GET /a/b HTTP/1.1"));
    CHECK(readToEnd(exchange.upstream_).empty());
}

TEST_CASE("an error of the next upstream does not become part of a stream that has begun")
{
    const std::string body = "Content-Length: 9\r\n\r\nnot found";
    const std::string notFound = "HTTP/1.1 404 N\r\nX-Request-Id: r1\r\nX-Signature: s\r\n" + body;
    const std::string failed = "HTTP/1.1 500 E\r\nX-Request-Id: r1\r\nX-Signature: s\r\n" + body;
    const std::string otherSuccess
        = "HTTP/1.1 202 A\r\nX-Request-Id: r1\r\nX-Signature: s\r\n" + body;
    for (const std::string &error : {notFound, failed, otherSuccess}) {
        INFO(error);
        Fixture fixture;
        setUp(fixture);
        Exchange exchange = startExchange(fixture, RetryPolicy::Retryable, true);
        sendText(exchange.upstream_,
                 responseTo("r1",
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "1c\r\nid: 1\ndata: a\n\nid: 2\ndata:\r\n"));
        waitForEvent<OutputStarted>(fixture);
        exchange.upstream_.close();
        waitForEvent<RelayAttemptEnded>(fixture);
        SendAttempt next = exchange.attempt_;
        next.attempt_ = 2;
        command(fixture, next);
        StreamSocket second = fixture.upstream_.acceptConnection();
        second.setReceiveTimeout(receiveTimeout);
        readHead(second);
        sendText(second, error);
        const RelayAttemptEnded ended = waitForEvent<RelayAttemptEnded>(fixture);
        CHECK(ended.end_ != AttemptEnd::Delivered);
        CHECK(ended.partiallyDelivered_);
        command(fixture, AbortResponse {exchange.attempt_.id_});
        const std::string response = readToEnd(exchange.client_);
        CHECK(response.find("data: a") != std::string::npos);
        CHECK(response.find("not found") == std::string::npos);
        CHECK(response.find("HTTP/1.1") == response.rfind("HTTP/1.1"));
        CHECK(!response.ends_with("0\r\n\r\n"));
    }
}

TEST_CASE("a decision that was made before a response began does not become part of it")
{
    // The control thread decides about a request without knowing that its response has begun if
    // both happen at the same time. A 504 was written where the size of a chunk was due.
    const bool streaming = GENERATE(true, false);
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture, RetryPolicy::Retryable, streaming);
    const std::string begun
        = streaming ? "id: 1\ndata: a\n\n" : std::string(std::size_t {300} << 10U, 'a');
    sendText(exchange.upstream_, responseTo("r1", "\r\n") + begun);
    std::string response = readUntil(exchange.client_, [&](const std::string &text) {
        return text.find(begun.substr(0, 12)) != std::string::npos;
    });
    SECTION("timeout")
    {
        command(fixture, RespondToClient {exchange.attempt_.id_, 504, std::nullopt, "timeout"});
    }
    SECTION("refusal")
    {
        command(fixture, RespondToClient {exchange.attempt_.id_, 503, Millis {250}, "no_upstream"});
    }
    SECTION("failure of the upstream")
    {
        command(fixture, ForwardFailure {exchange.attempt_.id_});
    }
    SECTION("truncation")
    {
        command(fixture, AbortResponse {exchange.attempt_.id_});
    }
    response += readToEnd(exchange.client_);
    CHECK(response.find("HTTP/1.1") == response.rfind("HTTP/1.1"));
    CHECK(response.find("error") == std::string::npos);
    CHECK(!response.ends_with("0\r\n\r\n"));
    // The connection to the upstream is closed, by a reset if bytes of the response are unread.
    const std::string afterRequest = readToEnd(exchange.upstream_);
    CHECK((afterRequest.empty() || afterRequest == "<reset>"));
}

TEST_CASE("a response that has begun is not started again by another attempt")
{
    // The first attempt was given up as silent while its response began.
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture, RetryPolicy::Retryable, false);
    sendText(exchange.upstream_,
             responseTo("r1", "\r\n") + std::string(std::size_t {300} << 10U, 'a'));
    std::string response = readUntil(exchange.client_, [](const std::string &text) {
        return text.find("aaaa") != std::string::npos;
    });
    SendAttempt next = exchange.attempt_;
    next.attempt_ = 2;
    command(fixture, next);
    const RelayAttemptEnded ended = waitForEvent<RelayAttemptEnded>(fixture);
    CHECK(ended.attempt_ == 2);
    CHECK(ended.end_ == AttemptEnd::ConnectionLost);
    CHECK(ended.partiallyDelivered_);
    command(fixture, AbortResponse {exchange.attempt_.id_});
    response += readToEnd(exchange.client_);
    CHECK(response.find("HTTP/1.1") == response.rfind("HTTP/1.1"));
    CHECK(!response.ends_with("0\r\n\r\n"));
}

} // namespace tamarack
