// HTTP/1.1 messages by Boost.Beast's parser.
#include "adapters/relayhttp/message.h"

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

constexpr std::size_t maxAnswerHeaderBytes = 64U << 10U;
constexpr std::size_t maxAnswerBodyBytes = 64U << 20U;

constexpr int statusBadRequest = 400;
constexpr int statusContentTooLarge = 413;
constexpr int statusHeaderFieldsTooLarge = 431;

using RequestParser = http::request_parser<http::string_body>;
using AnswerParser = http::response_parser<http::string_body>;

std::string text(boost::beast::string_view view)
{
    return std::string(view.data(), view.size());
}

bool isListed(const std::vector<std::string> &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [name](const std::string &listed) { return sameFieldName(listed, name); });
}

/// Fields that concern one connection only (RFC 9110 section 7.6.1), and those of the framing.
std::vector<std::string> connectionFields(const http::fields &fields)
{
    std::vector<std::string> names {
        "Connection",        "Keep-Alive", "Proxy-Connection", "TE",     "Trailer",
        "Transfer-Encoding", "Upgrade",    "Content-Length",   "Expect", "Proxy-Authenticate"};
    const auto range = fields.equal_range(http::field::connection);
    for (auto it = range.first; it != range.second; ++it) {
        for (const auto &token : http::token_list(it->value()))
            names.push_back(text(token));
    }
    return names;
}

std::vector<HeaderField> passedFields(const http::fields &fields)
{
    const std::vector<std::string> dropped = connectionFields(fields);
    std::vector<HeaderField> passed;
    for (const auto &field : fields) {
        std::string name = text(field.name_string());
        if (!isListed(dropped, name))
            passed.push_back(HeaderField {std::move(name), text(field.value())});
    }
    return passed;
}

std::optional<Seconds> keepAliveTime(const http::fields &fields)
{
    const std::string value = text(fields["Keep-Alive"]);
    const std::size_t at = value.find("timeout=");
    if (at == std::string::npos)
        return std::nullopt;
    int seconds = 0;
    const char *begin = value.data() + at + std::string_view("timeout=").size();
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec != std::errc {})
        return std::nullopt;
    return Seconds {seconds};
}

/// Framing that another recipient might read in another way is refused (RFC 9112 section 6.3).
std::string framingProblem(const http::request<http::string_body> &request)
{
    const auto lengths = request.equal_range(http::field::content_length);
    const auto codings = request.equal_range(http::field::transfer_encoding);
    if (std::distance(lengths.first, lengths.second) > 1)
        return "several Content-Length fields; send one";
    if (std::distance(codings.first, codings.second) > 1)
        return "several Transfer-Encoding fields; send one";
    if (codings.first != codings.second) {
        if (lengths.first != lengths.second)
            return "Content-Length beside Transfer-Encoding; send one of them";
        if (!sameFieldName(text(codings.first->value()), "chunked") || request.version() < 11)
            return "unknown Transfer-Encoding; send chunks or a length";
    }
    const auto hosts = request.equal_range(http::field::host);
    if (std::distance(hosts.first, hosts.second) != 1)
        return "not exactly one Host field; send one";
    if (request.target().empty() || request.target().front() != '/')
        return "the target is no absolute path; send one that begins with a slash";
    return {};
}

RequestProgress badRequest(const error_code &error)
{
    RequestProgress progress;
    progress.state_ = ReadState::Bad;
    progress.problem_ = error.message();
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
    bool headSeen_ = false;
};

struct AnswerReaderState
{
    std::optional<AnswerParser> parser_;
    bool skipBody_ = false;
};

bool sameFieldName(std::string_view a, std::string_view b)
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
        if (sameFieldName(field.name_, name))
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

AnswerReader::AnswerReader()
    : state_(std::make_unique<AnswerReaderState>())
{ }
AnswerReader::~AnswerReader() = default;
AnswerReader::AnswerReader(AnswerReader &&) noexcept = default;
AnswerReader &AnswerReader::operator=(AnswerReader &&) noexcept = default;

