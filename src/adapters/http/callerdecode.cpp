// Decoding and checking of callers' requests.
#include "adapters/http/callerdecode.h"

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
/// Fields that decide who pays and how often the request may run; a second one is ambiguous.
constexpr std::array singleFields
    = {"Authorization",           "Tamarack-Budget", "Idempotency-Key",
       "Tamarack-Non-Idempotent", "Content-Type",    "Tamarack-Deadline-Ms"};
/// Fields that a plain service may need. Others end at this daemon, hop-by-hop fields among them.
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

bool isVisible(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

bool isText(std::string_view text)
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

std::string fieldFault(const HTTPServerRequest &request)
{
    for (const char *name : singleFields) {
        if (countOf(request, name) > 1)
            return fmt::format("header {} is given twice; send it once", name);
        if (!isText(request.get(name, "")))
            return fmt::format("header {} has other characters than printable ASCII", name);
    }
    for (const char *name : {"Tamarack-Budget", "Idempotency-Key"}) {
        if (request.get(name, "").size() > maxIdBytes || !isVisible(request.get(name, "")))
            return fmt::format("header {} is not {} visible ASCII characters at most", name,
                               maxIdBytes);
    }
    return {};
}

/// Unclear values are refused: to take one for "false" could run a call twice.
std::string readNonIdempotent(const HTTPServerRequest &request, CallerRequest &out)
{
    const std::string value = request.get("Tamarack-Non-Idempotent", "false");
    out.nonIdempotent_ = value == "true";
    if (value != "true" && value != "false")
        return "header Tamarack-Non-Idempotent is neither true nor false";
    return {};
}

std::string readTimeLimit(const HTTPServerRequest &request, CallerRequest &out)
{
    if (!request.has("Tamarack-Deadline-Ms"))
        return {};
    std::int64_t millis = 0;
    if (!parseDecimal(request.get("Tamarack-Deadline-Ms"), millis) || millis < 1
        || Millis {millis} > maxTimeLimit)
        return fmt::format("header Tamarack-Deadline-Ms is not a number from 1 to {}",
                           maxTimeLimit.count());
    out.timeLimit_ = Millis {millis};
    return {};
}

std::string readHeaders(const HTTPServerRequest &request, CallerRequest &out)
{
    std::string fault = fieldFault(request);
    if (fault.empty())
        fault = readNonIdempotent(request, out);
    if (fault.empty())
        fault = readTimeLimit(request, out);
    if (!fault.empty())
        return fault;
    const std::string authorization = request.get("Authorization", "");
    if (authorization.starts_with(bearerPrefix))
        out.keySha256_ = sha256Hex(std::string_view(authorization).substr(bearerPrefix.size()));
    out.budget_ = BudgetId {request.get("Tamarack-Budget", "")};
    out.idempotencyKey_ = request.get("Idempotency-Key", "");
    out.contentType_ = request.get("Content-Type", "");
    out.method_ = request.getMethod();
    return {};
}

/// Reads the body, whose length framingFault() has checked.
std::string readBody(HttpCall &call, std::string &body)
{
    std::uint64_t length = 0;
    if (call.request_.hasContentLength())
        parseDecimal(call.request_.get("Content-Length"), length);
    if (length > call.maxBytes_)
        return fmt::format("the body is larger than {} bytes; shorten it", call.maxBytes_);
    body.resize(length);
    if (length > 0)
        call.request_.stream().read(body.data(), static_cast<std::streamsize>(length));
    if (length > 0 && call.request_.stream().gcount() != static_cast<std::streamsize>(length))
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

/// Decodes the percent-encoded characters that mean the same without encoding, and separators.
std::string withoutNeedlessEncoding(std::string_view path)
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

/// A route decides price and idempotency by the path's prefix, so a path that a service may read as
/// another path is refused.
std::string pathFault(std::string_view target)
{
    if (!isVisible(target) || target.find('#') != std::string_view::npos)
        return "the path has characters that must be percent-encoded";
    const std::string_view path = target.substr(0, target.find('?'));
    if (withoutNeedlessEncoding(path) != path || path.find('\\') != std::string_view::npos)
        return "the path has percent-encoded letters or separators; send them plain";
    for (const std::string_view part : {"/./", "/../", "//"}) {
        if ((std::string(path) + '/').find(part) != std::string::npos && path != "/")
            return "the path has empty or dot segments; send the plain path";
    }
    return {};
}

/// Splits "/services/NAME/rest" into name and path.
std::string readServiceCall(const HttpCall &call, CallerRequest &out)
{
    const std::string rest = call.request_.getURI().substr(servicesPrefix.size());
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    out.kind_ = UpstreamKind::Service;
    out.service_ = ServiceId {rest.substr(0, end)};
    out.path_ = end < rest.size() && rest[end] == '/' ? rest.substr(end) : '/' + rest.substr(end);
    for (const char *name : forwardedFields) {
        const std::string value = call.request_.get(name, "");
        if (!value.empty() && isText(value))
            out.headers_.push_back(HeaderField {name, value});
    }
    const bool known = std::find(serviceMethods.begin(), serviceMethods.end(), out.method_)
        != serviceMethods.end();
    return known ? pathFault(out.path_)
                 : fmt::format("method is not one of {}", fmt::join(serviceMethods, ", "));
}

} // namespace

std::string requestPath(const HttpCall &call)
{
    const std::string &target = call.request_.getURI();
    return target.substr(0, target.find('?'));
}

std::string framingFault(const HTTPServerRequest &request)
{
    if (request.has("Transfer-Encoding"))
        return "the body has a Transfer-Encoding; send it with a Content-Length";
    const std::size_t lengths = countOf(request, "Content-Length");
    std::uint64_t length = 0;
    if (lengths > 1 || (lengths == 1 && !parseDecimal(request.get("Content-Length"), length)))
        return "header Content-Length is not one number";
    return {};
}

std::optional<CallerRequest> decodeRequest(HttpCall &call, const TrafficContext &context)
{
    const std::string path = requestPath(call);
    const bool chat = path == chatPath && call.request_.getMethod() == "POST";
    CallerRequest request;
    std::string fault;
    if (!chat && !path.starts_with(servicesPrefix))
        fault = "no such path and method; use POST /v1/chat/completions, GET /v1/models or "
                "/services/NAME";
    if (fault.empty())
        fault = readHeaders(call.request_, request);
    if (fault.empty())
        fault = readBody(call, request.body_);
    if (fault.empty())
        fault = chat ? readChat(context, call.maxBytes_, request) : readServiceCall(call, request);
    if (fault.empty())
        return request;
    refuseInvalid(call, std::move(fault));
    return std::nullopt;
}

} // namespace tamarack
