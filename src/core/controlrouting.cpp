// Routing and admission of requests: limits of accounts, choice of an upstream, waiting for a slot,
// retries, and reports from upstreams.
#include "core/controlparts.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace tamarack::detail {

namespace {

// A model token has about four bytes of text, and the prompt bound counts bytes.
constexpr std::int64_t bytesPerToken = 4;
constexpr Millis minRetryHint {100};
// A waiting request is given up before its deadline only after this multiple of the time left.
constexpr int spentShare = 3;

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

RouteTarget targetOf(const AdmissionRequested &ask)
{
    const bool engine = ask.kind_ == UpstreamKind::ModelEngine;
    return RouteTarget {ask.kind_, engine ? ask.model_.value_ : ask.service_.value_};
}

std::uint32_t clampToUnsigned(std::int64_t value)
{
    constexpr std::int64_t largest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, largest));
}

std::uint32_t promptTokens(const AdmissionRequested &ask)
{
    return clampToUnsigned(ask.promptBound_.count_ / bytesPerToken);
}

RouteQuery makeQuery(const ControlState &state, const ActiveRequest &request)
{
    RouteQuery query;
    query.kind_ = request.ask_.kind_;
    query.model_ = request.ask_.model_;
    query.service_ = request.ask_.service_;
    query.zone_ = state.settings_.zone_;
    query.tried_ = request.tried_;
    query.adapter_ = request.ask_.adapter_;
    query.version_ = request.ask_.version_;
    query.promptTokens_ = promptTokens(request.ask_);
    query.promptBlocks_ = request.ask_.promptBlocks_;
    query.idempotent_ = request.ask_.idempotent_;
    return query;
}

int priorityOf(const ControlState &state, const AccountId &account)
{
    const auto it = state.bundle_->accounts_.find(account);
    return it == state.bundle_->accounts_.end() ? 0 : it->second.priority_;
}

Refusal noUpstream(const RouteTarget &target)
{
    const bool engine = target.kind_ == UpstreamKind::ModelEngine;
    return Refusal {RefusalReason::NoUpstream, Execution::NotRun,
                    fmt::format("no live upstream serves {} {}; retry later or ask the operators",
                                engine ? "model" : "service", target.name_),
                    Millis {1000}};
}

Refusal overloaded(const RouteTarget &target, Millis wait, Millis left)
{
    return Refusal {RefusalReason::Overloaded, Execution::NotRun,
                    fmt::format("requests for {} wait about {} ms and the deadline is in {} ms; "
                                "retry later or allow more time",
                                target.name_, wait.count(), left.count()),
                    std::max(wait - left, minRetryHint)};
}

Millis timeLeft(const ActiveRequest &request, Now now)
{
    return std::chrono::duration_cast<Millis>(request.ask_.deadline_ - now.mono_);
}

RouteStep refusedStep(Refusal refusal)
{
    return RouteStep {RouteOutcome::NoUpstream, {}, std::move(refusal)};
}

/// Puts a request into the queue unless it would be answered too late.
RouteStep waitForSlot(ControlState &state, const AdmissionId &admission,
                      const Prediction &afterwards, Now now)
{
    ActiveRequest &request = state.active_.at(admission);
    AdmissionState &admissions = state.admission_;
    const RouteTarget target = targetOf(request.ask_);
    const int priority = priorityOf(state, request.ask_.account_);
    const TargetQueue &queue = admissions.queues_[target];
    const std::optional<Millis> queued
        = predictedWait(queue, admissions.settings_, request.ask_.account_, priority, now.mono_);
    const Millis left = timeLeft(request, now);
    const auto answer = std::chrono::duration_cast<Millis>(afterwards.firstToken_);
    const Millis wait = queued.value_or(Millis {}) + answer;
    const bool late
        = willMissDeadline(queue, admissions.settings_, queued, answer, left, now.mono_);
    if (late || admissions.deadlines_.size() >= admissions.settings_.maxWaiting_)
        return refusedStep(overloaded(target, wait, left));
    request.stage_ = RequestStage::AwaitingSlot;
    const auto cost
        = static_cast<double>(std::max<std::int64_t>(request.ask_.worstCase_.count_, 1));
    enqueue(admissions, target, request.ask_.account_, priority,
            WaitingRequest {admission, now.mono_, request.ask_.deadline_, cost}, now.mono_);
    return RouteStep {RouteOutcome::AllFull, {}, {}};
}

/// True if even the best upstream is known to answer too late. Evidence from an upstream without a
/// request of our own may be out of date and does not count.
bool isTooLate(ControlState &state, const ActiveRequest &request, const RouteChoice &choice,
               Now now)
{
    const UpstreamState *upstream = findUpstream(state.routing_, choice.upstream_);
    return upstream->inFlight_ > 0
        && choice.prediction_.firstToken_
        > timeLeft(request, now) * state.admission_.settings_.refusalMargin_;
}

