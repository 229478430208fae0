// Incremental parsers for HTTP/1.1 messages, based on Boost.Beast.
#include "adapters/relayhttp/message.h"

#include "core/relay/requestmemory.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace tamarack {

namespace http = boost::beast::http;
using boost::beast::error_code;

namespace {

constexpr std::size_t maxResponseHeaderBytes = 64U << 10U;
/// Interim responses before one response. An upstream in trouble may send them without end.
constexpr std::size_t maxInterimResponses = 16;
constexpr std::size_t maxResponseBodyBytes = 64U << 20U;

/// Maximum length of the size line of a chunk and of a trailer section. The parser consumes them
/// only when they are complete and doesn't limit them.
constexpr std::size_t maxChunkFramingBytes = 16U << 10U;

/// Memory that the parser takes for a field beside its bytes.
constexpr std::size_t parsedFieldBytes = 112;

constexpr int statusSwitchingProtocols = 101;
constexpr int statusBadRequest = 400;
constexpr int statusContentTooLarge = 413;
constexpr int statusHeaderFieldsTooLarge = 431;

using RequestParser = http::request_parser<http::string_body>;
using ResponseParser = http::response_parser<http::string_body>;

std::string toString(boost::beast::string_view view)
{
    return std::string(view.data(), view.size());
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    return text;
}

/// Returns the names of the hop-by-hop fields (RFC 9110 section 7.6.1) and the framing fields, in
/// lower case and sorted: a head may have thousands of both.
std::vector<std::string> hopByHopFields(const http::fields &fields)
{
    std::vector<std::string> names {
        "connection",        "keep-alive", "proxy-connection", "te",     "trailer",
        "transfer-encoding", "upgrade",    "content-length",   "expect", "proxy-authenticate"};
    const auto range = fields.equal_range(http::field::connection);
    for (auto it = range.first; it != range.second; ++it) {
        for (const auto &token : http::token_list(it->value()))
            names.push_back(toLower(toString(token)));
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<HeaderField> endToEndFields(const http::fields &fields)
{
    const std::vector<std::string> dropped = hopByHopFields(fields);
    std::vector<HeaderField> passed;
    for (const auto &field : fields) {
        std::string name = toString(field.name_string());
        if (!std::binary_search(dropped.begin(), dropped.end(), toLower(name)))
            passed.push_back(HeaderField {std::move(name), toString(field.value())});
    }
    return passed;
}

std::optional<Seconds> keepAliveTimeout(const http::fields &fields)
{
    const std::string value = toString(fields["Keep-Alive"]);
    const std::size_t at = value.find("timeout=");
    if (at == std::string::npos)
        return std::nullopt;
    int seconds = 0;
    const char *begin = value.data() + at + std::string_view("timeout=").size();
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec != std::errc {})
        return std::nullopt;
    return Seconds {seconds};
}

/// Validates framing, Host and request target. Framing that another recipient could interpret
/// differently allows request smuggling (RFC 9112 section 6.3).
/// @return what is wrong, or an empty string
std::string requestHeadError(const http::request<http::string_body> &request)
{
    const auto lengths = request.equal_range(http::field::content_length);
    const auto codings = request.equal_range(http::field::transfer_encoding);
    if (std::distance(lengths.first, lengths.second) > 1)
        return "multiple Content-Length fields; send exactly one";
    if (std::distance(codings.first, codings.second) > 1)
        return "multiple Transfer-Encoding fields; send exactly one";
    if (codings.first != codings.second) {
        if (lengths.first != lengths.second)
            return "Content-Length and Transfer-Encoding in one request; send only one of them";
        if (!equalsIgnoreCase(toString(codings.first->value()), "chunked")
            || request.version() < 11)
            return "unsupported Transfer-Encoding; use chunked or Content-Length";
    }
    const auto hosts = request.equal_range(http::field::host);
    if (std::distance(hosts.first, hosts.second) != 1)
        return "the request does not have exactly one Host field";
    if (request.target().empty() || request.target().front() != '/')
        return "the request target is not an absolute path; it must begin with a slash";
    return {};
}

RequestProgress parseFailure(const error_code &error)
{
    RequestProgress progress;
    progress.parseStatus_ = ParseStatus::Invalid;
    progress.error_ = error.message();
    progress.status_ = statusBadRequest;
    if (error == http::error::header_limit)
        progress.status_ = statusHeaderFieldsTooLarge;
    else if (error == http::error::body_limit)
        progress.status_ = statusContentTooLarge;
    return progress;
}

} // namespace

struct RequestReaderState
{
    std::optional<RequestParser> parser_;
    bool headParsed_ = false;
    /// The request as its head says, without the body. The parser adds trailer fields to its own
    /// fields, and a request must be decided on, sent and charged as its head says.
    HttpRequest head_;
    /// Bytes and lines of the head so far.
    std::size_t headBytes_ = 0;
    std::size_t headLines_ = 0;
};

struct ResponseReaderState
{
    std::optional<ResponseParser> parser_;
    /// Set once the head is complete; without trailer fields.
    std::optional<HttpResponseHead> head_;
    bool skipBody_ = false;
    /// Interim responses since the last final one.
    std::size_t interimResponses_ = 0;
    /// Bytes and lines of the head so far.
    std::size_t headBytes_ = 0;
    std::size_t headLines_ = 0;
};

namespace {

void resetParser(ResponseReaderState &state)
{
    state.parser_.emplace();
    state.head_.reset();
    state.headBytes_ = 0;
    state.headLines_ = 0;
    state.parser_->header_limit(maxResponseHeaderBytes);
    state.parser_->body_limit(maxResponseBodyBytes);
    state.parser_->skip(state.skipBody_);
}

HttpRequest headOf(const http::request<http::string_body> &message)
{
    HttpRequest head;
    head.method_ = toString(message.method_string());
    head.target_ = toString(message.target());
    head.http10_ = message.version() < 11;
    head.keepAlive_ = message.keep_alive();
    head.host_ = toString(message[http::field::host]);
    head.headers_ = endToEndFields(message.base());
    return head;
}

/// Returns whether a response may begin with this status. The parser takes any three digits
/// (RFC 9110 section 15). No request asks for a switch of protocols (RFC 9110 section 15.2.2).
bool isPossibleStatus(unsigned status)
{
    return status >= 100 && status <= 599 && status != statusSwitchingProtocols;
}

/// Returns whether a response has no body, whatever its fields say (RFC 9112 section 6.3).
bool isBodiless(unsigned status, bool isHeadResponse)
{
    return isHeadResponse || status / 100 == 1 || status == 204 || status == 304;
}

/// Returns whether the codings of a body are none, or a single chunked one, which the parser
/// removes. HTTP/1.0 has no codings (RFC 9112 section 6.1).
bool areCodingsKnown(const http::response<http::string_body> &message)
{
    const auto codings = message.equal_range(http::field::transfer_encoding);
    if (codings.first == codings.second)
        return true;
    return std::next(codings.first) == codings.second && message.version() >= 11
        && equalsIgnoreCase(toString(codings.first->value()), "chunked");
}

/// Returns whether the parser frames the body of a response as its head says.
bool isHeadAcceptable(const http::response<http::string_body> &message, bool isHeadResponse)
{
    const unsigned status = message.result_int();
    return isPossibleStatus(status)
        && (isBodiless(status, isHeadResponse) || areCodingsKnown(message));
}

HttpResponseHead headOf(const ResponseParser &parser)
{
    const auto &message = parser.get();
    HttpResponseHead head;
    head.status_ = static_cast<int>(message.result_int());
    head.reason_ = toString(message.reason());
    head.keepAlive_ = message.keep_alive() && !message.need_eof();
    head.keepAliveTimeout_ = keepAliveTimeout(message.base());
    const auto length = parser.content_length();
    if (length)
        head.contentLength_ = *length;
    head.headers_ = endToEndFields(message.base());
    return head;
}

} // namespace

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x))
            == std::tolower(static_cast<unsigned char>(y));
    });
}

