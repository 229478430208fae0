// Keeps requests with quarantined prompt parts away from instances, and reports crashes.
#include "core/relay/relayinternal.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack::relaydetail {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusServiceUnavailable = 503;

InstanceProcess crashId(const RelayedRequest &active)
{
    return InstanceProcess {active.choice_->instance_, active.instanceStartedAt_};
}

/// Returns true if the instance itself ended the attempt, so that it was running.
bool isResponse(AttemptEnd end)
{
    return end == AttemptEnd::Delivered || end == AttemptEnd::Failed
        || end == AttemptEnd::NotExecuted;
}

/// Returns true if the request had output for too short a time to show that its instance survives
/// it.
bool hadNoLastingOutput(const RelayState &state, const RelayedRequest &active, MonoTime now)
{
    return !active.outputStarted_ || !active.firstOutputAt_
        || now - *active.firstOutputAt_ < state.settings_.quarantine_.minOutputTime_;
}

void refuseQuarantined(RelayState &state, RelayedRequest &active, const QuarantineCheck &check,
                       MonoTime now, RelayCommands &out)
{
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"account", active.account_.value_});
    fields.push_back({"part", check.part_});
    fields.push_back({"remaining_ms", std::to_string(check.remaining_.count())});
    logLine(out, LogLevel::Warning, "request.quarantined", std::move(fields));
    const std::string reason = "prompt_part_quarantined";
    if (active.events_ > 0) {
        out.emplace_back(AbortResponse {active.request_.id_});
        finish(state, active, "cut " + reason, now, out);
        return;
    }
    // The true time, although clients may not wait that long: an earlier retry would be in vain.
    const int status = active.mayHaveRun_ ? statusBadGateway : statusServiceUnavailable;
    const std::optional<Millis> retryAfter
        = active.mayHaveRun_ ? std::nullopt : std::optional(check.remaining_);
    out.emplace_back(
        RespondToClient {active.request_.id_, status, retryAfter, reason, active.urgency_});
    finish(state, active, fmt::format("{} {}", status, reason), now, out);
}

/// Ends the requests that would crash their instances when they begin to write.
void cancelQuarantined(RelayState &state, MonoTime now, RelayCommands &out)
{
    std::vector<ExchangeId> waiting;
    for (const auto &[id, active] : state.active_) {
        if (active.stage_ == RelayStage::Sent && !active.outputStarted_ && !active.isTrial_)
            waiting.push_back(id);
    }
    for (const ExchangeId id : waiting) {
        RelayedRequest &active = state.active_.at(id);
        const QuarantineCheck check
            = checkQuarantine(state.quarantine_, state.settings_.quarantine_, active.request_, now);
        if (check.decision_ != QuarantineDecision::Refuse)
            continue;
        active.mayHaveRun_ = true;
        recordEnded(state.choice_, state.settings_.choice_, *active.choice_,
                    InstanceOutcome::Neutral, false, now);
        refuseQuarantined(state, active, check, now, out);
    }
}

} // namespace

bool refuseIfQuarantined(RelayState &state, RelayedRequest &active, MonoTime now,
                         RelayCommands &out)
{
    if (active.isTrial_)
        return false;
    const QuarantineCheck check
        = checkQuarantine(state.quarantine_, state.settings_.quarantine_, active.request_, now);
    active.isTrial_ = check.decision_ == QuarantineDecision::Trial;
    if (active.isTrial_) {
        std::vector<LogField> fields = requestFields(active);
        fields.push_back({"part", check.part_});
        logLine(out, LogLevel::Info, "quarantine.trial", std::move(fields));
    }
    if (check.decision_ != QuarantineDecision::Refuse)
        return false;
    refuseQuarantined(state, active, check, now, out);
    return true;
}

void recordOutputForQuarantine(RelayState &state, const RelayedRequest &active, MonoTime now,
                               RelayCommands &out)
{
    if (recordSurvival(state.quarantine_, state.settings_.quarantine_, crashId(active),
                       active.sentAt_, now))
        logLine(out, LogLevel::Info, "quarantine.crash_refuted",
                {{"upstream", active.choice_->instance_.value_},
                 {"request", active.request_.request_.value_}});
}

bool recordAttemptForQuarantine(RelayState &state, const RelayedRequest &active,
                                const RelayAttemptEnded &ended, MonoTime now, RelayCommands &out)
{
    const QuarantineSettings &settings = state.settings_.quarantine_;
    if (isResponse(ended.end_))
        recordOutputForQuarantine(state, active, now, out);
    const bool lastingOutput = !hadNoLastingOutput(state, active, now);
    if (ended.end_ == AttemptEnd::Delivered || lastingOutput)
        recordResponse(state.quarantine_, settings, active.request_, now);
    if (ended.end_ != AttemptEnd::ConnectionLost || lastingOutput)
        return false;
    const std::vector<PromptPartId> suspects
        = recordCrash(state.quarantine_, settings, crashId(active), active.choice_->address_,
                      active.request_, now);
    return isRepeatedSuspect(state.quarantine_, suspects);
}

void runQuarantine(RelayState &state, MonoTime now, RelayCommands &out)
{
    const QuarantineSettings &settings = state.settings_.quarantine_;
    std::set<PromptPartId> effective;
    for (const auto &[part, verdict] : state.quarantine_.verdicts_) {
        if (now >= verdict.since_ + settings.objectionTime_)
            effective.insert(part);
    }
    if (effective != state.quarantinedParts_) {
        for (const PromptPartId part : effective) {
            if (state.quarantinedParts_.contains(part))
                continue;
            const auto left = state.quarantine_.verdicts_.at(part).until_ - now;
            logLine(out, LogLevel::Warning, "quarantine.begun",
                    {{"part_hash", fmt::format("{:016x}", part.value_)},
                     {"crashes", std::to_string(crashCount(state.quarantine_, part))},
                     {"remaining_ms",
                      std::to_string(std::chrono::duration_cast<Millis>(left).count())}});
        }
        for (const PromptPartId part : state.quarantinedParts_) {
            if (!effective.contains(part))
                logLine(out, LogLevel::Info, "quarantine.ended",
                        {{"part_hash", fmt::format("{:016x}", part.value_)}});
        }
        state.quarantinedParts_ = std::move(effective);
        cancelQuarantined(state, now, out);
    }
    for (OutgoingReport &due : dueReports(state.quarantine_, settings, now))
        out.emplace_back(SendPeer {due.peer_.host_, due.peer_.address_, std::move(due.report_)});
}

std::optional<MonoTime> nextQuarantineTime(const RelayState &state)
{
    std::optional<MonoTime> next = nextReportTime(state.quarantine_);
    for (const auto &[part, verdict] : state.quarantine_.verdicts_) {
        const MonoTime effectiveAt = verdict.since_ + state.settings_.quarantine_.objectionTime_;
        if (!state.quarantinedParts_.contains(part) && (!next || effectiveAt < *next))
            next = effectiveAt;
    }
    return next;
}

} // namespace tamarack::relaydetail
