// What routing decisions use of a client's request.
#include "adapters/relayhttp/internal.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace tamarack::frontend {

namespace {

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

/// Larger counts than any model or account has. Sums of a few of them can't overflow.
constexpr std::int64_t maxTokenCount = 1'000'000'000'000;

/// Parses a number of tokens. A larger number than maxTokenCount counts as that many.
std::optional<Tokens> parseTokens(std::string_view text)
{
    const auto count = parseNumber(text);
    return count ? std::optional(Tokens {std::min(*count, maxTokenCount)}) : std::nullopt;
}

/// Splits at the first separator; the second part is empty if there is none.
std::pair<std::string_view, std::string_view> split(std::string_view text, char separator)
{
    const std::size_t at = text.find(separator);
    if (at == std::string_view::npos)
        return {text, {}};
    return {text.substr(0, at), text.substr(at + 1)};
}

/// Parses the list of prompt parts. A part without a valid number of tokens counts as one of 0
/// tokens: its position says which part is the last one, and it may be quarantined like others.
std::vector<PromptPart> parsePromptParts(std::string_view text)
{
    std::vector<PromptPart> parts;
    while (!text.empty()) {
        const auto [entry, rest] = split(text, ',');
        const auto [id, tokens] = split(entry, ':');
        parts.push_back(PromptPart {std::string(id), parseTokens(tokens).value_or(Tokens {})});
        text = rest;
    }
    return parts;
}

std::optional<PromptUsage> parseUsage(const HttpRequest &request, const HeaderNames &names)
{
    const auto field = findField(request.headers_, names.usage_);
    if (!field)
        return std::nullopt;
    const auto [prompt, output] = split(*field, ',');
    const auto promptTokens = parseTokens(prompt);
    const auto outputTokens = parseTokens(output);
    if (!promptTokens || !outputTokens)
        return std::nullopt;
    PromptUsage usage {*promptTokens, *outputTokens, {}};
    if (const auto parts = findField(request.headers_, names.promptParts_))
        usage.parts_ = parsePromptParts(*parts);
    return usage;
}

std::optional<ResumedStream> parseResumedStream(const HttpRequest &request,
                                                const HeaderNames &names)
{
    if (findField(request.headers_, names.lastEventId_).value_or("").empty())
        return std::nullopt;
    return ResumedStream {
        RequestId {std::string(findField(request.headers_, names.resumes_).value_or(""))}};
}

std::string parseKey(const HttpRequest &request, const HeaderNames &names)
{
    const auto field = findField(request.headers_, "Authorization");
    if (!field)
        return {};
    const auto [scheme, key] = split(*field, ' ');
    return equalsIgnoreCase(scheme, names.authScheme_) ? std::string(key) : std::string();
}

/// Larger than any limit of a route.
constexpr std::int64_t maxAttemptsUsed = 1000;

/// Returns a hash of what an instance is asked to do, whoever asks.
std::uint64_t contentHash(const HttpRequest &request)
{
    return hash64(fmt::format("{} {} {} {:016x}", request.method_, request.host_, request.target_,
                              hash64(request.body_)));
}

} // namespace

std::optional<Millis> clientTimeout(const HttpRequest &request, const HeaderNames &names)
{
    const auto millis = parseNumber(findField(request.headers_, names.deadline_).value_or(""));
    return millis ? std::optional(Millis {*millis}) : std::nullopt;
}

RelayRequest makeRelayRequest(const HttpRequest &request, const ClientExchange &exchange,
                              const HeaderNames &names, bool fromPeer)
{
    RelayRequest relayed;
    relayed.id_ = exchange.id_;
    relayed.request_ = exchange.requestId_;
    relayed.host_ = request.host_;
    relayed.path_ = request.target_;
    relayed.key_ = parseKey(request, names);
    relayed.usage_ = parseUsage(request, names);
    relayed.resumed_ = parseResumedStream(request, names);
    relayed.handedOver_ = fromPeer;
    if (fromPeer) {
        const auto used = findField(request.headers_, names.attemptsUsed_);
        relayed.attemptsUsed_ = static_cast<std::uint32_t>(
            std::min(parseNumber(used.value_or("")).value_or(0), maxAttemptsUsed));
    }
    relayed.bodyBytes_ = request.body_.size();
    relayed.contentHash_ = contentHash(request);
    relayed.arrivedAt_ = exchange.arrivedAt_;
    relayed.clientTimeout_ = exchange.clientTimeout_;
    return relayed;
}

std::string doubledField(const HttpRequest &request, const HeaderNames &names)
{
    for (const std::string &name :
         {names.requestId_, names.deadline_, names.model_, names.usage_, names.promptParts_,
          names.lastEventId_, names.resumes_, std::string("Authorization")}) {
        const auto count = std::count_if(
            request.headers_.begin(), request.headers_.end(),
            [&name](const HeaderField &field) { return equalsIgnoreCase(field.name_, name); });
        if (count > 1)
            return name;
    }
    return {};
}

} // namespace tamarack::frontend
