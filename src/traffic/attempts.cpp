// Sends one request to upstreams and resumes interrupted streams.
#include "traffic/attempts.h"

#include <fmt/format.h>

#include <algorithm>
#include <exception>

namespace tamarack::detail {

namespace {

/// Limits the resumptions at one engine, so that an engine that keeps breaking the stream is
/// replaced by another one.
constexpr std::uint32_t maxResumes = 8;
constexpr Millis cancelTimeout {1000};
constexpr int firstErrorStatus = 400;

std::string_view probeCode(ProbeResult probe)
{
    switch (probe) {
    case ProbeResult::NotProbed:
        return "not_made";
    case ProbeResult::Live:
        return "live";
    case ProbeResult::Leaving:
        return "leaving";
    case ProbeResult::Failed:
        break;
    }
    return "failed";
}

ExchangeRequest exchangeRequest(const ServedRequest &served, const Dispatch &dispatch,
                                std::uint32_t resumes)
{
    const CallerRequest &request = served.request_;
    ExchangeRequest exchange;
    exchange.address_ = dispatch.address_;
    exchange.kind_ = request.kind_;
    exchange.method_ = request.method_;
    exchange.path_ = request.path_;
    exchange.contentType_ = request.contentType_;
    exchange.headers_ = request.headers_;
    exchange.body_ = request.body_;
    exchange.request_ = served.id_;
    exchange.attempt_ = resumes == 0
        ? dispatch.attempt_
        : AttemptId {fmt::format("{}.resume{}", dispatch.attempt_.value_, resumes)};
    exchange.idempotencyKey_ = request.idempotencyKey_;
    exchange.priority_ = served.priority_;
    exchange.idempotent_ = served.idempotent_;
    exchange.stream_ = request.stream_;
    exchange.resumeOffset_ = served.received_;
    exchange.silenceLimit_ = dispatch.silenceLimit_;
    // Once a stream has started, only the silence limit applies.
    if (served.received_ == 0)
        exchange.deadline_ = served.deadline_;
    // A non-idempotent call can't be repeated, so it completes even if the caller disconnects.
    exchange.callerSocket_ = served.idempotent_ ? served.response_.callerSocket_ : -1;
    return exchange;
}

/// The dispatch that stream events belong to, and when its request was sent.
struct SentAttempt
{
    const Dispatch &dispatch_;
    MonoTime sentAt_;
};

bool deliverEvent(ServedRequest &served, const SentAttempt &sentAttempt, const StreamEvent &event)
{
    ++served.received_;
    if (!event.usageOnly_ && ++served.attemptEvents_ == 1)
        served.context_.events_.post_(FirstTokenReceived {
            sentAttempt.dispatch_.admission_, sentAttempt.dispatch_.attempt_,
            std::chrono::ceil<Micros>(std::chrono::steady_clock::now() - sentAttempt.sentAt_)});
    if (event.usageOnly_ && !served.request_.includeUsage_)
        return true;
    if (!served.response_.sendEvent_(event.data_)) {
        served.callerDisconnected_ = true;
        return false;
    }
    ++served.delivered_;
    return true;
}

ExchangeResult exchangeOnce(ServedRequest &served, const Dispatch &dispatch, std::uint32_t resumes)
{
    ExchangeResult result;
    if (served.received_ == 0 && std::chrono::steady_clock::now() >= served.deadline_) {
        result.detail_ = "the caller's deadline passed before the request was sent";
        return result;
    }
    const SentAttempt sentAttempt {dispatch, std::chrono::steady_clock::now()};
    try {
        result = served.context_.upstreams_.exchange_(
            exchangeRequest(served, dispatch, resumes),
            [&served, &sentAttempt](const StreamEvent &event) {
                return deliverEvent(served, sentAttempt, event);
            });
    } catch (const std::exception &error) {
        // Part of the request may have been sent, so it counts as sent.
        result.result_ = AttemptResult::Failed;
        result.detail_ = error.what();
    }
    served.callerDisconnected_ |= result.result_ == AttemptResult::Cancelled;
    if (result.result_ == AttemptResult::Complete && served.received_ > 0 && !result.streamed_) {
        result.result_ = AttemptResult::Failed;
        result.detail_ = fmt::format("the upstream responded to a stream resumption with status {}",
                                     result.status_);
    }
    return result;
}

bool mayResume(const ServedRequest &served, const ExchangeResult &result)
{
    // After a silent period, a stream is resumed only if the engine passed the health probe.
    const bool interrupted = result.result_ == AttemptResult::Truncated
        || (result.result_ == AttemptResult::TimedOut && result.probe_ == ProbeResult::Live);
    return interrupted && served.idempotent_ && served.request_.stream_ && served.received_ > 0;
}

Tokens serviceCost(const ServedRequest &served, const ExchangeResult &result)
{
    switch (result.result_) {
    case AttemptResult::NotSent:
    case AttemptResult::Rejected:
        return Tokens {};
    case AttemptResult::Failed:
        // A malformed response is charged like one that was lost.
        return result.malformed_ ? served.price_ : Tokens {};
    case AttemptResult::Complete:
        return result.status_ < firstErrorStatus ? served.price_ : Tokens {};
    case AttemptResult::Truncated:
    case AttemptResult::TimedOut:
    case AttemptResult::Cancelled:
        break;
    }
    return served.price_;
}

Tokens engineCost(const ServedRequest &served, const ExchangeResult &result)
{
    if (result.usage_)
        return *result.usage_;
    if (served.received_ > 0)
        return served.request_.promptBound_ + Tokens {static_cast<std::int64_t>(served.received_)};
    const bool succeeded
        = result.result_ == AttemptResult::Complete && result.status_ < firstErrorStatus;
    return succeeded ? served.worstCase_ : Tokens {};
}

} // namespace

ExchangeResult runAttempt(ServedRequest &served, const Dispatch &dispatch)
{
    served.attemptEvents_ = 0;
    for (std::uint32_t resumes = 0;; ++resumes) {
        const std::uint64_t before = served.received_;
        ExchangeResult result = exchangeOnce(served, dispatch, resumes);
        const bool progress = resumes == 0 || served.received_ > before;
        logExchangeProblem(served, dispatch, result);
        if (resumes == maxResumes || !progress || !mayResume(served, result))
            return result;
    }
}

void stopGeneration(const ServedRequest &served, const Dispatch &dispatch, ExchangeResult &result)
{
    const bool mayGenerate = result.result_ == AttemptResult::Cancelled
        || result.result_ == AttemptResult::TimedOut || result.resumeRefused_;
    const bool reachable = result.probe_ != ProbeResult::Failed;
    if (!mayGenerate || !reachable || !served.idempotent_
        || served.request_.kind_ != UpstreamKind::ModelEngine)
        return;
    const std::optional<Tokens> usage
        = served.context_.upstreams_.cancel_(dispatch.address_, served.id_, cancelTimeout);
    if (usage && !result.resumeRefused_)
        result.usage_ = usage;
}

Tokens costOf(const ServedRequest &served, const ExchangeResult &result)
{
    const Tokens cost = served.request_.kind_ == UpstreamKind::Service ? serviceCost(served, result)
                                                                       : engineCost(served, result);
    return std::min(cost, served.worstCase_);
}

void logExchangeProblem(const ServedRequest &served, const Dispatch &dispatch,
                        const ExchangeResult &result)
{
    const bool complete = result.result_ == AttemptResult::Complete;
    const bool aboveBound = result.usage_ && *result.usage_ > served.worstCase_;
    if (complete && !aboveBound)
        return;
    std::string name = "exchange.failed";
    if (result.forOtherRequest_)
        name = "exchange.foreign_answer";
    else if (complete)
        name = "exchange.usage_above_bound";
    served.context_.log_.write_(
        LogEvent {LogLevel::Warning,
                  std::move(name),
                  {{"request", served.id_.value_},
                   {"attempt", dispatch.attempt_.value_},
                   {"upstream", dispatch.upstream_.value_},
                   {"result", std::string(attemptResultCode(result.result_))},
                   {"status", std::to_string(result.status_)},
                   {"events", std::to_string(served.received_)},
                   {"usage", result.usage_ ? std::to_string(result.usage_->count_) : "none"},
                   {"probe", std::string(probeCode(result.probe_))},
                   {"detail", result.detail_}}});
}

} // namespace tamarack::detail