std::optional<std::string_view> findField(const std::vector<HeaderField> &fields,
                                          std::string_view name)
{
    for (const HeaderField &field : fields) {
        if (equalsIgnoreCase(field.name_, name))
            return field.value_;
    }
    return std::nullopt;
}

RequestReader::RequestReader()
    : state_(std::make_unique<RequestReaderState>())
{ }
RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader &&) noexcept = default;
RequestReader &RequestReader::operator=(RequestReader &&) noexcept = default;

ResponseReader::ResponseReader()
    : state_(std::make_unique<ResponseReaderState>())
{ }
ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader &&) noexcept = default;
ResponseReader &ResponseReader::operator=(ResponseReader &&) noexcept = default;

RequestProgress readRequest(RequestReader &reader, const RequestLimits &limits)
{
    RequestReaderState &state = *reader.state_;
    if (!state.parser_) {
        // Not eager: the parser stops after the head, before it reads a trailer section.
        state.parser_.emplace();
        state.parser_->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes_));
        state.parser_->body_limit(limits.maxBodyBytes_);
        state.headParsed_ = false;
        state.headBytes_ = 0;
        state.headLines_ = 0;
    }
    RequestProgress progress;
    while (!state.parser_->is_done() && !reader.pending_.empty()) {
        error_code error;
        const std::size_t used = state.parser_->put(
            boost::asio::const_buffer(reader.pending_.data(), reader.pending_.size()), error);
        if (!state.headParsed_) {
            const std::size_t end = std::min(reader.pending_.find("\r\n\r\n"), used);
            state.headBytes_ += end;
            state.headLines_ += static_cast<std::size_t>(
                std::count(reader.pending_.begin(),
                           reader.pending_.begin() + static_cast<std::ptrdiff_t>(end), '\n'));
        }
        reader.pending_.erase(0, used);
        if (reader.pending_.empty())
            std::string().swap(reader.pending_);
        if (state.parser_->is_header_done() && !state.headParsed_) {
            state.headParsed_ = true;
            progress.error_ = requestHeadError(state.parser_->get());
            if (!progress.error_.empty()) {
                progress.parseStatus_ = ParseStatus::Invalid;
                progress.status_ = statusBadRequest;
                return progress;
            }
            state.head_ = headOf(state.parser_->get());
            state.parser_->eager(true);
            progress.expectsContinue_ = !state.parser_->is_done()
                && equalsIgnoreCase(toString(state.parser_->get()[http::field::expect]),
                                    "100-continue");
        }
        if (error && error != http::error::need_more)
            return parseFailure(error);
        if (error || used == 0)
            break;
    }
    if (state.headParsed_) {
        const auto length = state.parser_->content_length();
        progress.bodySizeKnown_ = static_cast<bool>(length);
        progress.bodyBytes_
            = length ? static_cast<std::size_t>(*length) : state.parser_->get().body().size();
    }
    if (state.parser_->is_done()) {
        progress.parseStatus_ = ParseStatus::Done;
    } else if (state.headParsed_) {
        progress.parseStatus_ = ParseStatus::HeadDone;
        if (reader.pending_.size() > maxChunkFramingBytes) {
            progress.parseStatus_ = ParseStatus::Invalid;
            progress.status_ = statusBadRequest;
            progress.error_ = "the size line of a chunk or the trailer section is too long; "
                              "shorten it, or send a Content-Length";
        }
    }
    return progress;
}

