// Request routing: account limits, upstream selection, queueing for a slot, retry budgets, and
// reports from upstreams.
#include "core/controlinternal.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace tamarack::detail {

namespace {

// The prompt bound is in bytes, and a model token has about four bytes of text.
constexpr std::int64_t bytesPerToken = 4;
constexpr Millis minRetryHint {100};
// A queued request is refused before its deadline only if it has waited for this multiple of the
// remaining time.
constexpr int minWaitedMultiple = 3;

void ensureRouting(ControlState &state)
{
    if (state.routing_.indexed_ == state.bundle_->version_)
        return;
    if (state.routing_.indexed_ == BundleVersion {}) {
        state.routing_.settings_ = state.settings_.routing_;
        state.routing_.settings_.firstSilenceLimit_ = state.settings_.silenceLimit_;
        state.routing_.random_.seed(hash64(state.settings_.holder_.value_));
        state.admission_.settings_ = state.settings_.admission_;
    }
    indexUpstreams(state.routing_, *state.bundle_);
}

RouteTarget targetOf(const AdmissionRequested &params)
{
    const bool engine = params.kind_ == UpstreamKind::ModelEngine;
    return RouteTarget {params.kind_, engine ? params.model_.value_ : params.service_.value_};
}

std::uint32_t clampToUnsigned(std::int64_t value)
{
    constexpr std::int64_t largest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, largest));
}

std::uint32_t promptTokens(const AdmissionRequested &params)
{
    return clampToUnsigned(params.promptBound_.count_ / bytesPerToken);
}

RouteQuery makeQuery(const ControlState &state, const ActiveRequest &request)
{
    RouteQuery query;
    query.kind_ = request.params_.kind_;
    query.model_ = request.params_.model_;
    query.service_ = request.params_.service_;
    query.zone_ = state.settings_.zone_;
    query.tried_ = request.tried_;
    query.adapter_ = request.params_.adapter_;
    query.version_ = request.params_.version_;
    query.softwareVersion_ = request.streamVersion_;
    query.promptTokens_ = promptTokens(request.params_);
    query.promptBlocks_ = request.params_.promptBlocks_;
    query.idempotent_ = request.params_.idempotent_;
    return query;
}

int priorityOf(const ControlState &state, const AccountId &account)
{
    const auto it = state.bundle_->accounts_.find(account);
    return it == state.bundle_->accounts_.end() ? 0 : it->second.priority_;
}

Refusal noUpstreamRefusal(const RouteTarget &target)
{
    const bool engine = target.kind_ == UpstreamKind::ModelEngine;
    return Refusal {
        RefusalReason::NoUpstream, Execution::NotRun,
        fmt::format("no live upstream serves {} {}; retry later or contact the operators",
                    engine ? "model" : "service", target.name_),
        Millis {1000}};
}

Refusal overloadedRefusal(const RouteTarget &target, Millis wait, Millis left)
{
    return Refusal {RefusalReason::Overloaded, Execution::NotRun,
                    fmt::format("requests for {} wait about {} ms and the deadline is in {} ms; "
                                "retry later or use a longer deadline",
                                target.name_, wait.count(), left.count()),
                    std::max(wait - left, minRetryHint)};
}

Millis timeLeft(const ActiveRequest &request, Now now)
{
    return std::chrono::duration_cast<Millis>(request.params_.deadline_ - now.mono_);
}

RouteStep makeRefusedStep(Refusal refusal)
{
    return RouteStep {RouteOutcome::NoUpstream, {}, std::move(refusal)};
}

