// Forwarding by the front end. Guards against requests that are changed on the way, work that goes
// on after the client has left, and connections that are closed with a request or a response in
// progress.
#include "relayfrontfixture.h"

namespace tamarack {

TEST_CASE("a request is forwarded unchanged, apart from the fields that the relay sets")
{
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture);
    CHECK(exchange.head_.starts_with("GET /a/b HTTP/1.1\r\n"));
    CHECK(exchange.head_.find("X-Request-Id: r1\r\n") != std::string::npos);
    CHECK(exchange.head_.find("X-Other: kept\r\n") != std::string::npos);
    CHECK(exchange.head_.find("X-Account: acme\r\n") != std::string::npos);
    CHECK(exchange.head_.find("X-Instance: i-1\r\n") != std::string::npos);
    CHECK(exchange.head_.find("secret") == std::string::npos);
    CHECK(exchange.head_.find("forged") == std::string::npos);
    CHECK(exchange.head_.find("X-Reserved") == std::string::npos);
    sendText(exchange.upstream_, responseTo("r1", "Content-Length: 2\r\n\r\nok"));
    const std::string response
        = readUntil(exchange.client_, [](const std::string &text) { return text.ends_with("ok"); });
    CHECK(response.find("X-Signature: s\r\n") != std::string::npos);
    CHECK(response.ends_with("Content-Length: 2\r\n\r\nok"));
    CHECK(waitForEvent<RelayAttemptEnded>(fixture).end_ == AttemptEnd::Delivered);
}

TEST_CASE("token counts of a client that would overflow are limited")
{
    Fixture fixture;
    setUp(fixture);
    StreamSocket client = connectClient(fixture);
    sendText(client,
             "GET /a/b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
             "X-Tokens: 5,9223372036854775807\r\n"
             "X-Prompt-Parts: p:9223372036854775807\r\n\r\n");
    const std::optional<PromptUsage> usage = waitForEvent<RequestRead>(fixture).request_.usage_;
    REQUIRE(usage);
    CHECK(usage->prompt_ == Tokens {5});
    CHECK(usage->maxOutput_ == Tokens {1'000'000'000'000});
    REQUIRE(usage->parts_.size() == 1);
    CHECK(usage->parts_.front().tokens_ == Tokens {1'000'000'000'000});
}

TEST_CASE("requests with the same content have the same hash, however they are framed")
{
    // A request that crashes instances is recognized by it when another client attempt brings it.
    Fixture fixture;
    setUp(fixture);
    const auto hashOf = [&fixture](const std::string &request) {
        StreamSocket client = connectClient(fixture);
        sendText(client, request);
        return waitForEvent<RequestRead>(fixture).request_.contentHash_;
    };
    const std::uint64_t hash = hashOf(
        "POST /a/b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: 3\r\n\r\nabc");
    CHECK(hash
          == hashOf("POST /a/b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\nX-Other: 1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"));
    for (const std::string other :
         {"PUT /a/b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r3\r\nContent-Length: 3\r\n\r\nabc",
          "POST /a/c HTTP/1.1\r\nHost: h\r\nX-Request-Id: r3\r\nContent-Length: 3\r\n\r\nabc",
          "POST /a/b HTTP/1.1\r\nHost: i\r\nX-Request-Id: r3\r\nContent-Length: 3\r\n\r\nabc",
          "POST /a/b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r3\r\nContent-Length: 3\r\n\r\nabd",
          "POST /a/b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r3\r\n\r\n"})
        CHECK(hash != hashOf(other));
}

TEST_CASE("a request with two values for a field that decides about it is rejected")
{
    // The daemon used the first value and sent both, so the upstream could use the other one.
    const std::string fields[] {
        "X-Request-Id: r1", "X-Deadline-Ms: 100",      "X-Model: m",
        "X-Tokens: 5,7",    "X-Prompt-Parts: a:1,b:1", "Authorization: Bearer k"};
    Fixture fixture;
    setUp(fixture);
    for (const std::string &field : fields) {
        INFO(field);
        StreamSocket client = connectClient(fixture);
        std::string request = "GET /a/b HTTP/1.1\r\nHost: h\r\n";
        request.append(field).append("\r\nX-Any: 1\r\n").append(field);
        sendText(client, request.append("\r\nX-Any: 2\r\n\r\n"));
        const std::string response
            = readUntil(client, [](const std::string &text) { return text.ends_with("one\"}}"); });
        CHECK(response.starts_with("HTTP/1.1 400 "));
        CHECK(response.find(field.substr(0, field.find(':'))) != std::string::npos);
    }
    // Others may occur any number of times.
    StreamSocket client = connectClient(fixture);
    sendText(client,
             "GET /a/b HTTP/1.1\r\nHost: h\r\nX-Any: 1\r\nX-Any: 2\r\n"
             "X-Request-Id: last\r\n\r\n");
    CHECK(waitForEvent<RequestRead>(fixture).request_.request_ == RequestId {"last"});
}

