// Decodes and validates the requests of callers.
#include "adapters/http/requestdecoder.h"

#include "adapters/crypto/crypto.h"
#include "adapters/json/json.h"

#include <Poco/Exception.h>
#include <Poco/String.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <istream>

namespace tamarack {

namespace {

using Poco::Net::HTTPServerRequest;

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view servicesPrefix = "/services/";
constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr Millis maxTimeLimit {std::chrono::hours {1}};
constexpr std::size_t maxIdBytes = 256;
/// Fields that determine the account to charge and whether a request may be retried. Repeating one
/// of them is ambiguous.
constexpr std::array singletonFields
    = {"Authorization",           "Tamarack-Budget", "Idempotency-Key",
       "Tamarack-Non-Idempotent", "Content-Type",    "Tamarack-Deadline-Ms"};
/// Fields that are forwarded to plain services. All others are dropped, hop-by-hop fields among
/// them.
constexpr std::array forwardedFields
    = {"Accept", "Accept-Encoding", "Accept-Language", "If-Match", "If-None-Match"};
constexpr std::array serviceMethods = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};

std::size_t countOf(const HTTPServerRequest &request, const std::string &name)
{
    return static_cast<std::size_t>(
        std::count_if(request.begin(), request.end(), [&name](const auto &field) {
            return Poco::icompare(field.first, name) == 0;
        }));
}

bool isVisibleAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

bool isPrintableAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= 0x20 && c < 0x7f; });
}

template <typename Number>
bool parseDecimal(const std::string &text, Number &number)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    return !text.empty() && result.ec == std::errc() && result.ptr == end;
}

std::string fieldError(const HTTPServerRequest &request)
{
    for (const char *name : singletonFields) {
        if (countOf(request, name) > 1)
            return fmt::format("header {} occurs more than once; send it once", name);
        if (!isPrintableAscii(request.get(name, "")))
            return fmt::format("header {} contains characters other than printable ASCII", name);
    }
    for (const char *name : {"Tamarack-Budget", "Idempotency-Key"}) {
        if (request.get(name, "").size() > maxIdBytes || !isVisibleAscii(request.get(name, "")))
            return fmt::format("header {} must consist of at most {} visible ASCII characters",
                               name, maxIdBytes);
    }
    return {};
}

/// Rejects any value but "true" and "false": interpreting it as "false" could run a non-idempotent
/// request twice.
std::string readNonIdempotent(const HTTPServerRequest &request, CallerRequest &out)
{
    const std::string value = request.get("Tamarack-Non-Idempotent", "false");
    out.nonIdempotent_ = value == "true";
    if (value != "true" && value != "false")
        return "header Tamarack-Non-Idempotent must be true or false";
    return {};
}

std::string readTimeLimit(const HTTPServerRequest &request, CallerRequest &out)
{
    if (!request.has("Tamarack-Deadline-Ms"))
        return {};
    std::int64_t millis = 0;
    if (!parseDecimal(request.get("Tamarack-Deadline-Ms"), millis) || millis < 1
        || Millis {millis} > maxTimeLimit)
        return fmt::format("header Tamarack-Deadline-Ms must be a number from 1 to {}",
                           maxTimeLimit.count());
    out.timeLimit_ = Millis {millis};
    return {};
}

std::string readHeaders(const HTTPServerRequest &request, CallerRequest &out)
{
    std::string error = fieldError(request);
    if (error.empty())
        error = readNonIdempotent(request, out);
    if (error.empty())
        error = readTimeLimit(request, out);
    if (!error.empty())
        return error;
    const std::string authorization = request.get("Authorization", "");
    if (authorization.starts_with(bearerPrefix))
        out.keySha256_ = sha256Hex(std::string_view(authorization).substr(bearerPrefix.size()));
    out.budget_ = BudgetId {request.get("Tamarack-Budget", "")};
    out.idempotencyKey_ = request.get("Idempotency-Key", "");
    out.contentType_ = request.get("Content-Type", "");
    out.method_ = request.getMethod();
    return {};
}

/// Reads the body. Its Content-Length was checked by framingError().
std::string readBody(HttpExchange &exchange, std::string &body)
{
    std::uint64_t length = 0;
    if (exchange.request_.hasContentLength())
        parseDecimal(exchange.request_.get("Content-Length"), length);
    if (length > exchange.maxBytes_)
        return fmt::format("the body is larger than {} bytes; shorten it", exchange.maxBytes_);
    body.resize(length);
    if (length > 0)
        exchange.request_.stream().read(body.data(), static_cast<std::streamsize>(length));
    if (length > 0 && exchange.request_.stream().gcount() != static_cast<std::streamsize>(length))
        return "the body is shorter than its Content-Length";
    return {};
}

Tokens defaultMaxOutput(const TrafficContext &context)
{
    const std::shared_ptr<const Snapshot> snapshot = context.snapshot_.load();
    return snapshot && snapshot->bundle_ ? snapshot->bundle_->policies_.defaultMaxOutput_
                                         : Policies {}.defaultMaxOutput_;
}

