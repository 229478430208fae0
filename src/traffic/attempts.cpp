// Exchanges with upstreams on behalf of one request.
#include "traffic/attempts.h"

#include <fmt/format.h>

#include <algorithm>
#include <exception>

namespace tamarack::detail {

namespace {

/// An engine that cuts a stream again and again is left after this many resumptions.
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

ExchangeRequest exchangeRequest(const ActiveRequest &active, const Dispatch &dispatch,
                                std::uint32_t resumes)
{
    const CallerRequest &request = active.request_;
    ExchangeRequest exchange;
    exchange.address_ = dispatch.address_;
    exchange.kind_ = request.kind_;
    exchange.method_ = request.method_;
    exchange.path_ = request.path_;
    exchange.contentType_ = request.contentType_;
    exchange.headers_ = request.headers_;
    exchange.body_ = request.body_;
    exchange.request_ = active.id_;
    exchange.attempt_ = resumes == 0
        ? dispatch.attempt_
        : AttemptId {fmt::format("{}.resume{}", dispatch.attempt_.value_, resumes)};
    exchange.idempotencyKey_ = request.idempotencyKey_;
    exchange.priority_ = active.priority_;
    exchange.idempotent_ = active.idempotent_;
    exchange.stream_ = request.stream_;
    exchange.resumeOffset_ = active.received_;
    exchange.silenceLimit_ = dispatch.silenceLimit_;
    // A stream that has begun is bounded by silence only.
    if (active.received_ == 0)
        exchange.deadline_ = active.deadline_;
    // A call that must not be lost runs to its end even if the caller leaves.
    exchange.callerSocket_ = active.idempotent_ ? active.response_.callerSocket_ : -1;
    return exchange;
}

/// One exchange whose events arrive.
struct SentAttempt
{
    const Dispatch &dispatch_;
    MonoTime sentAt_;
};

bool deliverEvent(ActiveRequest &active, const SentAttempt &sentAttempt, const StreamEvent &event)
{
    ++active.received_;
    if (!event.usageOnly_ && ++active.attemptEvents_ == 1)
        active.context_.events_.post_(FirstTokenReceived {
            sentAttempt.dispatch_.admission_, sentAttempt.dispatch_.attempt_,
            std::chrono::ceil<Micros>(std::chrono::steady_clock::now() - sentAttempt.sentAt_)});
    if (event.usageOnly_ && !active.request_.wantsUsage_)
        return true;
    if (!active.response_.sendEvent_(event.data_)) {
        active.callerGone_ = true;
        return false;
    }
    ++active.delivered_;
    return true;
}

ExchangeResult exchangeOnce(ActiveRequest &active, const Dispatch &dispatch, std::uint32_t resumes)
{
    ExchangeResult result;
    if (active.received_ == 0 && std::chrono::steady_clock::now() >= active.deadline_) {
        result.detail_ = "the caller's deadline passed before the request was sent";
        return result;
    }
    const SentAttempt sentAttempt {dispatch, std::chrono::steady_clock::now()};
    try {
        result = active.context_.upstreams_.exchange_(
            exchangeRequest(active, dispatch, resumes),
            [&active, &sentAttempt](const StreamEvent &event) {
                return deliverEvent(active, sentAttempt, event);
            });
    } catch (const std::exception &error) {
        // Whether a byte was sent is not known, so the request counts as sent.
        result.result_ = AttemptResult::Failed;
        result.detail_ = error.what();
    }
    active.callerGone_ |= result.result_ == AttemptResult::Cancelled;
    if (result.result_ == AttemptResult::Whole && active.received_ > 0 && !result.streamed_) {
        result.result_ = AttemptResult::Failed;
        result.detail_
            = fmt::format("the upstream answered a resumption with status {}", result.status_);
    }
    return result;
}

bool mayResume(const ActiveRequest &active, const ExchangeResult &result)
{
    // After a silence only an engine that answers a probe is asked again.
    const bool interrupted = result.result_ == AttemptResult::Cut
        || (result.result_ == AttemptResult::TimedOut && result.probe_ == ProbeResult::Live);
    return interrupted && active.idempotent_ && active.request_.stream_ && active.received_ > 0;
}

Tokens serviceCost(const ActiveRequest &active, const ExchangeResult &result)
{
    switch (result.result_) {
    case AttemptResult::NotSent:
    case AttemptResult::Rejected:
    case AttemptResult::Failed:
        return Tokens {};
    case AttemptResult::Whole:
        return result.status_ < firstErrorStatus ? active.price_ : Tokens {};
    case AttemptResult::Cut:
    case AttemptResult::TimedOut:
    case AttemptResult::Cancelled:
        break;
    }
    return active.price_;
}

Tokens engineCost(const ActiveRequest &active, const ExchangeResult &result)
{
    if (result.usage_)
        return *result.usage_;
    if (active.received_ > 0)
        return active.request_.promptBound_ + Tokens {static_cast<std::int64_t>(active.received_)};
    const bool answered
        = result.result_ == AttemptResult::Whole && result.status_ < firstErrorStatus;
    return answered ? active.worstCase_ : Tokens {};
}

} // namespace

ExchangeResult runAttempt(ActiveRequest &active, const Dispatch &dispatch)
{
    active.attemptEvents_ = 0;
    for (std::uint32_t resumes = 0;; ++resumes) {
        const std::uint64_t before = active.received_;
        ExchangeResult result = exchangeOnce(active, dispatch, resumes);
        const bool progress = resumes == 0 || active.received_ > before;
        logExchangeProblem(active, dispatch, result);
        if (resumes == maxResumes || !progress || !mayResume(active, result))
            return result;
    }
}

void stopGeneration(const ActiveRequest &active, const Dispatch &dispatch, ExchangeResult &result)
{
    const bool mayGenerate = result.result_ == AttemptResult::Cancelled
        || result.result_ == AttemptResult::TimedOut || result.resumeRefused_;
    const bool reachable = result.probe_ != ProbeResult::Failed;
    if (!mayGenerate || !reachable || !active.idempotent_
        || active.request_.kind_ != UpstreamKind::ModelEngine)
        return;
    const std::optional<Tokens> usage
        = active.context_.upstreams_.cancel_(dispatch.address_, active.id_, cancelTimeout);
    if (usage && !result.resumeRefused_)
        result.usage_ = usage;
}

Tokens costOf(const ActiveRequest &active, const ExchangeResult &result)
{
    const Tokens cost = active.request_.kind_ == UpstreamKind::Service ? serviceCost(active, result)
                                                                       : engineCost(active, result);
    return std::min(cost, active.worstCase_);
}

void logExchangeProblem(const ActiveRequest &active, const Dispatch &dispatch,
                        const ExchangeResult &result)
{
    const bool whole = result.result_ == AttemptResult::Whole;
    const bool aboveBound = result.usage_ && *result.usage_ > active.worstCase_;
    if (whole && !aboveBound)
        return;
    std::string name = "exchange.failed";
    if (result.foreign_)
        name = "exchange.foreign_answer";
    else if (whole)
        name = "exchange.usage_above_bound";
    active.context_.log_.write_(
        LogEvent {LogLevel::Warning,
                  std::move(name),
                  {{"request", active.id_.value_},
                   {"attempt", dispatch.attempt_.value_},
                   {"upstream", dispatch.upstream_.value_},
                   {"result", std::string(attemptResultCode(result.result_))},
                   {"status", std::to_string(result.status_)},
                   {"events", std::to_string(active.received_)},
                   {"usage", result.usage_ ? std::to_string(result.usage_->count_) : "none"},
                   {"probe", std::string(probeCode(result.probe_))},
                   {"detail", result.detail_}}});
}

} // namespace tamarack::detail
