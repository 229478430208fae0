// Response heads that are not HTTP, behind the front end. Guards against broken responses that
// reach a client as the upstream's answer, and against connections that are used again after one.
#include "invalidfields.h"
#include "relayfrontfixture.h"

namespace tamarack {

namespace {

/// Where the line under test stands in the bytes of the upstream.
enum class Place {
    StatusLine,
    /// Status line of a response before a valid one.
    InterimStatusLine,
    /// Field of a response with a Content-Length.
    Field,
    InterimField,
    TrailerField,
    /// The only field of the head that concerns the body.
    Framing,
    /// The line is a whole head.
    Head,
};

struct Case
{
    std::string line_;
    Place place_;
    /// Delivered, or the reason for which the response is refused.
    AttemptEnd end_;
    /// The next request is sent on the same connection.
    bool isKept_;
    /// What follows the head.
    std::string body_ = "ok";
};

constexpr AttemptEnd refused = AttemptEnd::Malformed;
constexpr AttemptEnd delivered = AttemptEnd::Delivered;

std::string bytesOf(const Case &test)
{
    const std::string sized = "Content-Length: 2\r\n";
    const std::string ids = "X-Request-Id: r1\r\nX-Signature: s\r\n";
    const std::string sound = responseTo("r1", sized + "\r\nok");
    switch (test.place_) {
    case Place::StatusLine:
        return test.line_ + "\r\n" + ids + sized + "\r\n" + test.body_;
    case Place::InterimStatusLine:
        return test.line_ + "\r\n\r\n" + sound;
    case Place::Field:
        return responseTo("r1", sized + test.line_ + "\r\n\r\n" + test.body_);
    case Place::InterimField:
        return "HTTP/1.1 103 Early Hints\r\n" + test.line_ + "\r\n\r\n" + sound;
    case Place::TrailerField:
        return responseTo(
            "r1", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + test.line_ + "\r\n\r\n");
    case Place::Framing:
        return responseTo("r1", test.line_ + "\r\n\r\n" + test.body_);
    case Place::Head:
        break;
    }
    return test.line_ + "\r\n\r\n" + test.body_;
}

/// Returns whether the relay closes its connection to the upstream. A failure to do so ends the
/// wait by its timeout.
bool isClosed(StreamSocket &upstream)
{
    char byte = 0;
    try {
        return upstream.receiveBytes(&byte, 1) == 0;
    } catch (const Poco::TimeoutException &) {
        return false;
    } catch (const Poco::Exception &) {
        return true;
    }
}

/// Returns whether the next request of the client arrives on the same connection.
bool isReused(Fixture &fixture, Exchange &exchange)
{
    sendText(exchange.client_, getRequest);
    command(
        fixture,
        attemptFor(fixture, waitForEvent<RequestRead>(fixture), RetryPolicy::AtMostOnce, false));
    return readHead(exchange.upstream_).starts_with("GET /a/b");
}

void check(const Case &test, const std::string &request = getRequest)
{
    INFO(test.line_ << " at place " << static_cast<int>(test.place_));
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startExchange(fixture, RetryPolicy::AtMostOnce, false, request);
    sendText(exchange.upstream_, bytesOf(test));
    CHECK(waitForEvent<RelayAttemptEnded>(fixture).end_ == test.end_);
    const bool isHead = request.starts_with("HEAD");
    if (test.end_ != delivered) {
        command(fixture, RespondToClient {exchange.attempt_.id_, 502, std::nullopt, "test"});
        CHECK(readHead(exchange.client_).starts_with("HTTP/1.1 502 "));
    } else if (isHead) {
        CHECK(readHead(exchange.client_).starts_with("HTTP/1.1 2"));
    } else {
        const std::string response = readUntil(
            exchange.client_, [](const std::string &text) { return text.ends_with("\r\n\r\nok"); });
        CHECK(response.starts_with("HTTP/1.1 2"));
        CHECK(response.find("Content-Length: 2\r\n") != std::string::npos);
    }
    if (test.isKept_)
        CHECK(isReused(fixture, exchange));
    else
        CHECK(isClosed(exchange.upstream_));
}

} // namespace

TEST_CASE("a status that no response can have is refused")
{
    // Every three-digit status was passed on. One of class 0 before a valid response was awaited as
    // a response of its own until the deadline of the request.
    const auto test = GENERATE(values<Case>({
        {"HTTP/1.1 200 OK", Place::StatusLine, delivered, true},
        {"HTTP/1.1 299 ", Place::StatusLine, delivered, true},
        {"HTTP/1.1 000 ", Place::StatusLine, refused, false},
        {"HTTP/1.1 001 A", Place::StatusLine, refused, false},
        {"HTTP/1.1 099 A", Place::StatusLine, refused, false},
        {"HTTP/1.1 600 A", Place::StatusLine, refused, false},
        {"HTTP/1.1 700 A", Place::StatusLine, refused, false},
        {"HTTP/1.1 999 A", Place::StatusLine, refused, false},
        {"HTTP/1.1 -20 A", Place::StatusLine, refused, false},
        {"HTTP/1.1 +20 A", Place::StatusLine, refused, false},
        {"HTTP/1.1  20 A", Place::StatusLine, refused, false},
        {"HTTP/1.1 20 A", Place::StatusLine, refused, false},
        {"HTTP/1.1 2000 A", Place::StatusLine, refused, false},
        {"HTTP/1.1 2x0 A", Place::StatusLine, refused, false},
        {"HTTP/1.1 100 Continue", Place::InterimStatusLine, delivered, true},
        {"HTTP/1.1 199 A", Place::InterimStatusLine, delivered, true},
        {"HTTP/1.1 000 ", Place::InterimStatusLine, refused, false},
        {"HTTP/1.1 099 A", Place::InterimStatusLine, refused, false},
    }));
    check(test);
}

TEST_CASE("a switch of protocols that was not requested is refused")
{
    // The client got a 101, and waited for the bytes of another protocol.
    const auto test = GENERATE(values<Case>({
        {"HTTP/1.1 101 Switching Protocols", Place::StatusLine, refused, false},
        {"HTTP/1.1 101 Switching Protocols", Place::InterimStatusLine, refused, false},
        {"HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: websocket", Place::StatusLine, refused,
         false},
    }));
    const std::string upgrade
        = "GET /a/b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 5000\r\n"
          "Connection: upgrade\r\nUpgrade: websocket\r\n\r\n";
    // The relay doesn't pass on the request for another protocol.
    check(test, GENERATE_COPY(getRequest, upgrade));
}

TEST_CASE("a head with an invalid field is refused")
{
    const Place place = GENERATE(Place::Field, Place::InterimField, Place::TrailerField);
    const std::string line = GENERATE(from_range(invalidFieldLines()));
    check(Case {line, place, refused, false});
}

TEST_CASE("a valid field is passed on")
{
    check(Case {"X-Name: \tvalue \xe9", Place::Field, delivered, true});
    check(Case {"X-Name:", Place::InterimField, delivered, true});
}

TEST_CASE("a body whose framing is not understood is refused")
{
    // A coding beside a length was passed on as plain bytes. Chunk sizes before another coding
    // reached the client as part of the body.
    const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
    const auto test = GENERATE_COPY(values<Case>({
        {"Content-Length: 2", Place::Framing, delivered, true},
        {"Content-Length: 2, 2", Place::Framing, delivered, true},
        {"Transfer-Encoding: chunked", Place::Framing, delivered, true, chunks},
        {"Transfer-Encoding: Chunked ", Place::Framing, delivered, true, chunks},
        {"Content-Length : 2", Place::Framing, refused, false},
        {"Content-Length: 2\r\nContent-Length: 3", Place::Framing, refused, false},
        {"Content-Length: -2", Place::Framing, refused, false},
        {"Content-Length: ", Place::Framing, refused, false},
        {"Transfer-Encoding : chunked", Place::Framing, refused, false, chunks},
        {"Transfer-Encoding: chunked", Place::Field, refused, false, chunks},
        {"Transfer-Encoding: gzip", Place::Field, refused, false},
        {"Transfer-Encoding: identity", Place::Field, refused, false},
        {"Transfer-Encoding: ", Place::Field, refused, false},
        {"Transfer-Encoding: gzip", Place::Framing, refused, false},
        {"Transfer-Encoding: gzip\r\nContent-Length: 2", Place::Framing, refused, false},
        {"Transfer-Encoding: gzip\r\nContent-Length: 0", Place::Framing, refused, false, ""},
        {"Transfer-Encoding: identity\r\nContent-Length: 2", Place::Framing, refused, false},
        {"Transfer-Encoding: gzip, chunked", Place::Framing, refused, false, chunks},
        {"Transfer-Encoding: chunked, identity", Place::Framing, refused, false, chunks},
        {"Transfer-Encoding: chunked, chunked", Place::Framing, refused, false, chunks},
        {"Transfer-Encoding: chunked;q=1", Place::Framing, refused, false, chunks},
        {"Transfer-Encoding: xchunked", Place::Framing, refused, false, chunks},
        {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", Place::Framing, refused, false,
         chunks},
        {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", Place::Framing, refused, false,
         chunks},
    }));
    check(test);
}

TEST_CASE("a coding of a response without a body is ignored")
{
    // Such a response ends with its head, whatever its fields say (RFC 9112 section 6.3).
    const auto test = GENERATE(values<Case>({
        {"Transfer-Encoding: gzip, chunked", Place::Framing, delivered, true, ""},
        {"Transfer-Encoding: chunked", Place::Framing, delivered, true, ""},
    }));
    check(test, "HEAD" + getRequest.substr(3));
}

TEST_CASE("a chunked response of HTTP/1.0 is refused")
{
    // HTTP/1.0 has no transfer codings, so an intermediary may have framed the body anew.
    check(Case {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nX-Request-Id: r1\r\n"
                "X-Signature: s",
                Place::Head, refused, false, "2\r\nok\r\n0\r\n\r\n"});
}

} // namespace tamarack
