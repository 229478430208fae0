// Handles the end of an attempt: completes, retries or fails the request.
#include "core/relay/relayinternal.h"
#include "core/relay/relaystreams.h"
#include "core/relay/relaytakeovers.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace tamarack {

std::string_view attemptEndCode(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Delivered:
        return "delivered";
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::NotExecuted:
        return "not_executed";
    case AttemptEnd::WrongInstance:
        return "wrong_instance";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::Malformed:
        return "malformed";
    case AttemptEnd::ConnectionLost:
        return "cut";
    case AttemptEnd::Superseded:
        return "superseded";
    case AttemptEnd::ClientDisconnected:
        break;
    }
    return "client_left";
}

namespace relaydetail {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusServiceUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

/// Returns true for statuses by which clients conclude that the request has not run and never will.
bool impliesNotExecuted(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

InstanceOutcome outcomeOf(const RelayAttemptEnded &ended)
{
    // A limit of this daemon says nothing about the instance.
    if (ended.connectionsUsed_)
        return InstanceOutcome::Neutral;
    switch (ended.end_) {
    case AttemptEnd::Delivered:
        return InstanceOutcome::Success;
    case AttemptEnd::NotSent:
        return InstanceOutcome::Unreachable;
    case AttemptEnd::NotExecuted:
        return InstanceOutcome::Refused;
    case AttemptEnd::WrongInstance:
        return InstanceOutcome::Replaced;
    case AttemptEnd::Failed:
    case AttemptEnd::Malformed:
    case AttemptEnd::ConnectionLost:
        return InstanceOutcome::Failed;
    case AttemptEnd::Superseded:
    case AttemptEnd::ClientDisconnected:
        break;
    }
    return InstanceOutcome::Neutral;
}

/// Returns true if the upstream has not run the request and never will.
bool provesNotExecuted(AttemptEnd end)
{
    return end == AttemptEnd::NotSent || end == AttemptEnd::NotExecuted
        || end == AttemptEnd::WrongInstance || end == AttemptEnd::Superseded;
}

/// Returns the ids of the prompt parts that other requests may share.
std::string sharedPartNames(const RelayRequest &request)
{
    std::string ids;
    if (!request.usage_)
        return ids;
    for (std::size_t i = 0; i + 1 < request.usage_->parts_.size(); ++i)
        ids += (i > 0 ? "," : "") + request.usage_->parts_[i].id_;
    return ids;
}

bool consumeRetryIfAllowed(RelayState &state, const RelayedRequest &active, MonoTime now)
{
    const RetrySettings settings = retrySettings(state);
    RetryBudget &budget = state.retries_[active.service_];
    if (!isRetryAllowed(budget, settings, now))
        return false;
    consumeRetry(budget);
    return true;
}

/// Returns the reason why the request is not retried, or std::nullopt if it is.
std::optional<std::string> retryDenialReason(RelayState &state, const RelayedRequest &active,
                                             const RelayAttemptEnded &ended, bool mayCrash,
                                             MonoTime now)
{
    const bool notRun = provesNotExecuted(ended.end_);
    const bool outputDelivered = active.events_ > 0 || ended.partiallyDelivered_;
    if (!notRun && active.route_->retryPolicy_ == RetryPolicy::AtMostOnce)
        return "runs_once";
    if (outputDelivered && !active.route_->resumable_)
        return "answer_began";
    if (mayCrash)
        return "may_crash_upstreams";
    // An attempt that did not run doesn't count against the route's maximum, but it allows only one
    // additional attempt.
    const std::uint32_t allowed = active.route_->maxAttempts_ + (notRun ? 1 : 0);
    if (active.attempts_ + active.request_.attemptsUsed_ >= allowed)
        return "attempts_used";
    if (active.deadline_ - now < state.settings_.minRetryTime_)
        return "no_time_left";
    const bool wasSent = ended.end_ != AttemptEnd::NotSent && ended.end_ != AttemptEnd::Superseded;
    if (wasSent && !consumeRetryIfAllowed(state, active, now))
        return "retry_budget";
    return std::nullopt;
}

void recordInstanceOutcome(RelayState &state, RelayedRequest &active, InstanceOutcome outcome,
                           MonoTime now)
{
    if (std::exchange(active.outcomeRecorded_, true))
        return;
    const bool givenUp = outcome == InstanceOutcome::Failed || outcome == InstanceOutcome::Neutral;
    if (givenUp && !active.outputStarted_)
        recordNoOutput(state.choice_, state.settings_.choice_, *active.choice_,
                       now - active.sentAt_, engineObjective(active), now);
    recordEnded(state.choice_, state.settings_.choice_, *active.choice_, outcome,
                active.outputStarted_, now);
}

void retryOnOtherInstance(RelayState &state, RelayedRequest &active, MonoTime now,
                          RelayCommands &out)
{
    active.stage_ = RelayStage::Sent;
    dispatch(state, active, now, out);
}

} // namespace

void failRequest(RelayState &state, RelayedRequest &active, const RelayAttemptEnded &ended,
                 MonoTime now, RelayCommands &out)
{
    const std::string code {attemptEndCode(ended.end_)};
    if (active.events_ > 0 || ended.partiallyDelivered_) {
        out.emplace_back(AbortResponse {active.request_.id_});
        finish(state, active, "cut " + code, now, out);
        return;
    }
    if (!active.mayHaveRun_) {
        refuse(state, active, statusServiceUnavailable, "upstream_" + code, now, out);
        return;
    }
    // A status by which the client would conclude that the request has not run is replaced by 502.
    if (ended.end_ == AttemptEnd::Failed && !impliesNotExecuted(ended.status_)) {
        out.emplace_back(ForwardFailure {active.request_.id_});
        finish(state, active, fmt::format("upstream status {}", ended.status_), now, out);
        return;
    }
    refuse(state, active, statusBadGateway, "upstream_" + code, now, out);
}

std::optional<std::string> resendDenialReason(RelayState &state, const RelayedRequest &active,
                                              MonoTime now)
{
    if (active.route_->retryPolicy_ == RetryPolicy::AtMostOnce)
        return "runs_once";
    if (active.events_ > 0 && !active.route_->resumable_)
        return "answer_began";
    if (active.attemptsUsed_ + active.request_.attemptsUsed_ >= active.route_->maxAttempts_)
        return "attempts_used";
    if (active.deadline_ - now < state.settings_.minRetryTime_)
        return "no_time_left";
    if (!consumeRetryIfAllowed(state, active, now))
        return "retry_budget";
    return std::nullopt;
}

RetrySettings retrySettings(const RelayState &state)
{
    const SharedRetryLimit &limit = state.settings_.retries_;
    const double daemons = std::max(state.fleet_.daemons_, 1U);
    const double extra = limit.extra_ * state.settings_.retryMargin_ / daemons;
    const std::chrono::duration<double> window = limit.window_;
    RetrySettings settings;
    settings.share_ = limit.share_ * state.settings_.retryMargin_;
    // Half of the fixed part is available at once, the other half accrues over the window.
    settings.initial_ = extra / 2;
    // A budget with room for less than one retry would never permit any.
    settings.burst_ = std::max(extra / 2, 1.0);
    settings.idlePerSecond_ = extra / 2 / window.count();
    return settings;
}

void onAttemptEnded(RelayState &state, RelayedRequest &active, const RelayAttemptEnded &ended,
                    MonoTime now, RelayCommands &out)
{
    active.attemptRunning_ = false;
    active.events_ = std::max(active.events_, ended.events_);
    if (active.peer_) {
        onPeerAttemptEnded(state, active, ended, now, out);
        return;
    }
    recordReachability(state, active, ended, now, out);
    recordStreamBegan(state, active, ended.begunBy_, now, out);
    if (!provesNotExecuted(ended.end_)) {
        active.mayHaveRun_ = true;
        ++active.attemptsUsed_;
    }
    recordInstanceOutcome(state, active, outcomeOf(ended), now);
    if (ended.end_ == AttemptEnd::NotExecuted)
        pauseBrittle(state, active.choice_->instance_, now);
    recordAttemptForCold(state, active, ended, now);
    const bool mayCrash = recordAttemptForQuarantine(state, active, ended, now, out);
    if (ended.end_ == AttemptEnd::Delivered) {
        finish(state, active, fmt::format("delivered {}", ended.status_), now, out);
        return;
    }
    if (ended.end_ == AttemptEnd::ClientDisconnected) {
        finish(state, active, "client_left", now, out);
        return;
    }
    const std::optional<std::string> reason
        = retryDenialReason(state, active, ended, mayCrash, now);
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"attempt", std::to_string(ended.attempt_)});
    fields.push_back({"upstream", active.choice_->instance_.value_});
    fields.push_back({"end", std::string(attemptEndCode(ended.end_))});
    fields.push_back({"status", std::to_string(ended.status_)});
    fields.push_back({"detail", ended.detail_});
    if (ended.end_ == AttemptEnd::ConnectionLost && !active.outputStarted_)
        fields.insert(fields.end(),
                      {{"waiting_with_parts", sharedPartNames(active.request_)},
                       {"request_hash", fmt::format("{:016x}", active.identity_.value_)}});
    fields.push_back({"repeat", reason ? "no:" + *reason : "yes"});
    logLine(out, LogLevel::Warning, "request.attempt_failed", std::move(fields));
    // A request that no instance has received may be handed over, also if it is not sent again
    // here.
    const bool handsOver = ended.end_ == AttemptEnd::NotSent && !ended.connectionsUsed_
        && mayBeCutOff(state.reachability_, state.settings_.reachability_, now);
    if (handsOver && handOver(state, active, now, out))
        return;
    if (reason)
        failRequest(state, active, ended, now, out);
    else
        retryOnOtherInstance(state, active, now, out);
}

