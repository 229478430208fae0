// The head of a request as it is sent to an upstream instance, or to another daemon that takes the
// request over.
#include "adapters/relayhttp/internal.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace tamarack::frontend {

namespace {

/// @param toPeer the request goes to another daemon, which authenticates the client itself
bool isSetByRelay(const HeaderNames &names, std::string_view field, bool toPeer)
{
    if (equalsIgnoreCase(field, "Authorization"))
        return !toPeer;
    const std::array<std::string_view, 5> relayFields {names.account_, names.expectInstance_,
                                                       names.deadline_, names.priority_,
                                                       names.attemptsUsed_};
    const auto same = [field](std::string_view name) {
        return equalsIgnoreCase(name, field);
    };
    return std::any_of(relayFields.begin(), relayFields.end(), same)
        || std::any_of(names.reserved_.begin(), names.reserved_.end(), same);
}

Millis remainingTime(const ClientExchange &exchange, MonoTime now)
{
    Millis remaining = std::chrono::duration_cast<Millis>(exchange.attempt_.deadline_ - now);
    if (exchange.clientTimeout_)
        remaining = std::min(remaining,
                             *exchange.clientTimeout_
                                 - std::chrono::duration_cast<Millis>(now - exchange.arrivedAt_));
    return std::max(remaining, Millis {1});
}

} // namespace

std::string formatRequestHead(const FrontendState &state, const ClientExchange &exchange)
{
    const HeaderNames &names = state.settings_.headers_;
    const HttpRequest &request = exchange.request_;
    const bool resumes = !exchange.lastEventId_.empty();
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.method_, request.target_);
    for (const HeaderField &field : request.headers_) {
        if (isSetByRelay(names, field.name_, exchange.attempt_.toPeer_)
            || (resumes && equalsIgnoreCase(field.name_, names.lastEventId_)))
            continue;
        text += fmt::format("{}: {}\r\n", field.name_, field.value_);
    }
    if (resumes)
        text += fmt::format("{}: {}\r\n", names.lastEventId_, exchange.lastEventId_);
    if (exchange.attempt_.toPeer_)
        text += fmt::format("{}: {}\r\n", names.attemptsUsed_, exchange.attempt_.attemptsUsed_);
    else
        text
            += fmt::format("{}: {}\r\n", names.expectInstance_, exchange.attempt_.instance_.value_);
    // The other daemon finds out where the stream began, as if the client took it up there.
    if (exchange.attempt_.toPeer_ && resumes && !findField(request.headers_, names.resumes_))
        text += fmt::format("{}: {}\r\n", names.resumes_, exchange.requestId_.value_);
    if (!exchange.attempt_.account_.isEmpty())
        text += fmt::format("{}: {}\r\n", names.account_, exchange.attempt_.account_.value_);
    if (exchange.attempt_.priority_)
        text += fmt::format("{}: {}\r\n", names.priority_, *exchange.attempt_.priority_);
    text += fmt::format("{}: {}\r\n", names.deadline_,
                        remainingTime(exchange, std::chrono::steady_clock::now()).count());
    const bool hasBody = !request.body_.empty() || request.method_ == "POST"
        || request.method_ == "PUT" || request.method_ == "PATCH";
    if (hasBody)
        text += fmt::format("Content-Length: {}\r\n", request.body_.size());
    return text + "\r\n";
}

} // namespace tamarack::frontend