void markDue(ControlState &state, const UpstreamId &upstream)
{
    if (state.admission_.deadlines_.empty() || !state.bundle_)
        return;
    const auto it = state.bundle_->upstreams_.find(upstream);
    if (it == state.bundle_->upstreams_.end())
        return;
    if (it->second.kind_ == UpstreamKind::Service)
        state.admission_.due_.insert(RouteTarget {it->second.kind_, it->second.service_.value_});
    for (const ModelId &model : it->second.models_)
        state.admission_.due_.insert(RouteTarget {it->second.kind_, model.value_});
}

void serveTarget(ControlState &state, const RouteTarget &target, Now now, Commands &out)
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

void refuseLate(ControlState &state, Now now, Commands &out)
{
    while (const std::optional<AdmissionId> late = nextExpired(state.admission_, now.mono_)) {
        const ActiveRequest &request = state.active_.at(*late);
        refuse(state, *late,
               request.sent_
                   ? attemptsFailed(request)
                   : Refusal {RefusalReason::DeadlineExceeded, Execution::NotRun,
                              "no upstream had room before the deadline; retry later or allow more "
                              "time",
                              Millis {1000}},
               now, out);
    }
}

} // namespace

std::optional<Refusal> limitFault(ControlState &state, const AdmissionRequested &ask, Now now)
{
    const auto it = state.bundle_->accounts_.find(ask.account_);
    if (it == state.bundle_->accounts_.end())
        return std::nullopt;
    ensureRouting(state);
    AccountAdmission &account = state.admission_.accounts_[ask.account_];
    if (account.inFlight_ >= it->second.maxInFlight_)
        return Refusal {RefusalReason::TooManyRequestsInFlight, Execution::NotRun,
                        fmt::format("client account {} has {} requests in flight, its limit in "
                                    "this daemon; retry when one is answered",
                                    ask.account_.value_, account.inFlight_),
                        expectedRelease(account)};
    const std::optional<Millis> wait
        = takeRate(account, state.admission_.settings_, it->second.requestsPerSecond_, now.mono_);
    if (!wait)
        return std::nullopt;
    return Refusal {RefusalReason::RateLimited, Execution::NotRun,
                    fmt::format("client account {} exceeds {} requests/s, its limit in this "
                                "daemon; retry after {} ms",
                                ask.account_.value_, it->second.requestsPerSecond_, wait->count()),
                    *wait};
}

void enterAccount(ControlState &state, ActiveRequest &request, Now now)
{
    AccountAdmission &account = state.admission_.accounts_[request.ask_.account_];
    request.counted_ = true;
    ++account.inFlight_;
    creditRequest(account.retries_, state.admission_.settings_.accountRetries_, now.mono_);
    creditRequest(state.admission_.retries_, state.admission_.settings_.daemonRetries_, now.mono_);
}

void leaveAccount(ControlState &state, const AdmissionId &admission, Now now)
{
    ActiveRequest &request = state.active_.at(admission);
    if (request.stage_ == RequestStage::AwaitingSlot)
        removeWaiting(state.admission_, targetOf(request.ask_), request.ask_.account_, admission,
                      now.mono_);
    if (!std::exchange(request.counted_, false))
        return;
    noteAnswered(state.admission_.accounts_[request.ask_.account_],
                 now.mono_ - request.admittedAt_);
}

RouteStep routeOrWait(ControlState &state, const AdmissionId &admission, Now now)
{
    ensureRouting(state);
    const ActiveRequest &request = state.active_.at(admission);
    const RouteTarget target = targetOf(request.ask_);
    const bool queued = request.stage_ == RequestStage::AwaitingSlot;
    const auto queue = state.admission_.queues_.find(target);
    if (!queued && queue != state.admission_.queues_.end() && queue->second.size_ > 0) {
        state.admission_.due_.insert(target);
        return waitForSlot(state, admission, {}, now);
    }
    RouteChoice choice = chooseUpstream(state.routing_, makeQuery(state, request), now.mono_);
    if (choice.outcome_ == RouteOutcome::NoUpstream)
        return refusedStep(noUpstream(target));
    if (choice.outcome_ == RouteOutcome::AllFull)
        return queued ? RouteStep {RouteOutcome::AllFull, {}, {}}
                      : waitForSlot(state, admission, choice.prediction_, now);
    if (queued && isTooLate(state, request, choice, now)) {
        // A request with much time left waits for a better upstream, such as one that is not
        // frozen.
        const Millis left = timeLeft(request, now);
        if (now.mono_ - request.admittedAt_ < left * spentShare)
            return RouteStep {RouteOutcome::AllFull, {}, {}};
        const auto wait = std::chrono::duration_cast<Millis>(choice.prediction_.firstToken_);
        return refusedStep(overloaded(target, wait, left));
    }
    if (queued)
        dequeueNext(state.admission_, target, NextWaiting {request.ask_.account_, admission},
                    now.mono_);
    return RouteStep {RouteOutcome::Chosen, std::move(choice), {}};
}

