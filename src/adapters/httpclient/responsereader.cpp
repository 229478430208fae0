// Reads a server's response from a connection.
#include "adapters/httpclient/responsereader.h"

#include "adapters/httpclient/headsyntax.h"

#include <Poco/Exception.h>
#include <Poco/String.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace tamarack {

namespace {

using Poco::Net::HTTPResponse;

constexpr std::size_t maxHeadBytes = 64U << 10U;
constexpr std::size_t maxChunkLineBytes = 1024;
constexpr int maxTrailerLines = 64;
constexpr int maxInterimResponses = 8;
/// Seven hexadecimal digits allow chunks of up to 256 MiB, more than any engine sends.
constexpr std::size_t maxChunkDigits = 7;

template <typename Number>
bool parseNumber(const std::string &text, int base, Number &number)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number, base);
    return !text.empty() && result.ec == std::errc() && result.ptr == end;
}

std::size_t countOf(const HTTPResponse &response, const std::string &name)
{
    return static_cast<std::size_t>(
        std::count_if(response.begin(), response.end(), [&name](const auto &field) {
            return Poco::icompare(field.first, name) == 0;
        }));
}

/// Determines the framing of the body. A response with contradictory framing is malformed, because
/// sender and receiver could disagree on where the next response begins.
IoStatus determineFraming(const HTTPResponse &response, int status, const std::string &method,
                          BodyProgress &body)
{
    const std::size_t lengths = countOf(response, "Content-Length");
    const std::size_t codings = countOf(response, "Transfer-Encoding");
    if (lengths + codings > 1)
        return IoStatus::Malformed;
    if (method == "HEAD" || status == HTTPResponse::HTTP_NO_CONTENT
        || status == HTTPResponse::HTTP_NOT_MODIFIED) {
        body.complete_ = true;
        return IoStatus::Ok;
    }
    if (codings == 1) {
        body.framing_ = BodyFraming::Chunked;
        // HTTP/1.0 has no transfer codings (RFC 9112 section 6.1).
        const bool isChunked = response.getVersion() != HTTPResponse::HTTP_1_0
            && Poco::icompare(response.get("Transfer-Encoding"), "chunked") == 0;
        return isChunked ? IoStatus::Ok : IoStatus::Malformed;
    }
    if (lengths == 0) {
        body.framing_ = BodyFraming::UntilClose;
        return IoStatus::Ok;
    }
    body.framing_ = BodyFraming::ContentLength;
    if (!parseNumber(response.get("Content-Length"), 10, body.remaining_))
        return IoStatus::Malformed;
    body.complete_ = body.remaining_ == 0;
    return IoStatus::Ok;
}

/// Reads a head and checks its syntax. POCO's parser keeps any byte in the name of a field, skips
/// lines without a colon, and takes the end of its input for the end of the head.
IoStatus readHeadText(Connection &connection, const ReadLimits &limits, int &responseStatus,
                      std::string &text)
{
    std::string line;
    IoStatus status = readLine(connection, limits, maxHeadBytes, line);
    if (status != IoStatus::Ok)
        return status;
    const std::optional<int> parsed = parseStatusLine(line);
    if (!parsed)
        return IoStatus::Malformed;
    responseStatus = *parsed;
    text = line + "\r\n";
    bool hasField = false;
    do {
        status = readLine(connection, limits, maxHeadBytes, line);
        if (status != IoStatus::Ok)
            return status;
        if (!line.empty() && !isFieldLine(line) && !(hasField && isFoldedLine(line)))
            return IoStatus::Malformed;
        hasField = true;
        text += line + "\r\n";
        if (text.size() > maxHeadBytes)
            return IoStatus::Malformed;
    } while (!line.empty());
    return IoStatus::Ok;
}

/// Reads the header line of a chunk. After the last chunk it also reads the trailer, which ends the
/// body.
IoStatus readChunkHeader(Connection &connection, const ReadLimits &limits, BodyProgress &body)
{
    std::string line;
    IoStatus status = readLine(connection, limits, maxChunkLineBytes, line);
    if (status != IoStatus::Ok)
        return status;
    std::string digits = line.substr(0, line.find(';'));
    Poco::trimInPlace(digits);
    if (digits.size() > maxChunkDigits || !parseNumber(digits, 16, body.remaining_))
        return IoStatus::Malformed;
    body.insideChunk_ = true;
    if (body.remaining_ > 0)
        return IoStatus::Ok;
    for (int i = 0; i < maxTrailerLines; ++i) {
        status = readLine(connection, limits, maxChunkLineBytes, line);
        if (status != IoStatus::Ok)
            return status;
        if (line.empty()) {
            body.complete_ = true;
            return IoStatus::Ok;
        }
        if (!isFieldLine(line) && !isFoldedLine(line))
            return IoStatus::Malformed;
    }
    return IoStatus::Malformed;
}