/// Queues a request unless its response would be too late.
RouteStep waitForSlot(ControlState &state, const AdmissionId &admission,
                      const Prediction &afterwards, Now now)
{
    ActiveRequest &request = state.active_.at(admission);
    AdmissionState &admissions = state.admission_;
    const RouteTarget target = targetOf(request.params_);
    const int priority = priorityOf(state, request.params_.account_);
    const TargetQueue &queue = admissions.queues_[target];
    const std::optional<Millis> queued
        = predictedWait(queue, admissions.settings_, request.params_.account_, priority, now.mono_);
    const Millis left = timeLeft(request, now);
    const auto answer = std::chrono::duration_cast<Millis>(afterwards.firstToken_);
    const Millis wait = queued.value_or(Millis {}) + answer;
    const bool late
        = willMissDeadline(queue, admissions.settings_, queued, answer, left, now.mono_);
    if (late || admissions.deadlines_.size() >= admissions.settings_.maxWaiting_)
        return makeRefusedStep(overloadedRefusal(target, wait, left));
    request.stage_ = RequestStage::AwaitingSlot;
    const auto cost
        = static_cast<double>(std::max<std::int64_t>(request.params_.worstCase_.count_, 1));
    enqueue(admissions, target, request.params_.account_, priority,
            WaitingRequest {admission, now.mono_, request.params_.deadline_, cost}, now.mono_);
    return RouteStep {RouteOutcome::AllFull, {}, {}};
}

/// Returns true if even the best upstream is predicted to miss the deadline. A prediction for an
/// upstream without requests in flight from this daemon may be outdated and does not count.
bool missesDeadline(ControlState &state, const ActiveRequest &request, const RouteChoice &choice,
                    Now now)
{
    const UpstreamState *upstream = findUpstream(state.routing_, choice.upstream_);
    return upstream->inFlight_ > 0
        && choice.prediction_.firstToken_
        > timeLeft(request, now) * state.admission_.settings_.refusalMargin_;
}

void markTargetReady(ControlState &state, const UpstreamId &upstream)
{
    if (state.admission_.deadlines_.empty() || !state.bundle_)
        return;
    const auto it = state.bundle_->upstreams_.find(upstream);
    if (it == state.bundle_->upstreams_.end())
        return;
    if (it->second.kind_ == UpstreamKind::Service)
        state.admission_.readyTargets_.insert(
            RouteTarget {it->second.kind_, it->second.service_.value_});
    for (const ModelId &model : it->second.models_)
        state.admission_.readyTargets_.insert(RouteTarget {it->second.kind_, model.value_});
}

void dispatchTarget(ControlState &state, const RouteTarget &target, Now now, Commands &out)
{
    while (true) {
        const auto queue = state.admission_.queues_.find(target);
        if (queue == state.admission_.queues_.end())
            return;
        const std::optional<NextWaiting> next
            = nextWaiting(queue->second, state.admission_.settings_, now.mono_);
        if (!next)
            return;
        dispatch(state, next->admission_, now, out);
        const auto it = state.active_.find(next->admission_);
        if (it != state.active_.end() && it->second.stage_ == RequestStage::AwaitingSlot)
            return;
    }
}

void refuseExpired(ControlState &state, Now now, Commands &out)
{
    while (const std::optional<AdmissionId> late = nextExpired(state.admission_, now.mono_)) {
        const ActiveRequest &request = state.active_.at(*late);
        refuse(state, *late,
               request.sent_ ? attemptsFailedRefusal(request)
                             : Refusal {RefusalReason::DeadlineExceeded, Execution::NotRun,
                                        "no upstream had capacity before the deadline; retry later "
                                        "or use a longer deadline",
                                        Millis {1000}},
               now, out);
    }
}

} // namespace

std::optional<Refusal> accountLimitRefusal(ControlState &state, const AdmissionRequested &params,
                                           Now now)
{
    const auto it = state.bundle_->accounts_.find(params.account_);
    if (it == state.bundle_->accounts_.end())
        return std::nullopt;
    ensureRouting(state);
    AccountAdmission &account = state.admission_.accounts_[params.account_];
    if (account.inFlight_ >= it->second.maxInFlight_)
        return Refusal {RefusalReason::TooManyRequestsInFlight, Execution::NotRun,
                        fmt::format("client account {} has {} requests in flight, its limit in "
                                    "this daemon; retry when one is answered",
                                    params.account_.value_, account.inFlight_),
                        expectedCompletion(account)};
    const std::optional<Millis> wait = consumeRateLimit(account, state.admission_.settings_,
                                                        it->second.requestsPerSecond_, now.mono_);
    if (!wait)
        return std::nullopt;
    return Refusal {RefusalReason::RateLimited, Execution::NotRun,
                    fmt::format("client account {} exceeds {} requests/s, its limit in this "
                                "daemon; retry after {} ms",
                                params.account_.value_, it->second.requestsPerSecond_,
                                wait->count()),
                    *wait};
}

