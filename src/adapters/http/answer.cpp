// Reading of an upstream's answer from a connection.
#include "adapters/http/answer.h"

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
constexpr int maxInterimAnswers = 8;
/// Seven hexadecimal digits are 256 MB, more than any engine sends in one chunk.
constexpr std::size_t maxChunkDigits = 7;

template <typename Number>
bool parseNumber(const std::string &text, int base, Number &number)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number, base);
    return !text.empty() && result.ec == std::errc() && result.ptr == end;
}

bool isFinalStatus(int status)
{
    return status >= HTTPResponse::HTTP_OK || status == HTTPResponse::HTTP_SWITCHING_PROTOCOLS;
}

std::size_t countOf(const HTTPResponse &response, const std::string &name)
{
    return static_cast<std::size_t>(
        std::count_if(response.begin(), response.end(), [&name](const auto &field) {
            return Poco::icompare(field.first, name) == 0;
        }));
}

/// Decides the framing. An answer with contradicting framing is malformed, because the two ends
/// would disagree on where the next answer begins.
Receipt chooseFraming(const HTTPResponse &response, const std::string &method, BodyState &body)
{
    const std::string transfer = response.get("Transfer-Encoding", "");
    const std::size_t lengths = countOf(response, "Content-Length");
    if (lengths > 1 || (lengths == 1 && !transfer.empty())
        || countOf(response, "Transfer-Encoding") > 1)
        return Receipt::Malformed;
    const int status = response.getStatus();
    if (method == "HEAD" || status == HTTPResponse::HTTP_NO_CONTENT
        || status == HTTPResponse::HTTP_NOT_MODIFIED) {
        body.ended_ = true;
        return Receipt::Data;
    }
    if (!transfer.empty()) {
        body.framing_ = BodyFraming::Chunked;
        return Poco::icompare(transfer, "chunked") == 0 ? Receipt::Data : Receipt::Malformed;
    }
    if (lengths == 0) {
        body.framing_ = BodyFraming::UntilClose;
        return Receipt::Data;
    }
    body.framing_ = BodyFraming::Sized;
    if (!parseNumber(response.get("Content-Length"), 10, body.left_))
        return Receipt::Malformed;
    body.ended_ = body.left_ == 0;
    return Receipt::Data;
}

Receipt readHeadText(Connection &connection, const WaitLimits &limits, std::string &text)
{
    std::string line;
    do {
        const Receipt receipt = readLine(connection, limits, maxHeadBytes, line);
        if (receipt != Receipt::Data)
            return receipt;
        text += line + "\r\n";
        if (text.size() > maxHeadBytes)
            return Receipt::Malformed;
    } while (!line.empty());
    return Receipt::Data;
}

/// Reads the line that starts a chunk; the last chunk ends the body after its trailer.
Receipt startChunk(Connection &connection, const WaitLimits &limits, BodyState &body)
{
    std::string line;
    Receipt receipt = readLine(connection, limits, maxChunkLineBytes, line);
    if (receipt != Receipt::Data)
        return receipt;
    std::string digits = line.substr(0, line.find(';'));
    Poco::trimInPlace(digits);
    if (digits.size() > maxChunkDigits || !parseNumber(digits, 16, body.left_))
        return Receipt::Malformed;
    body.insideChunk_ = true;
    if (body.left_ > 0)
        return Receipt::Data;
    for (int i = 0; i < maxTrailerLines; ++i) {
        receipt = readLine(connection, limits, maxChunkLineBytes, line);
        if (receipt != Receipt::Data)
            return receipt;
        if (line.empty()) {
            body.ended_ = true;
            return Receipt::Data;
        }
    }
    return Receipt::Malformed;
}

Receipt endChunk(Connection &connection, const WaitLimits &limits, BodyState &body)
{
    std::string line;
    const Receipt receipt = readLine(connection, limits, maxChunkLineBytes, line);
    body.insideChunk_ = false;
    if (receipt != Receipt::Data)
        return receipt;
    return line.empty() ? Receipt::Data : Receipt::Malformed;
}

Receipt takeBytes(Connection &connection, const WaitLimits &limits, BodyState &body,
                  std::string &piece)
{
    if (available(connection) == 0) {
        const Receipt receipt = receiveMore(connection, limits);
        if (receipt == Receipt::Closed && body.framing_ == BodyFraming::UntilClose) {
            body.ended_ = true;
            return Receipt::Data;
        }
        if (receipt != Receipt::Data)
            return receipt;
    }
    std::size_t count = available(connection);
    if (body.framing_ != BodyFraming::UntilClose) {
        count = static_cast<std::size_t>(std::min<std::uint64_t>(count, body.left_));
        body.left_ -= count;
    }
    piece = connection.buffer_.substr(connection.position_, count);
    connection.position_ += count;
    return Receipt::Data;
}

Receipt nextChunkBytes(Connection &connection, const WaitLimits &limits, BodyState &body,
                       std::string &piece)
{
    if (body.insideChunk_ && body.left_ == 0) {
        const Receipt receipt = endChunk(connection, limits, body);
        if (receipt != Receipt::Data)
            return receipt;
    }
    if (!body.insideChunk_) {
        const Receipt receipt = startChunk(connection, limits, body);
        if (receipt != Receipt::Data || body.ended_)
            return receipt;
    }
    return takeBytes(connection, limits, body, piece);
}

} // namespace

Receipt readHead(Connection &connection, const WaitLimits &limits, const std::string &method,
                 AnswerHead &head)
{
    for (int i = 0; i < maxInterimAnswers; ++i) {
        std::string text;
        const Receipt receipt = readHeadText(connection, limits, text);
        if (receipt != Receipt::Data)
            return receipt;
        try {
            std::istringstream stream(text);
            head.response_.clear();
            head.response_.read(stream);
        } catch (const Poco::Exception &) {
            return Receipt::Malformed;
        }
        if (isFinalStatus(head.response_.getStatus()))
            return chooseFraming(head.response_, method, head.body_);
    }
    return Receipt::Malformed;
}

Receipt readPiece(Connection &connection, const WaitLimits &limits, BodyState &body,
                  std::string &piece)
{
    piece.clear();
    if (body.ended_)
        return Receipt::Data;
    if (body.framing_ == BodyFraming::Chunked)
        return nextChunkBytes(connection, limits, body, piece);
    const Receipt receipt = takeBytes(connection, limits, body, piece);
    if (body.framing_ == BodyFraming::Sized && body.left_ == 0)
        body.ended_ = true;
    return receipt;
}

} // namespace tamarack
