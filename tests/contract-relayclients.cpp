// Clients of the front end outside the limits. Guards against connections that keep new clients
// out, buffers that grow with what a client pipelines or leaves unread, and upstream connections
// without a bound.
#include "relayfrontfixture.h"

namespace tamarack {

namespace {

const std::string smallRequest = "GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n";

void refuse(Fixture &fixture, const RequestRead &read)
{
    command(fixture, RespondToClient {read.request_.id_, 503, Millis {250}, "no_upstream"});
}

} // namespace

TEST_CASE("the longest idle connection makes room for a new one")
{
    Fixture fixture;
    FrontendSettings settings;
    settings.maxClients_ = 2;
    setUp(fixture, settings);
    StreamSocket oldest = connectClient(fixture);
    sendText(oldest, smallRequest);
    refuse(fixture, waitForEvent<RequestRead>(fixture));
    CHECK(readHead(oldest).starts_with("HTTP/1.1 503 "));
    StreamSocket busy = connectClient(fixture);
    sendText(busy, smallRequest);
    const RequestRead read = waitForEvent<RequestRead>(fixture);
    StreamSocket last = connectClient(fixture);
    sendText(last, smallRequest);
    refuse(fixture, waitForEvent<RequestRead>(fixture));
    CHECK(readHead(last).starts_with("HTTP/1.1 503 "));
    CHECK(readToEnd(oldest).empty());
    CHECK(bufferUsage(*fixture.frontend_).idleClosed_ == 1);
    // A request that is being served is not affected.
    refuse(fixture, read);
    CHECK(readHead(busy).starts_with("HTTP/1.1 503 "));
}

TEST_CASE("the front end tells that it accepts no connections while all are busy")
{
    Fixture fixture;
    FrontendSettings settings;
    settings.maxClients_ = 1;
    setUp(fixture, settings);
    StreamSocket busy = connectClient(fixture);
    sendText(busy, smallRequest);
    const RequestRead read = waitForEvent<RequestRead>(fixture);
    CHECK_FALSE(waitForEvent<AcceptingChanged>(fixture).accepts_);
    refuse(fixture, read);
    CHECK(waitForEvent<AcceptingChanged>(fixture).accepts_);
}

TEST_CASE("pipelined requests are read only as they are served")
{
    Fixture fixture;
    setUp(fixture);
    constexpr std::size_t requests = 40'000;
    StreamSocket client = connectClient(fixture);
    std::thread sender([&client] {
        std::string text;
        for (std::size_t i = 0; i < requests; ++i)
            text += smallRequest;
        sendText(client, text);
    });
    std::thread reader([&client] {
        readUntil(client, [](const std::string &text) { return text.ends_with("<last>"); });
    });
    std::uint64_t peak = 0;
    for (std::size_t i = 0; i < requests; ++i) {
        refuse(fixture, waitForEvent<RequestRead>(fixture));
        peak = std::max(peak, bufferUsage(*fixture.frontend_).bytes_);
    }
    sender.join();
    client.shutdown();
    reader.join();
    CHECK(peak < (std::size_t {256} << 10U));
}

TEST_CASE("a client that reads nothing is cut off while its upstream waits")
{
    Fixture fixture;
    FrontendSettings settings;
    settings.unreadTimeout_ = Millis {50};
    settings.unreadTimeoutInShortage_ = Millis {50};
    setUp(fixture, settings);
    Exchange exchange = startExchange(fixture);
    exchange.upstream_.setSendTimeout(receiveTimeout);
    std::thread sender([&exchange] {
        try {
            sendText(exchange.upstream_, responseTo("r1", "Content-Length: 60000000\r\n\r\n"));
            const std::string piece(std::size_t {64} << 10U, 'x');
            for (int i = 0; i < 900; ++i)
                sendText(exchange.upstream_, piece);
        } catch (const Poco::Exception &) {
            // The relay has closed the connection.
        }
    });
    waitForEvent<ClientDisconnected>(fixture);
    resetConnection(exchange.client_);
    sender.join();
    CHECK(bufferUsage(*fixture.frontend_).unreadClosed_ == 1);
}

TEST_CASE("connections to all upstreams together have a limit")
{
    Fixture fixture;
    FrontendSettings settings;
    settings.maxUpstreams_ = 1;
    setUp(fixture, settings);
    Exchange first = startExchange(fixture);
    StreamSocket client = connectClient(fixture);
    sendText(client, smallRequest);
    const RequestRead read = waitForEvent<RequestRead>(fixture);
    command(fixture, attemptFor(fixture, read, RetryPolicy::AtMostOnce, false));
    CHECK(waitForEvent<RelayAttemptEnded>(fixture).end_ == AttemptEnd::NotSent);
    // The attempt of a client that has left gives way to another one.
    first.client_.close();
    waitForEvent<ClientDisconnected>(fixture);
    command(fixture, attemptFor(fixture, read, RetryPolicy::AtMostOnce, false));
    StreamSocket upstream = fixture.upstream_.acceptConnection();
    upstream.setReceiveTimeout(receiveTimeout);
    CHECK(readHead(upstream).starts_with("GET /a "));
}

TEST_CASE("the memory of header fields is counted")
{
    Fixture fixture;
    setUp(fixture);
    std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n";
    for (int i = 0; i < 1000; ++i)
        request += "a:\r\n";
    StreamSocket client = connectClient(fixture);
    sendText(client, request + "\r\n");
    waitForEvent<RequestRead>(fixture);
    // Wait until the front end has counted: it handles commands after that.
    command(fixture, SetKeepAlive {true});
    StreamSocket other = connectClient(fixture);
    sendText(other, smallRequest);
    waitForEvent<RequestRead>(fixture);
    CHECK(bufferUsage(*fixture.frontend_).requestBytes_ > 1000 * sizeof(HeaderField));
}

} // namespace tamarack
