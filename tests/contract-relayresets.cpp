// Upstreams that answer an upload before they have read it, and then reset the connection. Guards
// against a part of a response that is delivered as complete.
#include "relayfrontfixture.h"

namespace tamarack {

namespace {

/// How the connection ends after the response.
enum class Ending {
    ResetAtOnce,
    /// The relay has read the head of the response before.
    ResetLater,
    /// The kernel resets a connection that is closed with unread input.
    ClosedWithUnreadInput,
    /// The end of the connection is sent before the reset.
    EndedThenReset,
    Ended,
};

constexpr std::size_t uploadBytes = std::size_t {4} << 20U;

std::string uploadRequest()
{
    return "POST /a/b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 5000\r\n"
           "Content-Length: "
        + std::to_string(uploadBytes) + "\r\n\r\n" + std::string(uploadBytes, 'u');
}

/// Starts an exchange whose upstream has read only the head of the request. The relay's writes
/// block, because the rest does not fit the buffers of the two sockets.
Exchange startUpload(Fixture &fixture, bool streaming)
{
    fixture.upstream_.setReceiveBufferSize(4096);
    return startExchange(fixture, RetryPolicy::AtMostOnce, streaming, uploadRequest());
}

void endConnection(Fixture &fixture, Exchange &exchange, Ending ending)
{
    switch (ending) {
    case Ending::ResetAtOnce:
        resetConnection(exchange.upstream_);
        return;
    case Ending::ResetLater:
        waitForEvent<OutputStarted>(fixture);
        resetConnection(exchange.upstream_);
        return;
    case Ending::ClosedWithUnreadInput:
        // Without unread input the kernel would end the connection first, in an orderly way.
        REQUIRE(exchange.upstream_.poll(receiveTimeout, Poco::Net::Socket::SELECT_READ));
        exchange.upstream_.close();
        return;
    case Ending::EndedThenReset:
        exchange.upstream_.shutdownSend();
        resetConnection(exchange.upstream_);
        return;
    case Ending::Ended:
        exchange.upstream_.shutdownSend();
        return;
    }
}

/// Returns whether a client takes these bytes for a complete response of status 200.
bool isCompleteSuccess(const std::string &response)
{
    const std::size_t head = response.find("\r\n\r\n");
    if (!response.starts_with("HTTP/1.1 200 ") || head == std::string::npos)
        return false;
    const std::string field = "Content-Length: ";
    const std::size_t length = response.find(field);
    if (length < head)
        return response.size() - head - 4 >= std::stoul(response.substr(length + field.size()));
    return response.ends_with("0\r\n\r\n");
}

/// Reads until the response is complete or the connection ends.
std::string readResponse(StreamSocket &client)
{
    return readUntil(client, [](const std::string &text) {
        return isCompleteSuccess(text)
            || (text.starts_with("HTTP/1.1 502 ") && text.ends_with("}}"));
    });
}

const std::string signedFields = "X-Request-Id: r1\r\nX-Signature: s\r\n";

} // namespace

TEST_CASE("a reset during the upload truncates a response without framing")
{
    // The failed write took the error of the socket, so the read after it returned 0 as on an
    // orderly close, and the client got a Content-Length for the part that had arrived.
    struct Case
    {
        const char *name_;
        std::string response_;
        bool streaming_ = false;
        /// The front end reports that output has started.
        bool hasOutput_ = true;
    };
    const auto test = GENERATE(values<Case>({
        {"body", responseTo("r1", "\r\nok")},
        {"no byte of the body", responseTo("r1", "\r\n")},
        {"body larger than what is held back",
         responseTo("r1", "\r\n") + std::string(300'000, 'x')},
        {"event stream",
         responseTo("r1", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"), true},
        {"failure", "HTTP/1.1 500 E\r\n" + signedFields + "\r\nbroken", false, false},
        {"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + signedFields + "\r\nok"},
        {"Connection: close", responseTo("r1", "Connection: close\r\n\r\nok")},
    }));
    const auto ending
        = GENERATE(Ending::ResetAtOnce, Ending::ResetLater, Ending::ClosedWithUnreadInput);
    if (ending == Ending::ResetLater && !test.hasOutput_)
        return;
    INFO(test.name_ << ", ending " << static_cast<int>(ending));
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startUpload(fixture, test.streaming_);
    sendText(exchange.upstream_, test.response_);
    endConnection(fixture, exchange, ending);
    CHECK(waitForEvent<RelayAttemptEnded>(fixture).end_ == AttemptEnd::ConnectionLost);
    command(fixture, RespondToClient {exchange.attempt_.id_, 502, std::nullopt, "test"});
    const std::string response = readResponse(exchange.client_);
    CHECK(!isCompleteSuccess(response));
    CHECK(response.find("broken") == std::string::npos);
}

TEST_CASE("a response that has ended is not truncated by a reset during the upload")
{
    const std::string closed = responseTo("r1", "Connection: close\r\n\r\nok");
    const std::string sized = responseTo("r1", "Content-Length: 2\r\n\r\nok");
    const std::string chunked
        = responseTo("r1", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    struct Case
    {
        std::string response_;
        Ending ending_;
    };
    const auto test = GENERATE_COPY(values<Case>({
        {closed, Ending::Ended},
        {closed, Ending::EndedThenReset},
        {sized, Ending::Ended},
        {sized, Ending::EndedThenReset},
        {sized, Ending::ResetAtOnce},
        {sized, Ending::ClosedWithUnreadInput},
        {chunked, Ending::Ended},
        {chunked, Ending::EndedThenReset},
        {chunked, Ending::ResetAtOnce},
        {chunked, Ending::ClosedWithUnreadInput},
    }));
    INFO(test.response_ << ", ending " << static_cast<int>(test.ending_));
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startUpload(fixture, false);
    sendText(exchange.upstream_, test.response_);
    endConnection(fixture, exchange, test.ending_);
    CHECK(waitForEvent<RelayAttemptEnded>(fixture).end_ == AttemptEnd::Delivered);
    const std::string response = readResponse(exchange.client_);
    CHECK(isCompleteSuccess(response));
    CHECK(response.ends_with("\r\n\r\nok"));
}

TEST_CASE("a reset during the upload truncates a response whose framing says that more follows")
{
    const auto fields = GENERATE(values<std::string>({
        "Content-Length: 3\r\n\r\nok",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
    }));
    const auto ending = GENERATE(Ending::ResetAtOnce, Ending::ClosedWithUnreadInput,
                                 Ending::EndedThenReset, Ending::Ended);
    INFO(fields << ", ending " << static_cast<int>(ending));
    Fixture fixture;
    setUp(fixture);
    Exchange exchange = startUpload(fixture, false);
    sendText(exchange.upstream_, responseTo("r1", fields));
    endConnection(fixture, exchange, ending);
    CHECK(waitForEvent<RelayAttemptEnded>(fixture).end_ == AttemptEnd::ConnectionLost);
}

} // namespace tamarack