void trackInFlight(ControlState &state, ActiveRequest &request, Now now)
{
    AccountAdmission &account = state.admission_.accounts_[request.params_.account_];
    request.counted_ = true;
    ++account.inFlight_;
    creditRequest(account.retries_, state.admission_.settings_.accountRetries_, now.mono_);
    creditRequest(state.admission_.retries_, state.admission_.settings_.daemonRetries_, now.mono_);
}

void untrackInFlight(ControlState &state, const AdmissionId &admission, Now now)
{
    ActiveRequest &request = state.active_.at(admission);
    if (request.stage_ == RequestStage::AwaitingSlot)
        removeWaiting(state.admission_, targetOf(request.params_), request.params_.account_,
                      admission, now.mono_);
    if (!std::exchange(request.counted_, false))
        return;
    recordAnswered(state.admission_.accounts_[request.params_.account_],
                   now.mono_ - request.admittedAt_);
}

RouteStep routeOrWait(ControlState &state, const AdmissionId &admission, Now now)
{
    ensureRouting(state);
    const ActiveRequest &request = state.active_.at(admission);
    const RouteTarget target = targetOf(request.params_);
    const bool queued = request.stage_ == RequestStage::AwaitingSlot;
    const auto queue = state.admission_.queues_.find(target);
    if (!queued && queue != state.admission_.queues_.end() && queue->second.size_ > 0) {
        state.admission_.readyTargets_.insert(target);
        return waitForSlot(state, admission, {}, now);
    }
    RouteChoice choice = chooseUpstream(state.routing_, makeQuery(state, request), now.mono_);
    if (choice.outcome_ == RouteOutcome::NoUpstream)
        return makeRefusedStep(noUpstreamRefusal(target));
    if (choice.outcome_ == RouteOutcome::AllFull)
        return queued ? RouteStep {RouteOutcome::AllFull, {}, {}}
                      : waitForSlot(state, admission, choice.prediction_, now);
    if (queued && missesDeadline(state, request, choice, now)) {
        // A request with enough time left waits for a better upstream, for example one that is not
        // frozen.
        const Millis left = timeLeft(request, now);
        if (now.mono_ - request.admittedAt_ < left * minWaitedMultiple)
            return RouteStep {RouteOutcome::AllFull, {}, {}};
        const auto wait = std::chrono::duration_cast<Millis>(choice.prediction_.firstToken_);
        return makeRefusedStep(overloadedRefusal(target, wait, left));
    }
    if (queued)
        dequeueNext(state.admission_, target, NextWaiting {request.params_.account_, admission},
                    now.mono_);
    return RouteStep {RouteOutcome::Chosen, std::move(choice), {}};
}

Millis recordAttemptStart(ControlState &state, ActiveRequest &request, const RouteChoice &choice,
                          Now now)
{
    request.dispatchedAt_ = now.mono_;
    recordDispatch(state.routing_,
                   DispatchRecord {choice.upstream_, request.attempt_, choice.prediction_,
                                   promptTokens(request.params_),
                                   request.params_.reportsFirstToken_},
                   now.mono_);
    const std::int64_t output
        = request.params_.worstCase_.count_ - request.params_.promptBound_.count_;
    const bool whole
        = request.params_.kind_ == UpstreamKind::ModelEngine && !request.params_.stream_;
    return silenceLimit(state.routing_, choice.upstream_, choice.prediction_,
                        whole ? clampToUnsigned(output) : 0, now.mono_);
}

std::vector<LogField> routeLogFields(const RouteChoice &choice)
{
    const Prediction &prediction = choice.prediction_;
    const auto millis = [](PreciseMicros time) {
        return fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(time).count());
    };
    return {{"predicted_ms", millis(prediction.firstToken_)},
            {"wait_ms", millis(prediction.wait_)},
            {"queue", fmt::format("{:.0f}", prediction.outstanding_)},
            {"cache_match", fmt::format("{:.2f}", prediction.cacheMatch_)},
            {"zone", prediction.otherZone_ ? "other" : "own"},
            {"considered", std::to_string(choice.considered_)},
            {"probe", choice.probe_ ? "true" : "false"},
            {"last_resort", choice.lastResort_ ? "true" : "false"}};
}

