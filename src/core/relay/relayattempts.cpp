// What follows an attempt: its answer is passed on, the request is repeated, or it fails.
#include "core/relay/relayparts.h"

#include <fmt/format.h>

#include <algorithm>

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

/// Statuses that tell a client that its request has not run and never will.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

InstanceOutcome outcomeOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Delivered:
        return InstanceOutcome::Good;
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
    case AttemptEnd::ClientDisconnected:
        break;
    }
    return InstanceOutcome::Neutral;
}

/// Ends that prove that the upstream neither ran the request nor will.
bool provesNotRun(AttemptEnd end)
{
    return end == AttemptEnd::NotSent || end == AttemptEnd::NotExecuted
        || end == AttemptEnd::WrongInstance;
}

bool takeRetryPermit(RelayState &state, const ActiveRelay &active, MonoTime now)
{
    const RetrySettings settings = retrySettings(state);
    RetryBudget &budget = state.retries_[active.service_];
    if (!isRetryAllowed(budget, settings, now))
        return false;
    consumeRetry(budget);
    return true;
}

/// Returns why the request is not sent again, or nothing if it may be.
std::optional<std::string> objection(RelayState &state, const ActiveRelay &active,
                                     const RelayAttemptEnded &ended, MonoTime now)
{
    const bool notRun = provesNotRun(ended.end_);
    const bool began = active.events_ > 0 || ended.partiallyDelivered_;
    if (!notRun && active.route_->retryPolicy_ == RetryPolicy::AtMostOnce)
        return "runs_once";
    if (began && !active.route_->resumable_)
        return "answer_began";
    // A refusal does not count as one of the route's attempts, but it gets one more chance only.
    const std::uint32_t allowed = active.route_->maxAttempts_ + (notRun ? 1 : 0);
    if (active.attempts_ >= allowed)
        return "attempts_used";
    if (active.deadline_ - now < state.settings_.minRepeatTime_)
        return "no_time_left";
    if (ended.end_ != AttemptEnd::NotSent && !takeRetryPermit(state, active, now))
        return "retry_budget";
    return std::nullopt;
}

void failRequest(RelayState &state, ActiveRelay &active, const RelayAttemptEnded &ended,
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
    // A status that promises "not run" must not reach the client for a request that may have run.
    if (ended.end_ == AttemptEnd::Failed && !promisesNotRun(ended.status_)) {
        out.emplace_back(ForwardFailure {active.request_.id_});
        finish(state, active, fmt::format("upstream status {}", ended.status_), now, out);
        return;
    }
    refuse(state, active, statusBadGateway, "upstream_" + code, now, out);
}

void leaveInstance(RelayState &state, ActiveRelay &active, InstanceOutcome outcome, MonoTime now)
{
    noteEnded(state.choice_, state.settings_.choice_, *active.choice_, outcome,
              active.outputStarted_, now);
}

void repeatElsewhere(RelayState &state, ActiveRelay &active, MonoTime now, RelayCommands &out)
{
    active.stage_ = RelayStage::Sent;
    dispatch(state, active, now, out);
}

} // namespace

RetrySettings retrySettings(const RelayState &state)
{
    const SharedRetryLimit &limit = state.settings_.retries_;
    const double daemons = std::max(state.fleet_.daemons_, 1U);
    const double extra = limit.extra_ * state.settings_.retryMargin_ / daemons;
    const std::chrono::duration<double> window = limit.window_;
    RetrySettings settings;
    settings.share_ = limit.share_ * state.settings_.retryMargin_;
    // Half of the fixed part may be used at once, the other half trickles in over the window.
    settings.initial_ = extra / 2;
    // A budget that can't hold one repeat would never permit any.
    settings.burst_ = std::max(extra / 2, 1.0);
    settings.idlePerSecond_ = extra / 2 / window.count();
    return settings;
}

void onAttemptEnded(RelayState &state, ActiveRelay &active, const RelayAttemptEnded &ended,
                    MonoTime now, RelayCommands &out)
{
    active.events_ = std::max(active.events_, ended.events_);
    if (!provesNotRun(ended.end_))
        active.mayHaveRun_ = true;
    leaveInstance(state, active, outcomeOf(ended.end_), now);
    if (ended.end_ == AttemptEnd::Delivered) {
        finish(state, active, fmt::format("delivered {}", ended.status_), now, out);
        return;
    }
    if (ended.end_ == AttemptEnd::ClientDisconnected) {
        finish(state, active, "client_left", now, out);
        return;
    }
    const std::optional<std::string> reason = objection(state, active, ended, now);
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"attempt", std::to_string(ended.attempt_)});
    fields.push_back({"upstream", active.choice_->instance_.value_});
    fields.push_back({"end", std::string(attemptEndCode(ended.end_))});
    fields.push_back({"status", std::to_string(ended.status_)});
    fields.push_back({"detail", ended.detail_});
    fields.push_back({"repeat", reason ? "no:" + *reason : "yes"});
    logLine(out, LogLevel::Warning, "request.attempt_failed", std::move(fields));
    if (reason)
        failRequest(state, active, ended, now, out);
    else
        repeatElsewhere(state, active, now, out);
}

void onTimer(RelayState &state, ActiveRelay &active, MonoTime now, RelayCommands &out)
{
    const bool expired = now >= active.deadline_;
    if (active.stage_ == RelayStage::AwaitingTokens) {
        refuse(state, active, statusServiceUnavailable, "budget_unconfirmed", now, out);
        return;
    }
    if (active.stage_ == RelayStage::AwaitingInstance) {
        if (active.events_ > 0) {
            out.emplace_back(AbortResponse {active.request_.id_});
            finish(state, active, "cut no_upstream", now, out);
        } else {
            const int status = active.mayHaveRun_ ? statusBadGateway : statusServiceUnavailable;
            refuse(state, active, status, "no_upstream", now, out);
        }
        return;
    }
    if (expired) {
        active.mayHaveRun_ = true;
        active.outputUnknown_ = active.outputStarted_;
        leaveInstance(state, active,
                      active.outputStarted_ ? InstanceOutcome::Neutral : InstanceOutcome::Failed,
                      now);
        if (active.outputStarted_ || active.events_ > 0) {
            out.emplace_back(AbortResponse {active.request_.id_});
            finish(state, active, "cut timeout", now, out);
        } else {
            refuse(state, active, statusGatewayTimeout, "timeout", now, out);
        }
        return;
    }
    // The attempt is silent. It goes on if it may not be repeated.
    active.stageEnd_.reset();
    schedule(state, active);
    RelayAttemptEnded silent;
    silent.id_ = active.request_.id_;
    silent.attempt_ = active.attempts_;
    silent.end_ = AttemptEnd::ConnectionLost;
    silent.detail_ = "silent";
    if (!active.outputStarted_ && !objection(state, active, silent, now)) {
        active.mayHaveRun_ = true;
        leaveInstance(state, active, InstanceOutcome::Failed, now);
        repeatElsewhere(state, active, now, out);
    }
}

} // namespace relaydetail

} // namespace tamarack