Millis noteDispatched(ControlState &state, ActiveRequest &request, const RouteChoice &choice,
                      Now now)
{
    request.dispatchedAt_ = now.mono_;
    recordDispatch(state.routing_,
                   DispatchRecord {choice.upstream_, request.attempt_, choice.prediction_,
                                   promptTokens(request.ask_), request.ask_.reportsFirstToken_},
                   now.mono_);
    const std::int64_t output = request.ask_.worstCase_.count_ - request.ask_.promptBound_.count_;
    const bool whole = request.ask_.kind_ == UpstreamKind::ModelEngine && !request.ask_.stream_;
    return silenceLimit(state.routing_, choice.upstream_, choice.prediction_,
                        whole ? clampToUnsigned(output) : 0, now.mono_);
}

std::vector<LogField> routeFields(const RouteChoice &choice)
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

void noteAttemptClosed(ControlState &state, const ActiveRequest &request, const AttemptEnded &event,
                       Now now)
{
    AttemptRecord note;
    note.upstream_ = request.upstream_;
    note.attempt_ = request.attempt_;
    note.result_ = event.result_;
    // The first byte of an answer that is not streamed comes after the last token.
    const bool known = request.ask_.stream_ || request.ask_.kind_ == UpstreamKind::Service;
    if (known)
        note.firstToken_ = event.firstByte_;
    note.duration_ = std::chrono::duration_cast<Micros>(now.mono_ - request.dispatchedAt_);
    note.outputTokens_ = event.outputTokens_;
    note.upstreamLeaving_ = event.upstreamLeaving_;
    recordAttemptEnd(state.routing_, note, now.mono_);
    if (event.result_ == AttemptResult::Complete && !request.ask_.promptBlocks_.empty()) {
        const auto slot = state.routing_.byId_.find(request.upstream_);
        if (slot != state.routing_.byId_.end())
            recordCachedPrefix(state.routing_.cache_, slot->second, request.ask_.promptBlocks_,
                               now.mono_);
    }
    markDue(state, request.upstream_);
}

bool retryPermitted(ControlState &state, const ActiveRequest &request, AttemptResult result,
                    Now now)
{
    // An attempt that was not sent put no load on an upstream.
    if (result == AttemptResult::NotSent)
        return true;
    AdmissionState &admissions = state.admission_;
    RetryBudget &account = admissions.accounts_[request.ask_.account_].retries_;
    const bool permitted = isRetryAllowed(account, admissions.settings_.accountRetries_, now.mono_)
        && isRetryAllowed(admissions.retries_, admissions.settings_.daemonRetries_, now.mono_);
    if (!permitted)
        return false;
    consumeRetry(account);
    consumeRetry(admissions.retries_);
    return true;
}

void serveWaiting(ControlState &state, Now now, Commands &out)
{
    refuseLate(state, now, out);
    planService(state.admission_, now.mono_);
    const std::set<RouteTarget> due = std::exchange(state.admission_.due_, {});
    for (const RouteTarget &target : due)
        serveTarget(state, target, now, out);
}

void onFirstToken(ControlState &state, const FirstTokenReceived &event, Now now)
{
    const auto it = state.active_.find(event.admission_);
    if (it == state.active_.end() || it->second.attempt_ != event.attempt_)
        return;
    recordFirstToken(state.routing_, it->second.upstream_, event.attempt_, event.after_, now.mono_);
}

void onLoad(ControlState &state, const LoadReportReceived &event, Now now)
{
    if (!state.bundle_)
        return;
    ensureRouting(state);
    recordLoadReport(state.routing_, event.report_, now.mono_);
    markDue(state, event.report_.upstream_);
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
    noteHealth(state.routing_, event.upstream_, event.health_, now.mono_);
    const Availability after = availability(state.routing_, *upstream, now.mono_);
    if (before == after)
        return;
    const bool usable = after != Availability::Gone && after != Availability::Ejected;
    log(out, usable ? LogLevel::Info : LogLevel::Warning,
        usable ? "upstream.admitted" : "upstream.passed_over",
        {{"upstream", event.upstream_.value_},
         {"leaving", upstream->leaving_ != 0 ? "true" : "false"},
         {"missed_polls", std::to_string(upstream->missedPolls_)}});
    markDue(state, event.upstream_);
}

void onCacheEvents(ControlState &state, const CacheEventsReceived &event, Now now)
{
    if (!state.bundle_)
        return;
    ensureRouting(state);
    const auto slot = state.routing_.byId_.find(event.batch_.upstream_);
    if (slot != state.routing_.byId_.end())
        applyCacheEvents(state.routing_.cache_, slot->second, event.batch_, now.mono_);
}

} // namespace tamarack::detail