std::size_t bufferedBytes(const RequestReader &reader)
{
    const RequestReaderState &state = *reader.state_;
    if (!state.parser_)
        return memoryOf(reader.pending_);
    // The parser reserves the announced length of a body at once. Memory is taken as it is filled.
    const std::string &body = state.parser_->get().body();
    const std::size_t bodyBytes = std::min(memoryOf(body), 2 * body.size());
    return memoryOf(reader.pending_) + bodyBytes + state.headBytes_
        + state.headLines_ * parsedFieldBytes + memoryOf(state.head_.headers_);
}

std::size_t memoryOf(const std::vector<HeaderField> &fields)
{
    std::size_t bytes = fields.capacity() * sizeof(HeaderField);
    for (const HeaderField &field : fields)
        bytes += memoryOf(field.name_) + memoryOf(field.value_);
    return bytes;
}

HttpRequest takeRequest(RequestReader &reader)
{
    HttpRequest request = std::exchange(reader.state_->head_, {});
    request.body_ = std::move(reader.state_->parser_->get().body());
    reader.state_->parser_.reset();
    return request;
}

void startResponse(ResponseReader &reader, std::string_view method)
{
    ResponseReaderState &state = *reader.state_;
    state.skipBody_ = method == "HEAD";
    state.interimResponses_ = 0;
    resetParser(state);
}

ParseStatus readResponse(ResponseReader &reader, std::string &bytes)
{
    ResponseReaderState &state = *reader.state_;
    while (!state.parser_->is_done() && !bytes.empty()) {
        error_code error;
        const std::size_t used
            = state.parser_->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
        if (!state.parser_->is_header_done()) {
            state.headBytes_ += used;
            state.headLines_ += static_cast<std::size_t>(
                std::count(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(used), '\n'));
        }
        bytes.erase(0, used);
        if (bytes.empty())
            std::string().swap(bytes);
        if (error && error != http::error::need_more)
            return ParseStatus::Invalid;
        if (state.parser_->is_header_done() && !state.head_) {
            if (!isHeadAcceptable(state.parser_->get(), state.skipBody_))
                return ParseStatus::Invalid;
            state.head_ = headOf(*state.parser_);
            state.parser_->eager(true);
        }
        const bool interim
            = state.parser_->is_done() && state.parser_->get().result_int() / 100 == 1;
        if (interim) {
            if (++state.interimResponses_ > maxInterimResponses)
                return ParseStatus::Invalid;
            resetParser(state);
        } else if (error || used == 0)
            break;
    }
    if (state.parser_->is_done())
        return ParseStatus::Done;
    if (!state.parser_->is_header_done())
        return ParseStatus::NeedMore;
    return bytes.size() > maxChunkFramingBytes ? ParseStatus::Invalid : ParseStatus::HeadDone;
}

ParseStatus endResponse(ResponseReader &reader)
{
    ResponseReaderState &state = *reader.state_;
    if (!state.parser_->is_header_done() || !state.parser_->need_eof())
        return ParseStatus::Invalid;
    error_code error;
    state.parser_->put_eof(error);
    return !error && state.parser_->is_done() ? ParseStatus::Done : ParseStatus::Invalid;
}

HttpResponseHead responseHead(const ResponseReader &reader)
{
    return *reader.state_->head_;
}

std::size_t parsedHeadBytes(const ResponseReader &reader)
{
    const ResponseReaderState &state = *reader.state_;
    if (!state.parser_->is_header_done())
        return state.headBytes_ + state.headLines_ * parsedFieldBytes;
    std::size_t bytes = 0;
    for (const auto &field : state.parser_->get().base())
        bytes += parsedFieldBytes + field.name_string().size() + field.value().size();
    // The reader and the exchange keep a copy each of the end-to-end fields.
    return bytes * 3;
}

std::string takeBody(ResponseReader &reader)
{
    std::string &body = reader.state_->parser_->get().body();
    return std::exchange(body, {});
}

} // namespace tamarack