void giveUpAttempt(RelayState &state, RelayedRequest &active, const std::string &reason,
                   MonoTime now, RelayCommands &out)
{
    active.mayHaveRun_ = true;
    active.outputUnknown_ = active.outputStarted_;
    const bool failed = !active.outputStarted_ && now >= active.deadline_;
    if (active.peer_)
        recordTakeoverEnd(state.takeovers_, state.settings_.takeovers_, *active.peer_,
                          TakeoverOutcome::Unknown, now);
    else
        recordInstanceOutcome(state, active,
                              failed ? InstanceOutcome::Failed : InstanceOutcome::Neutral, now);
    if (active.outputStarted_ || active.events_ > 0) {
        out.emplace_back(AbortResponse {active.request_.id_});
        finish(state, active, "cut " + reason, now, out);
        return;
    }
    refuse(state, active, statusGatewayTimeout, reason, now, out);
}

void onTimer(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    const bool expired = now >= active.deadline_;
    if (active.stage_ == RelayStage::AwaitingOrigin) {
        onOriginTimeout(state, active, now, out);
        return;
    }
    if (active.stage_ == RelayStage::AwaitingTokens) {
        refuse(state, active, statusServiceUnavailable, "budget_unconfirmed", now, out);
        return;
    }
    if (active.stage_ == RelayStage::AwaitingInstance) {
        failWithoutInstance(state, active, "no_upstream", std::nullopt, now, out);
        return;
    }
    if (active.stage_ == RelayStage::AwaitingPermit) {
        if (expired)
            failWithoutInstance(state, active, "no_permit", std::nullopt, now, out);
        else
            onPermitTimeout(state, active, now, out);
        return;
    }
    if (expired) {
        giveUpAttempt(state, active, "timeout", now, out);
        return;
    }
    // The attempt had no output in time. It continues unless a retry is permitted.
    active.stageDeadline_.reset();
    rescheduleTimer(state, active);
    RelayAttemptEnded timedOut;
    timedOut.id_ = active.request_.id_;
    timedOut.attempt_ = active.attempts_;
    timedOut.end_ = AttemptEnd::ConnectionLost;
    timedOut.detail_ = "silent";
    if (!active.outputStarted_ && !retryDenialReason(state, active, timedOut, false, now)) {
        active.mayHaveRun_ = true;
        ++active.attemptsUsed_;
        recordInstanceOutcome(state, active, InstanceOutcome::Failed, now);
        retryOnOtherInstance(state, active, now, out);
    }
}

} // namespace relaydetail

} // namespace tamarack
