// Admission and dispatch of requests.
#include "core/hash.h"
#include "core/relay/loans.h"
#include "core/relay/relayinternal.h"
#include "core/relay/urgency.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack::relaydetail {

namespace {

constexpr int statusPaymentRequired = 402;
constexpr int statusBadGateway = 502;
constexpr int statusServiceUnavailable = 503;

Tokens worstCase(const PromptUsage &usage)
{
    return usage.prompt_ + usage.maxOutput_;
}

bool isPrepaid(const RelayedRequest &active)
{
    const auto account = active.config_->accounts_.find(active.account_);
    return active.request_.usage_ && account != active.config_->accounts_.end()
        && account->second.prepaid_.has_value();
}

/// Returns the tokens to charge: the prompt once, and the output that was sent to the client.
Tokens usedTokens(const RelayedRequest &active)
{
    if (!active.mayHaveRun_)
        return {};
    const PromptUsage &usage = *active.request_.usage_;
    const RelayService *service = serviceOf(active, active.service_);
    const std::uint32_t perEvent
        = service && service->engine_ ? service->engine_->tokensPerEvent_ : 0;
    if (perEvent == 0 || active.outputUnknown_)
        return worstCase(usage);
    const Tokens output {static_cast<std::int64_t>(active.events_ * perEvent)};
    return usage.prompt_ + std::min(output, usage.maxOutput_);
}

/// Returns the Retry-After value. It is spread by a hash of the request id, which is random, so no
/// random generator is needed.
Millis retryAfterDelay(const RelayState &state, const RelayedRequest &active, MonoTime now)
{
    const RelaySettings &settings = state.settings_;
    const bool outage = active.stage_ == RelayStage::AwaitingTokens
        && isLedgerFailing(state.prepaid_, settings.prepaid_, active.account_);
    const Millis base = outage   ? settings.retryAfterOutage_
        : state.stopRequestedAt_ ? settings.retryAfterStopping_
                                 : settings.retryAfter_;
    const auto spreadRange = static_cast<std::uint64_t>(base.count()) + 1;
    const Millis delay = base + Millis {hash64(active.request_.request_.value_) % spreadRange};
    if (!active.request_.clientTimeout_)
        return delay;
    const PreciseMicros left = active.request_.arrivedAt_ + *active.request_.clientTimeout_ - now;
    const auto maxDelay = std::chrono::duration_cast<Millis>(left * settings.retryAfterShare_);
    return std::clamp(maxDelay, Millis {0}, delay);
}

std::uint32_t connectionsPerInstance(const RelayState &state, const RelayService &service)
{
    const double share = service.maxConnections_ * state.settings_.connectionShare_
        / std::max(state.fleet_.daemons_, 1U);
    return std::max(static_cast<std::uint32_t>(share), 1U);
}

std::optional<Placement> chooseAcrossServices(const RelayState &state, const RelayedRequest &active,
                                              bool acceptsLongWait, MonoTime now)
{
    const std::set<UpstreamId> excluded = excludedInstances(state, active, now);
    for (const ServiceId &id : servicesInOrder(*active.route_, active.request_.request_)) {
        const RelayService *service = serviceOf(active, id);
        if (!service)
            continue;
        const ChoiceQuery query {
            &active.request_, service, state.settings_.zone_, state.fleet_.zoneDaemons_, excluded,
            acceptsLongWait,  {},      loadsForChoice(state)};
        std::optional<Choice> choice
            = chooseInstance(state.choice_, state.settings_.choice_, state.directory_, query, now);
        if (choice)
            return Placement {std::move(*choice), service};
    }
    return std::nullopt;
}

void refuseForShortage(RelayState &state, RelayedRequest &active, bool exhausted, MonoTime now,
                       RelayCommands &out)
{
    if (exhausted)
        refuse(state, active, statusPaymentRequired, "budget_exhausted", now, out);
    else
        refuse(state, active, statusServiceUnavailable, "budget_held_elsewhere", now, out);
}

/// Refuses a request if a lender recently refused to lend the amount.
/// @return false if there is no such refusal
bool refuseByLender(RelayState &state, RelayedRequest &active, Tokens amount, MonoTime now,
                    RelayCommands &out)
{
    const std::optional<LenderRefusal> refusal = recentLenderRefusal(
        state.prepaid_, state.settings_.prepaid_, active.account_, amount, now);
    if (!refusal)
        return false;
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"account", active.account_.value_});
    fields.push_back({"amount", std::to_string(amount.count_)});
    fields.push_back({"lender", refusal->host_.value_});
    fields.push_back({"refused_amount", std::to_string(refusal->amount_.count_)});
    const auto age = std::chrono::duration_cast<Millis>(now - refusal->at_);
    fields.push_back({"answer_age_ms", std::to_string(age.count())});
    logLine(out, LogLevel::Info, "budget.refused_by_lender", std::move(fields));
    refuseForShortage(state, active, refusal->refusal_ == LoanRefusal::Exhausted, now, out);
    return true;
}

