// Cold instances: what shows that an instance is cold, and the log of it.
#include "core/relay/relayinternal.h"

#include <algorithm>

namespace tamarack::relaydetail {

namespace {

/// Time between two calls of noteColdPermitTime().
Millis noteInterval(const RelayState &state)
{
    return state.settings_.cold_.stallLimit_ / 2;
}

std::optional<ColdRule> coldRule(const RelayState &state, const UpstreamId &id)
{
    const auto known = state.directory_.known_.find(id);
    if (known == state.directory_.known_.end() || !state.config_)
        return std::nullopt;
    const auto service = state.config_->services_.find(known->second.instance_.service_);
    if (service == state.config_->services_.end())
        return std::nullopt;
    return ColdRule {service->second.coldPerSecond_ > 0.0, service->second.coldStart_};
}

ColdRuleOf coldRules(const RelayState &state)
{
    return [&state](const UpstreamId &id) {
        return coldRule(state, id);
    };
}

bool hasColdLimits(const RelayState &state)
{
    return state.config_
        && std::any_of(state.config_->services_.begin(), state.config_->services_.end(),
                       [](const auto &entry) { return entry.second.coldPerSecond_ > 0.0; });
}

} // namespace

std::optional<double> coldRate(const RelayState &state, const Instance &instance, MonoTime now)
{
    const std::optional<ColdRule> rule = coldRule(state, instance.id_);
    if (!rule || !rule->limited_ || !coldPeriod(state.cold_, instance.id_, rule->coldStart_, now))
        return std::nullopt;
    return state.config_->services_.at(instance.service_).coldPerSecond_;
}

void recordAttemptForCold(RelayState &state, const RelayedRequest &active,
                          const RelayAttemptEnded &ended, MonoTime now)
{
    const UpstreamId &id = active.choice_->instance_;
    const bool connectionLost = (ended.end_ == AttemptEnd::NotSent && !ended.connectionsUsed_)
        || (ended.end_ == AttemptEnd::ConnectionLost && !active.outputStarted_);
    const std::optional<ColdRule> rule = coldRule(state, id);
    if (connectionLost && rule && rule->limited_)
        recordPossibleRestart(state.cold_, id, active.instanceStartedAt_, now);
    else if (ended.end_ == AttemptEnd::Failed || ended.end_ == AttemptEnd::NotExecuted)
        recordResponse(state.cold_, id, active.sentAt_, now);
}

void noteColdTime(RelayState &state, MonoTime now)
{
    if (state.coldPermits_.notedAt_ == now || !hasColdLimits(state))
        return;
    noteColdPermitTime(state.coldPermits_, state.limits_, state.settings_.cold_, false, now);
}

void noteFleetListed(RelayState &state, const FleetView &fleet, MonoTime now)
{
    // Contact to peers is not enough: they don't tell each other who is in the fleet.
    if (fleet.listsSelf_)
        noteColdPermitTime(state.coldPermits_, state.limits_, state.settings_.cold_, true, now);
}

void runColdInstances(RelayState &state, MonoTime now, RelayCommands &out)
{
    noteColdTime(state, now);
    if (!state.config_)
        return;
    for (const ColdChange &change : takeColdChanges(state.cold_, coldRules(state), now)) {
        if (change.period_) {
            const std::optional<MonoTime> &until = change.period_->until_;
            logLine(out, LogLevel::Info, "instance.cold",
                    {{"upstream", change.id_.value_},
                     {"remaining_ms",
                      until ? std::to_string(std::chrono::ceil<Millis>(*until - now).count())
                            : "unknown"},
                     {"cause", std::string(coldCauseCode(change.period_->cause_))}});
        } else {
            logLine(out, LogLevel::Info, "instance.warm", {{"upstream", change.id_.value_}});
        }
    }
    forgetUnknownInstances(state.cold_, state.directory_);
}

std::optional<MonoTime> nextColdTime(const RelayState &state)
{
    const MonoTime now = state.coldPermits_.notedAt_.value_or(MonoTime {});
    std::optional<MonoTime> next = nextColdEnd(state.cold_, coldRules(state), now);
    // A daemon that handles no event for long must not take itself for suspended.
    if (state.limits_.daemons_.size() > 1 && hasColdLimits(state)) {
        const MonoTime note = now + noteInterval(state);
        next = next ? std::min(*next, note) : note;
    }
    return next;
}

} // namespace tamarack::relaydetail