IoStatus readChunkEnd(Connection &connection, const ReadLimits &limits, BodyProgress &body)
{
    std::string line;
    const IoStatus status = readLine(connection, limits, maxChunkLineBytes, line);
    body.insideChunk_ = false;
    if (status != IoStatus::Ok)
        return status;
    return line.empty() ? IoStatus::Ok : IoStatus::Malformed;
}

IoStatus consumeBytes(Connection &connection, const ReadLimits &limits, BodyProgress &body,
                      std::string &bytes)
{
    if (availableBytes(connection) == 0) {
        const IoStatus status = receiveMore(connection, limits);
        if (status == IoStatus::Closed && body.framing_ == BodyFraming::UntilClose) {
            body.complete_ = true;
            return IoStatus::Ok;
        }
        if (status != IoStatus::Ok)
            return status;
    }
    std::size_t count = availableBytes(connection);
    if (body.framing_ != BodyFraming::UntilClose) {
        count = static_cast<std::size_t>(std::min<std::uint64_t>(count, body.remaining_));
        body.remaining_ -= count;
    }
    bytes = connection.buffer_.substr(connection.readPosition_, count);
    connection.readPosition_ += count;
    return IoStatus::Ok;
}

IoStatus readChunkBytes(Connection &connection, const ReadLimits &limits, BodyProgress &body,
                        std::string &bytes)
{
    if (body.insideChunk_ && body.remaining_ == 0) {
        const IoStatus status = readChunkEnd(connection, limits, body);
        if (status != IoStatus::Ok)
            return status;
    }
    if (!body.insideChunk_) {
        const IoStatus status = readChunkHeader(connection, limits, body);
        if (status != IoStatus::Ok || body.complete_)
            return status;
    }
    return consumeBytes(connection, limits, body, bytes);
}

} // namespace

IoStatus readHead(Connection &connection, const ReadLimits &limits, const std::string &method,
                  ReceivedHead &head)
{
    for (int i = 0; i < maxInterimResponses; ++i) {
        std::string text;
        const IoStatus status = readHeadText(connection, limits, head.status_, text);
        if (status != IoStatus::Ok)
            return status;
        try {
            std::istringstream stream(text);
            head.response_.clear();
            head.response_.read(stream);
        } catch (const Poco::Exception &) {
            return IoStatus::Malformed;
        }
        // No request asks for a switch of protocols (RFC 9110 section 15.2.2).
        if (head.status_ == HTTPResponse::HTTP_SWITCHING_PROTOCOLS)
            return IoStatus::Malformed;
        if (head.status_ >= HTTPResponse::HTTP_OK)
            return determineFraming(head.response_, head.status_, method, head.body_);
    }
    return IoStatus::Malformed;
}

IoStatus readBodyBytes(Connection &connection, const ReadLimits &limits, BodyProgress &body,
                       std::string &bytes)
{
    bytes.clear();
    if (body.complete_)
        return IoStatus::Ok;
    if (body.framing_ == BodyFraming::Chunked)
        return readChunkBytes(connection, limits, body, bytes);
    const IoStatus status = consumeBytes(connection, limits, body, bytes);
    if (body.framing_ == BodyFraming::ContentLength && body.remaining_ == 0)
        body.complete_ = true;
    return status;
}

IoStatus readWholeResponse(Connection &connection, const ReadLimits &limits,
                           const std::string &method, std::size_t maxBytes, WholeResponse &response)
{
    ReceivedHead head;
    IoStatus status = readHead(connection, limits, method, head);
    std::string bytes;
    while (status == IoStatus::Ok && !head.body_.complete_) {
        status = readBodyBytes(connection, limits, head.body_, bytes);
        response.body_ += bytes;
        if (response.body_.size() > maxBytes)
            return IoStatus::Malformed;
    }
    response.status_ = head.status_;
    response.head_ = head.response_;
    response.framing_ = head.body_.framing_;
    return status;
}

} // namespace tamarack