/// Refuses a request if a fresh ledger copy shows that the tokens are not available.
/// @return false if a draw can still succeed
bool refuseIfLedgerShort(RelayState &state, RelayedRequest &active, Tokens amount, MonoTime now,
                         RelayCommands &out)
{
    const PrepaidSettings &settings = state.settings_.prepaid_;
    if (refuseByLender(state, active, amount, now, out))
        return true;
    const ShortageDetails details = shortageDetails(state.prepaid_, settings, active.account_, now);
    const Shortage shortage = classifyShortage(state.prepaid_, settings, active.account_, amount);
    // Tokens held by other daemons may still be obtained from a lender.
    const bool isShort = shortage == Shortage::Exhausted
        || (shortage == Shortage::HeldElsewhere
            && !isLoanRequestPending(state.prepaid_, active.account_));
    if (!isShort || details.age_ > settings.shortageLifetime_)
        return false;
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"account", active.account_.value_});
    fields.push_back({"amount", std::to_string(amount.count_)});
    fields.push_back({"funded", std::to_string(details.funded_.count_)});
    fields.push_back({"charged", std::to_string(details.charged_.count_)});
    fields.push_back({"outstanding", std::to_string(details.outstanding_.count_)});
    fields.push_back({"unallocated", std::to_string(details.unallocated_.count_)});
    fields.push_back({"available", std::to_string(details.available_.count_)});
    fields.push_back({"ledger_age_ms", std::to_string(details.age_.count())});
    logLine(out, LogLevel::Info, "budget.shortage", std::move(fields));
    refuseForShortage(state, active, shortage == Shortage::Exhausted, now, out);
    return true;
}

/// Waits for an instance, or refuses the request if none can take it in time. An attempt that is
/// only silent goes on instead.
void awaitInstance(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    if (active.attemptRunning_) {
        active.stage_ = RelayStage::Sent;
        active.stageDeadline_.reset();
        rescheduleTimer(state, active);
        return;
    }
    const PreciseMicros wait
        = PreciseMicros {active.route_->latencyObjective_} * state.settings_.instanceWaitShare_;
    const MonoTime waitEnd = active.request_.arrivedAt_ + std::chrono::duration_cast<Micros>(wait);
    if (chooseAcrossServices(state, active, true, now)) {
        failWithoutInstance(state, active, "upstreams_overloaded", std::nullopt, now, out);
        return;
    }
    const std::optional<MonoTime> acceptedAt = nextAcceptingTime(state, active, now);
    if (acceptedAt && *acceptedAt > std::max(waitEnd, now)) {
        failWithoutInstance(state, active, "upstreams_limited",
                            std::chrono::ceil<Millis>(*acceptedAt - now), now, out);
        return;
    }
    if (active.stage_ == RelayStage::AwaitingInstance && !acceptedAt)
        return;
    active.stage_ = RelayStage::AwaitingInstance;
    active.stageDeadline_ = acceptedAt.value_or(waitEnd);
    rescheduleTimer(state, active);
}