RequestProgress readRequest(RequestReader &reader, const RequestLimits &limits)
{
    RequestReaderState &state = *reader.state_;
    if (!state.parser_) {
        state.parser_.emplace();
        state.parser_->eager(true);
        state.parser_->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes_));
        state.parser_->body_limit(limits.maxBodyBytes_);
        state.headSeen_ = false;
    }
    RequestProgress progress;
    while (!state.parser_->is_done() && !reader.pending_.empty()) {
        error_code error;
        const std::size_t used = state.parser_->put(
            boost::asio::const_buffer(reader.pending_.data(), reader.pending_.size()), error);
        reader.pending_.erase(0, used);
        if (state.parser_->is_header_done() && !state.headSeen_) {
            state.headSeen_ = true;
            progress.problem_ = framingProblem(state.parser_->get());
            if (!progress.problem_.empty()) {
                progress.state_ = ReadState::Bad;
                progress.status_ = statusBadRequest;
                return progress;
            }
            progress.expectsContinue_ = !state.parser_->is_done()
                && sameFieldName(text(state.parser_->get()[http::field::expect]), "100-continue");
        }
        if (error && error != http::error::need_more)
            return badRequest(error);
        if (error || used == 0)
            break;
    }
    if (state.parser_->is_done())
        progress.state_ = ReadState::Done;
    else if (state.headSeen_)
        progress.state_ = ReadState::HeadDone;
    return progress;
}

HttpRequest takeRequest(RequestReader &reader)
{
    auto &message = reader.state_->parser_->get();
    HttpRequest request;
    request.method_ = text(message.method_string());
    request.target_ = text(message.target());
    request.http10_ = message.version() < 11;
    request.keepAlive_ = message.keep_alive();
    request.host_ = text(message[http::field::host]);
    request.headers_ = passedFields(message.base());
    request.body_ = std::move(message.body());
    reader.state_->parser_.reset();
    return request;
}

void startAnswer(AnswerReader &reader, std::string_view method)
{
    AnswerReaderState &state = *reader.state_;
    state.skipBody_ = method == "HEAD";
    state.parser_.emplace();
    state.parser_->eager(true);
    state.parser_->header_limit(maxAnswerHeaderBytes);
    state.parser_->body_limit(maxAnswerBodyBytes);
    state.parser_->skip(state.skipBody_);
}

ReadState readAnswer(AnswerReader &reader, std::string &bytes)
{
    AnswerReaderState &state = *reader.state_;
    while (!state.parser_->is_done() && !bytes.empty()) {
        error_code error;
        const std::size_t used
            = state.parser_->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
        bytes.erase(0, used);
        if (error && error != http::error::need_more)
            return ReadState::Bad;
        const bool interim
            = state.parser_->is_done() && state.parser_->get().result_int() / 100 == 1;
        if (interim && state.parser_->get().result_int() != 101)
            startAnswer(reader, state.skipBody_ ? "HEAD" : "GET");
        else if (error || used == 0)
            break;
    }
    if (state.parser_->is_done())
        return ReadState::Done;
    return state.parser_->is_header_done() ? ReadState::HeadDone : ReadState::NeedMore;
}

ReadState endAnswer(AnswerReader &reader)
{
    AnswerReaderState &state = *reader.state_;
    if (!state.parser_->is_header_done() || !state.parser_->need_eof())
        return ReadState::Bad;
    error_code error;
    state.parser_->put_eof(error);
    return !error && state.parser_->is_done() ? ReadState::Done : ReadState::Bad;
}

HttpAnswerHead answerHead(const AnswerReader &reader)
{
    const auto &message = reader.state_->parser_->get();
    HttpAnswerHead head;
    head.status_ = static_cast<int>(message.result_int());
    head.reason_ = text(message.reason());
    head.keepAlive_ = message.keep_alive() && !message.need_eof();
    head.keepAliveTime_ = keepAliveTime(message.base());
    head.headers_ = passedFields(message.base());
    return head;
}

std::string takeBody(AnswerReader &reader)
{
    std::string &body = reader.state_->parser_->get().body();
    return std::exchange(body, {});
}

} // namespace tamarack
