// Keeps quarantined requests, and requests with quarantined prompt parts, away from instances, and
// reports crashes.
#include "core/hash.h"
#include "core/relay/relayinternal.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace tamarack::relaydetail {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusServiceUnavailable = 503;

/// A quarantine of a relay, its settings, and the suspects that it was logged to hold.
struct RelayQuarantine
{
    Quarantine &quarantine_;
    const QuarantineSettings &settings_;
    std::set<SuspectId> &logged_;
};

RelayQuarantine requestQuarantine(RelayState &state)
{
    return {state.requestQuarantine_, state.settings_.requestQuarantine_,
            state.quarantinedRequests_};
}

RelayQuarantine partQuarantine(RelayState &state)
{
    return {state.quarantine_, state.settings_.quarantine_, state.quarantinedParts_};
}

std::array<RelayQuarantine, 2> quarantines(RelayState &state)
{
    return {requestQuarantine(state), partQuarantine(state)};
}

/// Returns what may crash the instances of a request.
std::vector<SuspectId> suspectsOf(const Quarantine &quarantine, const RelayedRequest &active)
{
    if (quarantine.scope_ == QuarantineScope::Requests)
        return {active.identity_};
    return sharedParts(active.request_);
}

LogField suspectField(const Quarantine &quarantine, SuspectId suspect)
{
    const bool isRequest = quarantine.scope_ == QuarantineScope::Requests;
    return {isRequest ? "request_hash" : "part_hash", fmt::format("{:016x}", suspect.value_)};
}

/// The decision about a request, and the quarantine that it follows from.
struct RequestCheck
{
    QuarantineCheck check_;
    Quarantine *quarantine_ = nullptr;
};

/// Decides whether a request may be sent to an instance. A trial is recorded.
RequestCheck checkRequest(RelayState &state, const RelayedRequest &active, MonoTime now)
{
    RequestCheck result;
    for (const RelayQuarantine &use : quarantines(state)) {
        if (use.quarantine_.verdicts_.empty())
            continue;
        const QuarantineCheck check = checkQuarantine(use.quarantine_, use.settings_,
                                                      suspectsOf(use.quarantine_, active), now);
        if (check.decision_ == QuarantineDecision::Send)
            continue;
        result = RequestCheck {check, &use.quarantine_};
        if (check.decision_ == QuarantineDecision::Refuse)
            return result;
    }
    return result;
}

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

void refuseQuarantined(RelayState &state, RelayedRequest &active, const RequestCheck &refusal,
                       MonoTime now, RelayCommands &out)
{
    const QuarantineCheck &check = refusal.check_;
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"account", active.account_.value_});
    fields.push_back(suspectField(*refusal.quarantine_, check.part_));
    fields.push_back({"remaining_ms", std::to_string(check.remaining_.count())});
    logLine(out, LogLevel::Warning, "request.quarantined", std::move(fields));
    const std::string reason = refusal.quarantine_->scope_ == QuarantineScope::Requests
        ? "request_quarantined"
        : "prompt_part_quarantined";
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
        const RequestCheck check = checkRequest(state, active, now);
        if (check.check_.decision_ != QuarantineDecision::Refuse)
            continue;
        active.mayHaveRun_ = true;
        recordEnded(state.choice_, state.settings_.choice_, *active.choice_,
                    InstanceOutcome::Neutral, false, now);
        refuseQuarantined(state, active, check, now, out);
    }
}

/// Logs the suspects whose quarantine begins or ends.
/// @return true if there are any
bool logVerdicts(const RelayQuarantine &use, MonoTime now, RelayCommands &out)
{
    std::set<SuspectId> effective;
    for (const auto &[suspect, verdict] : use.quarantine_.verdicts_) {
        if (now >= verdict.since_ + use.settings_.objectionTime_)
            effective.insert(suspect);
    }
    if (effective == use.logged_)
        return false;
    for (const SuspectId suspect : effective) {
        if (use.logged_.contains(suspect))
            continue;
        const auto left = use.quarantine_.verdicts_.at(suspect).until_ - now;
        logLine(
            out, LogLevel::Warning, "quarantine.begun",
            {suspectField(use.quarantine_, suspect),
             {"crashes", std::to_string(crashCount(use.quarantine_, suspect))},
             {"remaining_ms", std::to_string(std::chrono::duration_cast<Millis>(left).count())}});
    }
    for (const SuspectId suspect : use.logged_) {
        if (!effective.contains(suspect))
            logLine(out, LogLevel::Info, "quarantine.ended",
                    {suspectField(use.quarantine_, suspect)});
    }
    use.logged_ = std::move(effective);
    return true;
}

