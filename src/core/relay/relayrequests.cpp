// Admission and dispatch of requests.
#include "core/hash.h"
#include "core/relay/relayinternal.h"
#include "core/relay/relaystreams.h"
#include "core/relay/relaytakeovers.h"
#include "core/relay/urgency.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace tamarack::relaydetail {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusServiceUnavailable = 503;

/// Prefix of the reasons for refusals for a lack of tokens.
constexpr const char *tokenReasonPrefix = "budget_";

/// Part of the time for which clients wait that is used to spread the return of requests.
constexpr double returnOrderShare = 0.3;

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
/// @param forTokens the request was refused for a lack of tokens
Millis retryAfterDelay(const RelayState &state, const RelayedRequest &active, bool forTokens,
                       MonoTime now)
{
    const RelaySettings &settings = state.settings_;
    const bool outage = forTokens && isTokenOutage(state, active, now);
    const Millis base = outage   ? settings.retryAfterOutage_
        : state.stopRequestedAt_ ? settings.retryAfterStopping_
                                 : settings.retryAfter_;
    constexpr std::uint64_t steps = 1000;
    const auto spread = static_cast<double>(hash64(active.request_.request_.value_) % (steps + 1))
        / static_cast<double>(steps);
    const auto part = [](Millis time, double fraction) {
        return std::chrono::duration_cast<Millis>(time * fraction);
    };
    const Millis delay = base + part(base, outage ? returnOrder(state, active, spread) : spread);
    if (!active.request_.clientTimeout_)
        return delay;
    const PreciseMicros left = active.request_.arrivedAt_ + *active.request_.clientTimeout_ - now;
    const auto maxDelay = std::chrono::duration_cast<Millis>(left * settings.retryAfterShare_);
    if (maxDelay >= delay || !outage || !isUsedWithSeveralUrgencies(state, active.account_))
        return std::clamp(maxDelay, Millis {0}, delay);
    // Within the time for which clients wait, less urgent requests still return last.
    const double share = returnOrderShare * (1.0 - returnOrder(state, active, spread));
    return std::max(part(maxDelay, 1.0 - share), Millis {0});
}

} // namespace

std::uint32_t connectionsPerInstance(const RelayState &state, const RelayService &service)
{
    const double share = service.maxConnections_ * state.settings_.connectionShare_
        / std::max(state.fleet_.daemons_, 1U);
    return std::max(static_cast<std::uint32_t>(share), 1U);
}

std::optional<Placement> chooseAcrossServices(const RelayState &state, const RelayedRequest &active,
                                              const std::set<ZoneId> &zones, bool acceptsLongWait,
                                              MonoTime now)
{
    std::set<UpstreamId> excluded = excludedInstances(state, active, now);
    if (active.origin_)
        addPossiblyRestarted(state, excluded, now);
    for (const ServiceId &id : servicesInOrder(*active.route_, splitId(active))) {
        const RelayService *service = serviceOf(active, id);
        if (!service)
            continue;
        ChoiceQuery query;
        query.versions_ = allowedVersions(state, active, id);
        query.request_ = &active.request_;
        query.service_ = service;
        query.zone_ = state.settings_.zone_;
        query.zoneDaemons_ = state.fleet_.zoneDaemons_;
        query.excluded_ = excluded;
        query.acceptsLongWait_ = acceptsLongWait;
        query.excludedZones_ = zones;
        query.maxConnections_ = connectionsPerInstance(state, *service);
        query.load_ = loadsForChoice(state);
        std::optional<Choice> choice
            = chooseInstance(state.choice_, state.settings_.choice_, state.directory_, query, now);
        if (choice)
            return Placement {std::move(*choice), service};
    }
    return std::nullopt;
}