TEST_CASE("a prompt part without a valid token count is not left out")
{
    // A part that crashes instances could not be quarantined, and a broken last entry made the part
    // before it count as the one that belongs to this request only.
    Fixture fixture;
    setUp(fixture);
    StreamSocket client = connectClient(fixture);
    sendText(client,
             "GET /a/b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Tokens: 5,7\r\n"
             "X-Prompt-Parts: a:3,b,c:many,d:-2,e:4,f:\r\n\r\n");
    const std::optional<PromptUsage> usage = waitForEvent<RequestRead>(fixture).request_.usage_;
    REQUIRE(usage);
    std::vector<std::pair<std::string, std::int64_t>> parts;
    for (const PromptPart &part : usage->parts_)
        parts.emplace_back(part.id_, part.tokens_.count_);
    CHECK(parts
          == std::vector<std::pair<std::string, std::int64_t>> {
              {"a", 3}, {"b", 0}, {"c", 0}, {"d", 0}, {"e", 4}, {"f", 0}});
}

TEST_CASE("the next request of a client reuses the connection to the upstream")
{
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture);
    sendText(exchange.upstream_, responseTo("r1", "Content-Length: 2\r\n\r\nok"));
    readUntil(exchange.client_, [](const std::string &text) { return text.ends_with("ok"); });
    waitForEvent<RelayAttemptEnded>(fixture);
    sendText(exchange.client_, getRequest);
    command(
        fixture,
        attemptFor(fixture, waitForEvent<RequestRead>(fixture), RetryPolicy::AtMostOnce, false));
    CHECK(readHead(exchange.upstream_).starts_with("GET /a/b"));
}

TEST_CASE("what a response states about its instance is reported with its head")
{
    struct Case
    {
        const char *name_;
        std::string bytes_;
        std::optional<InstanceNotice> notice_;
    };
    const std::string refused = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n";
    const std::string complete = "Content-Length: 0\r\n\r\n";
    const Case cases[] {
        {"nothing", responseTo("r1", complete), std::nullopt},
        {"limit", responseTo("r1", "X-Request-Limit: 2.5\r\n" + complete),
         InstanceNotice {2.5, false, std::nullopt}},
        {"limit that is no number", responseTo("r1", "X-Request-Limit: 2.5 a\r\n" + complete),
         std::nullopt},
        {"cold time", responseTo("r1", "X-Cold-Ms: 1500\r\n" + complete),
         InstanceNotice {std::nullopt, false, std::nullopt, Millis {1500}}},
        {"no cold time", responseTo("r1", "X-Cold-Ms: 0\r\n" + complete), std::nullopt},
        {"cold time that is no number", responseTo("r1", "X-Cold-Ms: soon\r\n" + complete),
         std::nullopt},
        {"negative limit", responseTo("r1", "X-Request-Limit: -1\r\n" + complete), std::nullopt},
        {"leaving", responseTo("r1", "X-Leaving: 1\r\n" + complete),
         InstanceNotice {std::nullopt, true, std::nullopt}},
        {"time to come back", refused + "Retry-After: 1.25\r\n\r\n",
         InstanceNotice {std::nullopt, false, Millis {1250}}},
        {"time to come back without end", refused + "Retry-After: 1e300\r\n\r\n",
         InstanceNotice {std::nullopt, false, Millis {86'400'000}}},
        {"date to come back", refused + "Retry-After: Sat, 05 Dec 2026 05:00:00 GMT\r\n\r\n",
         std::nullopt},
        {"time to come back after a success", responseTo("r1", "Retry-After: 1\r\n" + complete),
         std::nullopt},
        {"number of refusals", responseTo("r1", "X-Max-Refusals: 3\r\n" + complete),
         InstanceNotice {std::nullopt, false, std::nullopt, std::nullopt, 3.0}},
        {"negative number of refusals", responseTo("r1", "X-Max-Refusals: -3\r\n" + complete),
         std::nullopt},
        {"another instance", "HTTP/1.1 421 M\r\nX-Leaving: 1\r\n" + complete, std::nullopt},
    };
    for (const Case &c : cases) {
        INFO(c.name_);
        Fixture fixture;
        setUp(fixture);
        Exchange exchange = startExchange(fixture);
        sendText(exchange.upstream_, c.bytes_);
        std::optional<InstanceNotice> notice;
        while (true) {
            const auto event
                = take(fixture.events_, std::chrono::steady_clock::now() + Seconds {20});
            REQUIRE(event);
            if (const auto *received = std::get_if<InstanceNoticeReceived>(&*event)) {
                CHECK(received->instance_ == exchange.attempt_.instance_);
                notice = received->notice_;
            }
            if (std::holds_alternative<RelayAttemptEnded>(*event))
                break;
        }
        CHECK(notice == c.notice_);
    }
}