void reserveOrWait(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    const Tokens amount = worstCase(*active.request_.usage_);
    PrepaidState &prepaid = state.prepaid_;
    active.reserved_
        = reserveTokens(prepaid, state.settings_.prepaid_, active.account_, amount, now);
    if (active.reserved_) {
        dispatch(state, active, now, out);
        return;
    }
    if (refuseIfLedgerShort(state, active, amount, now, out))
        return;
    if (active.stage_ != RelayStage::AwaitingTokens || !active.stageDeadline_) {
        active.stage_ = RelayStage::AwaitingTokens;
        // Waiting is pointless while the ledger is unavailable and no loan request is pending.
        const bool failing = isLedgerFailing(prepaid, state.settings_.prepaid_, active.account_)
            && !isLoanRequestPending(prepaid, active.account_);
        const PreciseMicros wait = PreciseMicros {active.route_->latencyObjective_}
            * (failing ? 0.0 : state.settings_.tokenWaitShare_);
        active.stageDeadline_ = now + std::chrono::duration_cast<Micros>(wait);
        rescheduleTimer(state, active);
    }
}

} // namespace

const RelayService *serviceOf(const RelayedRequest &active, const ServiceId &id)
{
    const auto it = active.config_->services_.find(id);
    return it == active.config_->services_.end() ? nullptr : &it->second;
}

void send(RelayState &state, RelayedRequest &active, const Placement &placement, MonoTime now,
          RelayCommands &out)
{
    const Choice &choice = placement.choice_;
    active.stage_ = RelayStage::Sent;
    active.choice_ = choice;
    active.service_ = placement.service_->id_;
    active.tried_.insert(choice.instance_);
    ++active.attempts_;
    active.sentAt_ = now;
    active.outputStarted_ = false;
    active.attemptRunning_ = true;
    active.outcomeRecorded_ = false;
    active.awaitedPermit_.reset();
    active.stageDeadline_.reset();
    const bool mayRetry = active.route_->retryPolicy_ == RetryPolicy::Retryable
        && active.attempts_ < active.route_->maxAttempts_;
    if (mayRetry && active.route_->latencyObjective_ > Millis {}) {
        const PreciseMicros silenceLimit = PreciseMicros {active.route_->latencyObjective_}
            * state.settings_.silenceTimeoutObjectives_;
        active.stageDeadline_ = now + std::chrono::duration_cast<Micros>(silenceLimit);
    }
    const Instance &instance = state.directory_.known_.at(choice.instance_).instance_;
    active.instanceStartedAt_ = instance.startedAt_;
    recordSent(state.choice_, state.settings_.choice_, choice, active.request_, instance.startedAt_,
               now);
    rescheduleTimer(state, active);
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"attempt", std::to_string(active.attempts_)});
    fields.push_back({"upstream", choice.instance_.value_});
    fields.push_back({"address", choice.address_});
    fields.push_back({"predicted_ms", fmt::format("{:.0f}", choice.predicted_.count() / 1000.0)});
    fields.push_back({"uncached", std::to_string(choice.uncached_.count_)});
    fields.push_back({"same_zone", choice.sameZone_ ? "yes" : "no"});
    logLine(out, LogLevel::Info, "request.dispatch", std::move(fields));
    const std::optional<int> priority = placement.service_->engine_
        ? enginePriority(state.priorities_, active.urgency_)
        : std::nullopt;
    out.emplace_back(SendAttempt {active.request_.id_, active.attempts_, choice.instance_,
                                  choice.address_, active.account_, active.deadline_,
                                  active.route_->retryPolicy_, active.route_->streaming_,
                                  connectionsPerInstance(state, *placement.service_),
                                  state.settings_.connectTimeout_, priority});
}

Millis engineObjective(const RelayedRequest &active)
{
    const RelayService *service = serviceOf(active, active.service_);
    return service && service->engine_ ? active.route_->latencyObjective_ : Millis {};
}

void logLine(RelayCommands &out, LogLevel level, std::string name, std::vector<LogField> fields)
{
    out.emplace_back(WriteLog {LogEvent {level, std::move(name), std::move(fields)}});
}

std::vector<LogField> requestFields(const RelayedRequest &active)
{
    return {{"request", active.request_.request_.value_},
            {"route", active.route_ ? active.route_->id_.value_ : "none"},
            {"config", std::to_string(active.config_ ? active.config_->version_.value_ : 0)}};
}