std::optional<MonoTime> nextTime(const Quarantine &quarantine, const QuarantineSettings &settings,
                                 const std::set<SuspectId> &logged)
{
    std::optional<MonoTime> next = nextReportTime(quarantine);
    for (const auto &[suspect, verdict] : quarantine.verdicts_) {
        const MonoTime effectiveAt = verdict.since_ + settings.objectionTime_;
        if (!logged.contains(suspect) && (!next || effectiveAt < *next))
            next = effectiveAt;
    }
    return next;
}

} // namespace

SuspectId requestIdentity(const RelayedRequest &active)
{
    return SuspectId {
        hash64(fmt::format("{:016x} {}", active.request_.contentHash_, active.account_.value_))};
}

bool refuseIfQuarantined(RelayState &state, RelayedRequest &active, MonoTime now,
                         RelayCommands &out)
{
    if (active.isTrial_)
        return false;
    const RequestCheck result = checkRequest(state, active, now);
    active.isTrial_ = result.check_.decision_ == QuarantineDecision::Trial;
    if (active.isTrial_) {
        std::vector<LogField> fields = requestFields(active);
        fields.push_back(suspectField(*result.quarantine_, result.check_.part_));
        logLine(out, LogLevel::Info, "quarantine.trial", std::move(fields));
    }
    if (result.check_.decision_ != QuarantineDecision::Refuse)
        return false;
    refuseQuarantined(state, active, result, now, out);
    return true;
}

void recordOutputForQuarantine(RelayState &state, const RelayedRequest &active, MonoTime now,
                               RelayCommands &out)
{
    bool refuted = false;
    for (const RelayQuarantine &use : quarantines(state))
        refuted
            |= recordSurvival(use.quarantine_, use.settings_, crashId(active), active.sentAt_, now);
    if (refuted)
        logLine(out, LogLevel::Info, "quarantine.crash_refuted",
                {{"upstream", active.choice_->instance_.value_},
                 {"request", active.request_.request_.value_}});
}

bool recordAttemptForQuarantine(RelayState &state, const RelayedRequest &active,
                                const RelayAttemptEnded &ended, MonoTime now, RelayCommands &out)
{
    if (isResponse(ended.end_))
        recordOutputForQuarantine(state, active, now, out);
    const bool lastingOutput = !hadNoLastingOutput(state, active, now);
    const bool crashed = ended.end_ == AttemptEnd::ConnectionLost && !lastingOutput;
    const bool responded = ended.end_ == AttemptEnd::Delivered || lastingOutput;
    bool isRepeated = false;
    for (const RelayQuarantine &use : quarantines(state)) {
        const std::vector<SuspectId> suspects = suspectsOf(use.quarantine_, active);
        if (responded)
            recordResponse(use.quarantine_, use.settings_, suspects, now);
        if (crashed)
            isRepeated
                |= isRepeatedSuspect(use.quarantine_,
                                     recordCrash(use.quarantine_, use.settings_, crashId(active),
                                                 active.choice_->address_, suspects, now));
    }
    return isRepeated;
}

void mergeQuarantineReport(RelayState &state, const QuarantineReportReceived &event, MonoTime now,
                           RelayCommands &out)
{
    const RelayQuarantine use = event.report_.scope_ == QuarantineScope::Requests
        ? requestQuarantine(state)
        : partQuarantine(state);
    std::optional<QuarantineReport> reply
        = mergeReport(use.quarantine_, use.settings_, event.report_, now);
    if (reply)
        out.emplace_back(SendPeer {event.from_, event.report_.replyAddress_, std::move(*reply)});
}

void runQuarantine(RelayState &state, MonoTime now, RelayCommands &out)
{
    bool changed = false;
    for (const RelayQuarantine &use : quarantines(state))
        changed |= logVerdicts(use, now, out);
    if (changed)
        cancelQuarantined(state, now, out);
    for (const RelayQuarantine &use : quarantines(state)) {
        for (OutgoingReport &due : dueReports(use.quarantine_, use.settings_, now))
            out.emplace_back(
                SendPeer {due.peer_.host_, due.peer_.address_, std::move(due.report_)});
    }
}

std::optional<MonoTime> nextQuarantineTime(const RelayState &state)
{
    const std::optional<MonoTime> parts
        = nextTime(state.quarantine_, state.settings_.quarantine_, state.quarantinedParts_);
    const std::optional<MonoTime> requests = nextTime(
        state.requestQuarantine_, state.settings_.requestQuarantine_, state.quarantinedRequests_);
    if (!parts || !requests)
        return parts ? parts : requests;
    return std::min(*parts, *requests);
}

} // namespace tamarack::relaydetail