TEST_CASE("a buffered failure is forwarded unchanged")
{
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture);
    sendText(
        exchange.upstream_,
        "HTTP/1.1 500 E\r\nX-Request-Id: r1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nfail");
    waitForEvent<RelayAttemptEnded>(fixture);
    command(fixture, ForwardFailure {exchange.attempt_.id_});
    const std::string response = readUntil(
        exchange.client_, [](const std::string &text) { return text.ends_with("fail"); });
    CHECK(response.starts_with("HTTP/1.1 500 E\r\n"));
    CHECK(response.find("X-Signature: s") != std::string::npos);
}

TEST_CASE("the upstream connection is closed when the client disconnects")
{
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture, RetryPolicy::Retryable);
    exchange.client_.close();
    waitForEvent<ClientDisconnected>(fixture);
    CHECK(readToEnd(exchange.upstream_).empty());
}

TEST_CASE("an attempt whose client has left ends at the request's deadline")
{
    // The upstream of a request that may run only once was read without end.
    Fixture fixture;
    setUp(fixture);
    StreamSocket client = connectClient(fixture);
    sendText(client, getRequest);
    SendAttempt attempt
        = attemptFor(fixture, waitForEvent<RequestRead>(fixture), RetryPolicy::AtMostOnce, false);
    attempt.deadline_ = std::chrono::steady_clock::now() + Millis {50};
    command(fixture, attempt);
    StreamSocket upstream = fixture.upstream_.acceptConnection();
    upstream.setReceiveTimeout(receiveTimeout);
    readHead(upstream);
    client.close();
    waitForEvent<ClientDisconnected>(fixture);
    CHECK(readToEnd(upstream).empty());
}

TEST_CASE(
    "an invalid request is rejected without an upstream, and the client receives the response")
{
    Fixture fixture;
    setUp(fixture);
    StreamSocket client = connectClient(fixture);
    sendText(client,
             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"
                 + std::string(5000, 'x'));
    const std::string response = readToEnd(client);
    CHECK(response.starts_with("HTTP/1.1 400 "));
    CHECK(response.find("<reset>") == std::string::npos);
}

TEST_CASE("responses close their connection only while keep-alive is disabled")
{
    Fixture fixture;
    setUp(fixture);
    for (const bool enabled : {false, true}) {
        command(fixture, SetKeepAlive {enabled});
        Exchange exchange = startExchange(fixture);
        sendText(exchange.upstream_, responseTo("r1", "Content-Length: 2\r\n\r\nok"));
        const std::string response = readUntil(
            exchange.client_, [](const std::string &text) { return text.ends_with("ok"); });
        CHECK((response.find("Connection: close") == std::string::npos) == enabled);
        if (!enabled)
            CHECK(readToEnd(exchange.client_).empty());
        exchange.upstream_.close();
    }
}

TEST_CASE("a stopping front end closes idle clients and completes pending responses")
{
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture);
    StreamSocket idle = connectClient(fixture);
    command(fixture, SetKeepAlive {false});
    command(fixture, CloseIdleConnections {});
    CHECK(readToEnd(idle).empty());
    sendText(exchange.upstream_, responseTo("r1", "Content-Length: 2\r\n\r\nok"));
    const std::string response = readToEnd(exchange.client_);
    CHECK(response.find("Connection: close\r\n") != std::string::npos);
    CHECK(response.ends_with("ok"));
}

TEST_CASE("all client connections are closed after their last response")
{
    // The stop ended when the last response was decided, and the process exited before it was sent.
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture);
    StreamSocket accepted = connectClient(fixture);
    sendText(accepted, getRequest);
    const RequestRead second = waitForEvent<RequestRead>(fixture);
    StreamSocket idle = connectClient(fixture);
    command(fixture, SetKeepAlive {false});
    command(fixture, CloseClients {});
    CHECK(readToEnd(idle).empty());
    CHECK_THROWS_AS(connectClient(fixture), Poco::Net::ConnectionRefusedException);
    const std::string body(std::size_t {200} << 10U, 'x');
    sendText(exchange.upstream_,
             "HTTP/1.1 500 E\r\nX-Request-Id: r1\r\nX-Signature: s\r\nContent-Length: "
                 + std::to_string(body.size()) + "\r\n\r\n" + body);
    waitForEvent<RelayAttemptEnded>(fixture);
    command(fixture, ForwardFailure {exchange.attempt_.id_});
    command(fixture, RespondToClient {second.request_.id_, 503, Millis {250}, "stopping"});
    CHECK(readToEnd(exchange.client_).ends_with("\r\n\r\n" + body));
    exchange.client_.close();
    CHECK(readToEnd(accepted).starts_with("HTTP/1.1 503 "));
    accepted.close();
    waitForEvent<ClientsClosed>(fixture);
}

TEST_CASE("a response that was decided before the front end stops is sent")
{
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture);
    command(fixture, RespondToClient {exchange.attempt_.id_, 504, std::nullopt, "timeout"});
    stopFrontend(*fixture.frontend_);
    CHECK(readHead(exchange.client_).starts_with("HTTP/1.1 504 "));
}

} // namespace tamarack