void recordAttemptResult(ControlState &state, const ActiveRequest &request,
                         const AttemptEnded &event, Now now)
{
    AttemptRecord record;
    record.upstream_ = request.upstream_;
    record.attempt_ = request.attempt_;
    record.result_ = event.result_;
    // The first byte of a response that is not streamed arrives after the last token.
    const bool known = request.params_.stream_ || request.params_.kind_ == UpstreamKind::Service;
    if (known)
        record.firstToken_ = event.timeToFirstByte_;
    record.duration_ = std::chrono::duration_cast<Micros>(now.mono_ - request.dispatchedAt_);
    record.outputTokens_ = event.outputTokens_;
    record.upstreamLeaving_ = event.upstreamLeaving_;
    recordAttemptEnd(state.routing_, record, now.mono_);
    if (event.result_ == AttemptResult::Complete && !request.params_.promptBlocks_.empty()) {
        const auto index = state.routing_.byId_.find(request.upstream_);
        if (index != state.routing_.byId_.end())
            recordCachedPrefix(state.routing_.cache_, index->second, request.params_.promptBlocks_,
                               now.mono_);
    }
    markTargetReady(state, request.upstream_);
}

bool consumeRetryBudgets(ControlState &state, const ActiveRequest &request, AttemptResult result,
                         Now now)
{
    // An attempt that was not sent put no load on an upstream.
    if (result == AttemptResult::NotSent)
        return true;
    AdmissionState &admissions = state.admission_;
    RetryBudget &account = admissions.accounts_[request.params_.account_].retries_;
    const bool permitted = isRetryAllowed(account, admissions.settings_.accountRetries_, now.mono_)
        && isRetryAllowed(admissions.retries_, admissions.settings_.daemonRetries_, now.mono_);
    if (!permitted)
        return false;
    consumeRetry(account);
    consumeRetry(admissions.retries_);
    return true;
}

void dispatchQueued(ControlState &state, Now now, Commands &out)
{
    refuseExpired(state, now, out);
    collectReadyTargets(state.admission_, now.mono_);
    const std::set<RouteTarget> targets = std::exchange(state.admission_.readyTargets_, {});
    for (const RouteTarget &target : targets)
        dispatchTarget(state, target, now, out);
}

void onFirstToken(ControlState &state, const FirstTokenReceived &event, Now now)
{
    const auto it = state.active_.find(event.admission_);
    if (it == state.active_.end() || it->second.attempt_ != event.attempt_)
        return;
    recordFirstToken(state.routing_, it->second.upstream_, event.attempt_, event.after_, now.mono_);
}

void onLoadReport(ControlState &state, const LoadReportReceived &event, Now now)
{
    if (!state.bundle_)
        return;
    ensureRouting(state);
    recordLoadReport(state.routing_, event.report_, now.mono_);
    markTargetReady(state, event.report_.upstream_);
}

void onHealth(ControlState &state, const UpstreamHealthReceived &event, Now now, Commands &out)
{
    if (!state.bundle_)
        return;
    ensureRouting(state);
    const UpstreamState *upstream = findUpstream(state.routing_, event.upstream_);
    if (!upstream)
        return;
    const Availability before = availability(state.routing_, *upstream, now.mono_);
    recordHealth(state.routing_, event.upstream_, event.health_, now.mono_);
    const Availability after = availability(state.routing_, *upstream, now.mono_);
    if (before == after)
        return;
    const bool usable = after != Availability::Excluded && after != Availability::Ejected;
    log(out, usable ? LogLevel::Info : LogLevel::Warning,
        usable ? "upstream.admitted" : "upstream.passed_over",
        {{"upstream", event.upstream_.value_},
         {"leaving", upstream->leaving_ != 0 ? "true" : "false"},
         {"missed_polls", std::to_string(upstream->missedPolls_)}});
    markTargetReady(state, event.upstream_);
}

void onCacheEvents(ControlState &state, const CacheEventsReceived &event, Now now)
{
    if (!state.bundle_)
        return;
    ensureRouting(state);
    const auto index = state.routing_.byId_.find(event.batch_.upstream_);
    if (index != state.routing_.byId_.end())
        applyCacheEvents(state.routing_.cache_, index->second, event.batch_, now.mono_);
}

} // namespace tamarack::detail