void rescheduleTimer(RelayState &state, RelayedRequest &active)
{
    if (active.timer_)
        state.timers_.erase({*active.timer_, active.request_.id_});
    active.timer_ = active.deadline_;
    if (active.stageDeadline_)
        active.timer_ = std::min(*active.timer_, *active.stageDeadline_);
    state.timers_.emplace(*active.timer_, active.request_.id_);
}

void refuse(RelayState &state, RelayedRequest &active, int status, const std::string &reason,
            MonoTime now, RelayCommands &out, std::optional<Millis> notBefore)
{
    std::optional<Millis> retryAfter;
    if (status == statusServiceUnavailable)
        retryAfter = std::max(retryAfterDelay(state, active, now), notBefore.value_or(Millis {}));
    out.emplace_back(RespondToClient {active.request_.id_, status, retryAfter, reason});
    finish(state, active, fmt::format("{} {}", status, reason), now, out);
}

void failWithoutInstance(RelayState &state, RelayedRequest &active, const std::string &reason,
                         std::optional<Millis> notBefore, MonoTime now, RelayCommands &out)
{
    if (active.events_ > 0) {
        out.emplace_back(AbortResponse {active.request_.id_});
        finish(state, active, "cut " + reason, now, out);
        return;
    }
    const int status = active.mayHaveRun_ ? statusBadGateway : statusServiceUnavailable;
    refuse(state, active, status, reason, now, out, notBefore);
}

void finish(RelayState &state, RelayedRequest &active, const std::string &outcome, MonoTime now,
            RelayCommands &out)
{
    Tokens used;
    if (active.reserved_) {
        used = usedTokens(active);
        settleTokens(state.prepaid_, active.account_, *active.reserved_, used, now);
    }
    const auto millis = [&](MonoTime time) {
        return std::to_string(
            std::chrono::duration_cast<Millis>(time - active.request_.arrivedAt_).count());
    };
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"account", active.account_.value_});
    fields.push_back({"outcome", outcome});
    fields.push_back({"attempts", std::to_string(active.attempts_)});
    fields.push_back({"may_have_run", active.mayHaveRun_ ? "yes" : "no"});
    if (active.choice_)
        fields.push_back({"upstream", active.choice_->instance_.value_});
    if (active.firstOutputAt_)
        fields.push_back({"first_output_ms", millis(*active.firstOutputAt_)});
    fields.push_back({"total_ms", millis(now)});
    fields.push_back({"events", std::to_string(active.events_)});
    fields.push_back({"tokens", std::to_string(used.count_)});
    logLine(out, LogLevel::Info, "request.end", std::move(fields));
    if (active.timer_)
        state.timers_.erase({*active.timer_, active.request_.id_});
    state.active_.erase(active.request_.id_);
}

void dispatch(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    if (refuseIfQuarantined(state, active, now, out))
        return;
    active.awaitedPermit_.reset();
    // Work was already done for a request that is sent again.
    const bool acceptsLongWait = active.attempts_ > 0;
    while (true) {
        const std::optional<Placement> placement
            = chooseAcrossServices(state, active, acceptsLongWait, now);
        if (!placement)
            break;
        const PermitStatus permit = obtainPermit(state, active, *placement, now, out);
        if (permit == PermitStatus::Granted)
            send(state, active, *placement, now, out);
        if (permit != PermitStatus::Denied)
            return;
    }
    awaitInstance(state, active, now, out);
}

void admit(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    // Before it waits for tokens.
    if (refuseIfQuarantined(state, active, now, out))
        return;
    if (isPrepaid(active))
        reserveOrWait(state, active, now, out);
    else
        dispatch(state, active, now, out);
}

void resumeWaitingForTokens(RelayState &state, const AccountId &account, MonoTime now,
                            RelayCommands &out)
{
    std::vector<ExchangeId> waiting;
    for (const auto &[id, active] : state.active_) {
        if (active.stage_ == RelayStage::AwaitingTokens && active.account_ == account)
            waiting.push_back(id);
    }
    for (const ExchangeId id : waiting) {
        // The request may have been refused or sent meanwhile.
        const auto it = state.active_.find(id);
        if (it != state.active_.end())
            reserveOrWait(state, it->second, now, out);
    }
}

} // namespace tamarack::relaydetail
