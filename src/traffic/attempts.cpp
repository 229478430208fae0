// Exchanges with upstreams on behalf of one request.
#include "traffic/attempts.h"

#include <fmt/format.h>

#include <algorithm>
#include <exception>

namespace tamarack::detail {

namespace {

/// An engine that cuts a stream again and again is left after this many resumptions.
constexpr std::uint32_t maxResumes = 8;
constexpr Millis cancelLimit {1000};
constexpr int firstErrorStatus = 400;

std::string_view probeCode(ProbeResult probe)
{
    switch (probe) {
    case ProbeResult::NotMade:
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

ExchangeRequest exchangeRequest(const Service &service, const Dispatch &dispatch,
                                std::uint32_t resumes)
{
    const CallerRequest &request = service.request_;
    ExchangeRequest exchange;
    exchange.address_ = dispatch.address_;
    exchange.kind_ = request.kind_;
    exchange.method_ = request.method_;
    exchange.path_ = request.path_;
    exchange.contentType_ = request.contentType_;
    exchange.headers_ = request.headers_;
    exchange.body_ = request.body_;
    exchange.request_ = service.id_;
    exchange.attempt_ = resumes == 0
        ? dispatch.attempt_
        : AttemptId {fmt::format("{}.resume{}", dispatch.attempt_.value_, resumes)};
    exchange.idempotencyKey_ = request.idempotencyKey_;
    exchange.priority_ = service.priority_;
    exchange.idempotent_ = service.idempotent_;
    exchange.stream_ = request.stream_;
    exchange.resumeOffset_ = service.received_;
    exchange.silenceLimit_ = dispatch.silenceLimit_;
    // A stream that has begun is bounded by silence only.
    if (service.received_ == 0)
        exchange.deadline_ = service.deadline_;
    // A call that must not be lost runs to its end even if the caller leaves.
    exchange.callerSocket_ = service.idempotent_ ? service.response_.callerSocket_ : -1;
    return exchange;
}

/// One exchange whose events arrive.
struct EventSource
{
    const Dispatch &dispatch_;
    MonoTime sentAt_;
};

bool takeEvent(Service &service, const EventSource &source, const StreamEvent &event)
{
    ++service.received_;
    if (!event.usageOnly_ && ++service.attemptEvents_ == 1)
        service.context_.events_.post_(FirstTokenReceived {
            source.dispatch_.admission_, source.dispatch_.attempt_,
            std::chrono::ceil<Micros>(std::chrono::steady_clock::now() - source.sentAt_)});
    if (event.usageOnly_ && !service.request_.includeUsage_)
        return true;
    if (!service.response_.sendEvent_(event.data_)) {
        service.callerDisconnected_ = true;
        return false;
    }
    ++service.delivered_;
    return true;
}

ExchangeResult exchangeOnce(Service &service, const Dispatch &dispatch, std::uint32_t resumes)
{
    ExchangeResult result;
    if (service.received_ == 0 && std::chrono::steady_clock::now() >= service.deadline_) {
        result.detail_ = "the caller's deadline passed before the request was sent";
        return result;
    }
    const EventSource source {dispatch, std::chrono::steady_clock::now()};
    try {
        result
            = service.context_.upstreams_.exchange_(exchangeRequest(service, dispatch, resumes),
                                                    [&service, &source](const StreamEvent &event) {
                                                        return takeEvent(service, source, event);
                                                    });
    } catch (const std::exception &error) {
        // Whether a byte was sent is not known, so the request counts as sent.
        result.result_ = AttemptResult::Failed;
        result.detail_ = error.what();
    }
    service.callerDisconnected_ |= result.result_ == AttemptResult::Cancelled;
    if (result.result_ == AttemptResult::Complete && service.received_ > 0 && !result.streamed_) {
        result.result_ = AttemptResult::Failed;
        result.detail_
            = fmt::format("the upstream answered a resumption with status {}", result.status_);
    }
    return result;
}

bool mayResume(const Service &service, const ExchangeResult &result)
{
    // After a silence only an engine that answers a probe is asked again.
    const bool interrupted = result.result_ == AttemptResult::Truncated
        || (result.result_ == AttemptResult::TimedOut && result.probe_ == ProbeResult::Live);
    return interrupted && service.idempotent_ && service.request_.stream_ && service.received_ > 0;
}

Tokens serviceCost(const Service &service, const ExchangeResult &result)
{
    switch (result.result_) {
    case AttemptResult::NotSent:
    case AttemptResult::Rejected:
    case AttemptResult::Failed:
        return Tokens {};
    case AttemptResult::Complete:
        return result.status_ < firstErrorStatus ? service.price_ : Tokens {};
    case AttemptResult::Truncated:
    case AttemptResult::TimedOut:
    case AttemptResult::Cancelled:
        break;
    }
    return service.price_;
}

Tokens engineCost(const Service &service, const ExchangeResult &result)
{
    if (result.usage_)
        return *result.usage_;
    if (service.received_ > 0)
        return service.request_.promptBound_
            + Tokens {static_cast<std::int64_t>(service.received_)};
    const bool answered
        = result.result_ == AttemptResult::Complete && result.status_ < firstErrorStatus;
    return answered ? service.worstCase_ : Tokens {};
}

} // namespace

ExchangeResult runAttempt(Service &service, const Dispatch &dispatch)
{
    service.attemptEvents_ = 0;
    for (std::uint32_t resumes = 0;; ++resumes) {
        const std::uint64_t before = service.received_;
        ExchangeResult result = exchangeOnce(service, dispatch, resumes);
        const bool progress = resumes == 0 || service.received_ > before;
        logExchange(service, dispatch, result);
        if (resumes == maxResumes || !progress || !mayResume(service, result))
            return result;
    }
}

void stopGeneration(const Service &service, const Dispatch &dispatch, ExchangeResult &result)
{
    const bool mayGenerate = result.result_ == AttemptResult::Cancelled
        || result.result_ == AttemptResult::TimedOut || result.resumeRefused_;
    const bool reachable = result.probe_ != ProbeResult::Failed;
    if (!mayGenerate || !reachable || !service.idempotent_
        || service.request_.kind_ != UpstreamKind::ModelEngine)
        return;
    const std::optional<Tokens> usage
        = service.context_.upstreams_.cancel_(dispatch.address_, service.id_, cancelLimit);
    if (usage && !result.resumeRefused_)
        result.usage_ = usage;
}

Tokens costOf(const Service &service, const ExchangeResult &result)
{
    const Tokens cost = service.request_.kind_ == UpstreamKind::Service
        ? serviceCost(service, result)
        : engineCost(service, result);
    return std::min(cost, service.worstCase_);
}

void logExchange(const Service &service, const Dispatch &dispatch, const ExchangeResult &result)
{
    const bool whole = result.result_ == AttemptResult::Complete;
    const bool aboveBound = result.usage_ && *result.usage_ > service.worstCase_;
    if (whole && !aboveBound)
        return;
    std::string name = "exchange.failed";
    if (result.forOtherRequest_)
        name = "exchange.foreign_answer";
    else if (whole)
        name = "exchange.usage_above_bound";
    service.context_.log_.write_(
        LogEvent {LogLevel::Warning,
                  std::move(name),
                  {{"request", service.id_.value_},
                   {"attempt", dispatch.attempt_.value_},
                   {"upstream", dispatch.upstream_.value_},
                   {"result", std::string(attemptResultCode(result.result_))},
                   {"status", std::to_string(result.status_)},
                   {"events", std::to_string(service.received_)},
                   {"usage", result.usage_ ? std::to_string(result.usage_->count_) : "none"},
                   {"probe", std::string(probeCode(result.probe_))},
                   {"detail", result.detail_}}});
}

} // namespace tamarack::detail