std::string readChat(const TrafficContext &context, std::size_t maxBytes, CallerRequest &out)
{
    ValidationErrors errors;
    ChatRequest chat = parseChatRequest(out.body_, defaultMaxOutput(context), maxBytes, errors);
    if (!errors.empty())
        return formatValidationError(errors.front());
    out.kind_ = UpstreamKind::ModelEngine;
    out.model_ = chat.model_;
    out.path_ = chatPath;
    out.contentType_ = "application/json";
    out.body_ = std::move(chat.upstreamBody_);
    out.stream_ = chat.stream_;
    out.includeUsage_ = chat.includeUsage_;
    out.promptBound_ = chat.promptBound_;
    out.maxOutput_ = chat.maxOutput_;
    return {};
}

/// Decodes percent-encoded unreserved characters, path separators and percent signs.
std::string normalizePercentEncoding(std::string_view path)
{
    std::string plain;
    for (std::size_t i = 0; i < path.size(); ++i) {
        unsigned code = 0;
        const bool encoded = path[i] == '%' && i + 2 < path.size()
            && std::from_chars(path.data() + i + 1, path.data() + i + 3, code, 16).ptr
                == path.data() + i + 3;
        const char c = encoded ? static_cast<char>(code) : path[i];
        const bool unreserved = code < 0x80
            && (std::isalnum(static_cast<int>(code)) != 0
                || std::string_view("-._~/\\%").find(c) != std::string_view::npos);
        if (encoded && unreserved) {
            plain += c;
            i += 2;
        } else {
            plain += path[i];
        }
    }
    return plain;
}

/// A route sets price and idempotency by path prefix, so paths that a service could normalize to
/// another path are rejected.
std::string pathError(std::string_view target)
{
    if (!isVisibleAscii(target) || target.find('#') != std::string_view::npos)
        return "the path contains characters that must be percent-encoded";
    const std::string_view path = target.substr(0, target.find('?'));
    if (normalizePercentEncoding(path) != path || path.find('\\') != std::string_view::npos)
        return "the path contains percent-encoded letters or separators; send them unencoded";
    for (const std::string_view segment : {"/./", "/../", "//"}) {
        if ((std::string(path) + '/').find(segment) != std::string::npos && path != "/")
            return "the path contains empty or dot segments; send the normalized path";
    }
    return {};
}

/// Splits "/services/NAME/rest" into service name and path.
std::string readServiceCall(const HttpExchange &exchange, CallerRequest &out)
{
    const std::string rest = exchange.request_.getURI().substr(servicesPrefix.size());
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    out.kind_ = UpstreamKind::Service;
    out.service_ = ServiceId {rest.substr(0, end)};
    out.path_ = end < rest.size() && rest[end] == '/' ? rest.substr(end) : '/' + rest.substr(end);
    for (const char *name : forwardedFields) {
        const std::string value = exchange.request_.get(name, "");
        if (!value.empty() && isPrintableAscii(value))
            out.headers_.push_back(HeaderField {name, value});
    }
    const bool known = std::find(serviceMethods.begin(), serviceMethods.end(), out.method_)
        != serviceMethods.end();
    return known ? pathError(out.path_)
                 : fmt::format("the method must be one of {}", fmt::join(serviceMethods, ", "));
}

} // namespace

std::string requestPath(const HttpExchange &exchange)
{
    const std::string &target = exchange.request_.getURI();
    return target.substr(0, target.find('?'));
}

std::string framingError(const HTTPServerRequest &request)
{
    if (request.has("Transfer-Encoding"))
        return "the body has a Transfer-Encoding; send it with a Content-Length";
    const std::size_t lengths = countOf(request, "Content-Length");
    std::uint64_t length = 0;
    if (lengths > 1 || (lengths == 1 && !parseDecimal(request.get("Content-Length"), length)))
        return "header Content-Length must be a single number";
    return {};
}

std::optional<CallerRequest> decodeRequest(HttpExchange &exchange, const TrafficContext &context)
{
    const std::string path = requestPath(exchange);
    const bool chat = path == chatPath && exchange.request_.getMethod() == "POST";
    CallerRequest request;
    std::string error;
    if (!chat && !path.starts_with(servicesPrefix))
        error = "no such path and method; use POST /v1/chat/completions, GET /v1/models or "
                "/services/NAME";
    if (error.empty())
        error = readHeaders(exchange.request_, request);
    if (error.empty())
        error = readBody(exchange, request.body_);
    if (error.empty())
        error = chat ? readChat(context, exchange.maxBytes_, request)
                     : readServiceCall(exchange, request);
    if (error.empty())
        return request;
    refuseInvalidRequest(exchange, std::move(error));
    return std::nullopt;
}

} // namespace tamarack
