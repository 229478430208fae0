// Memory of the front end. Guards against a process that exceeds its memory because many
// connections stay within their own limits, and against bodies that are damaged or mixed while they
// are sent.
#include "relayfrontfixture.h"

#include <fmt/format.h>

namespace tamarack {

namespace {

constexpr std::size_t bodyBytes = std::size_t {400} << 10U;

/// A budget with room for one body at a time.
FrontendSettings settingsForOneBody()
{
    FrontendSettings settings;
    settings.maxBufferedBytes_ = std::size_t {1} << 20U;
    settings.memoryWaitTimeout_ = Seconds {20};
    return settings;
}

std::string makeBody(char first)
{
    std::string body(bodyBytes, 'x');
    body.front() = first;
    body.back() = first;
    return body;
}

std::string uploadHead(const std::string &framing)
{
    return "POST /a/b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n" + framing + "\r\n";
}

const std::string lengthField = "Content-Length: " + std::to_string(bodyBytes) + "\r\n";

std::string receiveBody(StreamSocket &upstream, const std::string &head)
{
    const std::size_t at = head.find("\r\n\r\n") + 4;
    std::string body = head.substr(at);
    body += readUntil(
        upstream, [&](const std::string &text) { return body.size() + text.size() >= bodyBytes; });
    return body;
}

} // namespace

TEST_CASE("a large body is forwarded unchanged, also at the second attempt")
{
    Fixture fixture;
    setUp(fixture);
    const std::string body = makeBody('a');
    StreamSocket client = connectClient(fixture);
    std::thread sender([&client, &body] { sendText(client, uploadHead(lengthField) + body); });
    const RequestRead read = waitForEvent<RequestRead>(fixture);
    for (int attempt = 0; attempt < 2; ++attempt) {
        command(fixture, attemptFor(fixture, read, RetryPolicy::Retryable, false));
        StreamSocket upstream = fixture.upstream_.acceptConnection();
        upstream.setReceiveTimeout(receiveTimeout);
        CHECK(receiveBody(upstream, readHead(upstream)) == body);
    }
    sender.join();
}

TEST_CASE("a response before the whole body was sent retires the connection")
{
    // The rest of the body would be read as the next request.
    Fixture fixture;
    setUp(fixture);
    // More than the buffers of the kernel hold.
    const std::string body(std::size_t {4} << 20U, 'x');
    StreamSocket client = connectClient(fixture);
    std::thread sender([&client, &body] {
        sendText(client,
                 uploadHead("Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
    });
    const RequestRead read = waitForEvent<RequestRead>(fixture);
    sender.join();
    fixture.upstream_.setReceiveBufferSize(4096);
    command(fixture, attemptFor(fixture, read, RetryPolicy::AtMostOnce, false));
    StreamSocket upstream = fixture.upstream_.acceptConnection();
    upstream.setReceiveTimeout(receiveTimeout);
    readHead(upstream);
    sendText(upstream, responseTo("r1", "Content-Length: 2\r\n\r\nok"));
    CHECK(readUntil(client, [](const std::string &text) {
              return text.ends_with("ok");
          }).starts_with("HTTP/1.1 200 "));
    const std::string rest = readToEnd(upstream);
    CHECK(rest.size() < body.size());
    CHECK(rest.find("HTTP/1.1") == std::string::npos);
}

TEST_CASE("a body is sent on while its response waits for the client")
{
    // Pausing the response also stopped the request, so an upstream that answers while it reads
    // never got the rest.
    Fixture fixture;
    setUp(fixture);
    constexpr std::size_t size = std::size_t {24} << 20U;
    ClientLimits limits;
    limits.maxBodyBytes_ = size;
    limits.readTimeout_ = Seconds {20};
    command(fixture, ApplyLimits {limits});
    StreamSocket client = connectClient(fixture);
    client.setReceiveBufferSize(4096);
    std::thread sender([&client] {
        sendText(client,
                 uploadHead("Content-Length: " + std::to_string(size) + "\r\n")
                     + std::string(size, 'x'));
    });
    const RequestRead read = waitForEvent<RequestRead>(fixture);
    sender.join();
    fixture.upstream_.setReceiveBufferSize(4096);
    command(fixture, attemptFor(fixture, read, RetryPolicy::AtMostOnce, false));
    StreamSocket upstream = fixture.upstream_.acceptConnection();
    upstream.setReceiveTimeout(receiveTimeout);
    const std::string head = readHead(upstream);
    upstream.setSendTimeout(Poco::Timespan(0, 300'000));
    try {
        sendText(upstream, responseTo("r1", "\r\n"));
        // Until the relay doesn't read any more, because the client doesn't.
        while (true)
            sendText(upstream, std::string(std::size_t {64} << 10U, 'y'));
    } catch (const Poco::Exception &) {
        // The send timed out.
    }
    std::size_t received = head.size() - head.find("\r\n\r\n") - 4;
    received += readUntil(upstream, [&](const std::string &text) {
                    return received + text.size() >= size;
                }).size();
    CHECK(received == size);
}

TEST_CASE("a large body waits until another one has been served")
{
    const bool chunked = GENERATE(false, true);
    const std::string framing = chunked ? "Transfer-Encoding: chunked\r\n" : lengthField;
    Fixture fixture;
    setUp(fixture, settingsForOneBody());
    StreamSocket first = connectClient(fixture);
    sendText(first, uploadHead(lengthField) + makeBody('a').substr(1));
    StreamSocket second = connectClient(fixture);
    std::thread sender([&second, &framing, chunked] {
        const std::string body = makeBody('b');
        sendText(
            second,
            uploadHead(framing)
                + (chunked ? fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body) : body));
    });
    // Small requests of other clients go on.
    StreamSocket small = connectClient(fixture);
    sendText(small, getRequest);
    const RequestRead smallRead = waitForEvent<RequestRead>(fixture);
    CHECK(smallRead.request_.bodyBytes_ == 0);
    command(fixture, RespondToClient {smallRead.request_.id_, 404, std::nullopt, "no_route"});
    CHECK(readHead(small).starts_with("HTTP/1.1 404 "));
    sendText(first, "a");
    const RequestRead firstRead = waitForEvent<RequestRead>(fixture);
    CHECK(firstRead.request_.bodyBytes_ == bodyBytes);
    command(fixture, RespondToClient {firstRead.request_.id_, 404, std::nullopt, "no_route"});
    CHECK(readHead(first).starts_with("HTTP/1.1 404 "));
    CHECK(waitForEvent<RequestRead>(fixture).request_.bodyBytes_ == bodyBytes);
    sender.join();
    CHECK(bufferUsage(*fixture.frontend_).refusals_ == 0);
    CHECK(bufferUsage(*fixture.frontend_).bytes_ <= (std::size_t {1} << 20U));
}

TEST_CASE("a large body that gets no memory in time is refused as not run")
{
    Fixture fixture;
    FrontendSettings settings = settingsForOneBody();
    settings.memoryWaitTimeout_ = Millis {10};
    setUp(fixture, settings);
    StreamSocket first = connectClient(fixture);
    sendText(first, uploadHead(lengthField) + makeBody('a'));
    const RequestRead firstRead = waitForEvent<RequestRead>(fixture);
    StreamSocket second = connectClient(fixture);
    sendText(second, uploadHead(lengthField));
    const std::string refusal = readToEnd(second);
    CHECK(refusal.starts_with("HTTP/1.1 503 "));
    CHECK(refusal.find("Retry-After: ") != std::string::npos);
    CHECK(refusal.find("\"execution\":\"not_run\"") != std::string::npos);
    CHECK(refusal.find("<reset>") == std::string::npos);
    CHECK(bufferUsage(*fixture.frontend_).refusals_ == 1);
    // The first request is not affected.
    command(fixture, attemptFor(fixture, firstRead, RetryPolicy::AtMostOnce, false));
    StreamSocket upstream = fixture.upstream_.acceptConnection();
    upstream.setReceiveTimeout(receiveTimeout);
    CHECK(receiveBody(upstream, readHead(upstream)) == makeBody('a'));
}

TEST_CASE("memory is free again when its connections have ended")
{
    Fixture fixture;
    setUp(fixture, settingsForOneBody());
    for (int round = 0; round < 3; ++round) {
        Exchange exchange = startExchange(fixture, RetryPolicy::Retryable, false,
                                          uploadHead(lengthField) + makeBody('a'));
        CHECK(bufferUsage(*fixture.frontend_).bytes_ >= bodyBytes);
        exchange.client_.close();
        waitForEvent<ClientDisconnected>(fixture);
        exchange.upstream_.close();
    }
    StreamSocket last = connectClient(fixture);
    sendText(last, uploadHead(lengthField) + makeBody('a'));
    const RequestRead read = waitForEvent<RequestRead>(fixture);
    command(fixture, RespondToClient {read.request_.id_, 404, std::nullopt, "no_route"});
    readHead(last);
    last.close();
    stopFrontend(*fixture.frontend_);
    CHECK(bufferUsage(*fixture.frontend_).bytes_ == 0);
}

} // namespace tamarack