namespace {

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
    if (refuseWithoutZone(state, active, now, out) || endWithoutOrigin(state, active, now, out))
        return;
    if (mayBeCutOff(state.reachability_, state.settings_.reachability_, now)
        && handOver(state, active, now, out))
        return;
    const PreciseMicros wait
        = PreciseMicros {active.route_->latencyObjective_} * state.settings_.instanceWaitShare_;
    const MonoTime waitEnd = active.request_.arrivedAt_ + std::chrono::duration_cast<Micros>(wait);
    if (chooseAcrossServices(state, active, excludedZones(state, active), true, now)) {
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

} // namespace

Tokens worstCase(const PromptUsage &usage)
{
    return usage.prompt_ + usage.maxOutput_;
}

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
    active.peer_.reset();
    active.choice_ = choice;
    active.service_ = placement.service_->id_;
    const Instance &instance = state.directory_.known_.at(choice.instance_).instance_;
    active.tried_.insert(choice.instance_);
    ++active.attempts_;
    active.attemptVersions_[active.attempts_] = ServedVersion {active.service_, instance.version_};
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
    active.instanceStartedAt_ = instance.startedAt_;
    recordSent(state.choice_, state.settings_.choice_, choice, active.request_, instance.startedAt_,
               now);
    rescheduleTimer(state, active);
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"attempt", std::to_string(active.attempts_)});
    fields.push_back({"upstream", choice.instance_.value_});
    fields.push_back({"address", choice.address_});
    fields.push_back({"version", instance.version_.value_});
    if (active.request_.resumed_)
        fields.push_back({"resumes", active.request_.resumed_->begunBy_.value_});
    fields.push_back({"predicted_ms", fmt::format("{:.0f}", choice.predicted_.count() / 1000.0)});
    fields.push_back({"uncached", std::to_string(choice.uncached_.count_)});
    fields.push_back({"same_zone", choice.sameZone_ ? "yes" : "no"});
    logLine(out, LogLevel::Info, "request.dispatch", std::move(fields));
    const std::optional<int> priority = placement.service_->engine_
        ? enginePriority(state.priorities_, active.urgency_)
        : std::nullopt;
    out.emplace_back(SendAttempt {
        active.request_.id_, active.attempts_, choice.instance_, choice.address_, active.account_,
        active.deadline_, active.route_->retryPolicy_, active.route_->streaming_,
        connectionsPerInstance(state, *placement.service_), state.settings_.connectTimeout_,
        priority, instance.startedAt_, instance.version_});
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
        retryAfter
            = std::max(retryAfterDelay(state, active, reason.starts_with(tokenReasonPrefix), now),
                       notBefore.value_or(Millis {}));
    out.emplace_back(
        RespondToClient {active.request_.id_, status, retryAfter, reason, active.urgency_});
    finish(state, active, fmt::format("{} {}", status, reason), now, out);
}

void refuseUnable(RelayState &state, RelayedRequest &active, const std::string &reason,
                  MonoTime now, RelayCommands &out)
{
    if (active.mayHaveRun_ || active.events_ > 0) {
        failWithoutInstance(state, active, reason, std::nullopt, now, out);
        return;
    }
    RespondToClient response {active.request_.id_, statusServiceUnavailable,
                              retryAfterDelay(state, active, false, now), reason, active.urgency_};
    response.unable_ = true;
    out.emplace_back(std::move(response));
    finish(state, active, fmt::format("{} {}", statusServiceUnavailable, reason), now, out);
}

void refuseForGood(RelayState &state, RelayedRequest &active, const std::string &reason,
                   MonoTime now, RelayCommands &out)
{
    out.emplace_back(RespondToClient {active.request_.id_, statusServiceUnavailable, std::nullopt,
                                      reason, active.urgency_});
    finish(state, active, fmt::format("{} {}", statusServiceUnavailable, reason), now, out);
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
    if (handOverIfCutOff(state, active, now, out))
        return;
    // Work was already done for a request that is sent again, and for a stream that has begun.
    const bool acceptsLongWait = active.attempts_ > 0 || active.origin_;
    countEvacuationSkip(state, active, now);
    while (true) {
        const std::optional<Placement> placement = chooseAcrossServices(
            state, active, excludedZones(state, active), acceptsLongWait, now);
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

void resumeForFreeConnection(RelayState &state, const ServiceId &service, MonoTime now,
                             RelayCommands &out)
{
    std::vector<std::tuple<int, MonoTime, ExchangeId>> waiting;
    for (const auto &[id, active] : state.active_) {
        if (active.stage_ == RelayStage::AwaitingInstance && usesService(active, service))
            waiting.emplace_back(active.urgency_, active.deadline_, id);
    }
    // The most urgent one may be unable to use this instance, for example because it tried it.
    constexpr std::size_t maxTries = 3;
    const auto end
        = waiting.begin() + static_cast<std::ptrdiff_t>(std::min(maxTries, waiting.size()));
    std::partial_sort(waiting.begin(), end, waiting.end());
    for (auto it = waiting.begin(); it != end; ++it) {
        const ExchangeId id = std::get<ExchangeId>(*it);
        dispatch(state, state.active_.at(id), now, out);
        const auto left = state.active_.find(id);
        if (left != state.active_.end() && left->second.stage_ == RelayStage::Sent)
            return;
    }
}

} // namespace tamarack::relaydetail
