// Chooses an upstream instance by predicted time to first output.
#include "core/relay/instancechoice.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace tamarack {

namespace {

const InstanceStats *findStats(const ChoiceState &state, const KnownInstance &known)
{
    const auto it = state.instanceStats_.find(known.instance_.id_);
    // Statistics of an earlier process with the same id don't apply.
    if (it == state.instanceStats_.end() || it->second.startedAt_ != known.instance_.startedAt_)
        return nullptr;
    return &it->second;
}

const Withdrawal *findWithdrawal(const ChoiceState &state, const KnownInstance &known)
{
    const auto it = state.withdrawals_.find(processOf(known.instance_));
    return it == state.withdrawals_.end() ? nullptr : &it->second;
}

bool hasWithdrawn(const Withdrawal &withdrawal, const ChoiceSettings &settings, MonoTime now)
{
    return withdrawal.closedUntil_ > now
        || (withdrawal.leavingSince_
            && now >= *withdrawal.leavingSince_ + settings.leavingRetention_);
}

bool isCandidate(const KnownInstance &known, const InstanceStats *record, const ChoiceQuery &query,
                 MonoTime now)
{
    if (known.instance_.service_ != query.service_->id_
        || known.instance_.state_ != InstanceState::Ready
        || query.excluded_.contains(known.instance_.id_)
        || query.excludedZones_.contains(known.instance_.zone_))
        return false;
    if (!record)
        return true;
    const bool hasFullQueue = query.service_->engine_ && !query.acceptsLongWait_
        && record->waiting_ >= static_cast<std::uint32_t>(record->maxWaiting_);
    return !record->replaced_ && record->ejectedUntil_ <= now && !hasFullQueue;
}

/// Returns the prompt part used for cache affinity: the longest shared prefix ends with it.
const PromptPart *affinityPart(const RelayRequest &request)
{
    if (!request.usage_ || request.usage_->parts_.empty())
        return nullptr;
    const auto &parts = request.usage_->parts_;
    return parts.size() > 1 ? &parts[parts.size() - 2] : &parts.front();
}

/// Returns true if an instance is in a zone from which the preferred instances are chosen: the
/// daemon's own, or all that are not excluded if the own one is.
bool mayBePreferred(const Instance &instance, const ChoiceQuery &query)
{
    if (query.excludedZones_.contains(query.zone_))
        return !query.excludedZones_.contains(instance.zone_);
    return instance.zone_ == query.zone_;
}

/// Returns the instance that rendezvous hashing assigns to a prompt part.
UpstreamId preferredInstance(const InstanceDirectory &directory, const ChoiceQuery &query,
                             const PromptPart &part)
{
    UpstreamId best;
    std::uint64_t bestWeight = 0;
    for (const auto &[id, known] : directory.known_) {
        const Instance &instance = known.instance_;
        if (instance.service_ != query.service_->id_ || instance.state_ != InstanceState::Ready
            || known.missingSince_ || !mayBePreferred(instance, query))
            continue;
        const std::uint64_t weight = rendezvousWeight(part.id_, id.value_);
        if (best.isEmpty() || weight > bestWeight) {
            best = id;
            bestWeight = weight;
        }
    }
    return best;
}

bool isCached(const InstanceStats *record, const ChoiceSettings &settings, const PromptPart &part,
              MonoTime now)
{
    if (!record)
        return false;
    const auto it = record->cachedParts_.find(part.id_);
    return it != record->cachedParts_.end() && now - it->second < settings.cacheLifetime_;
}

Tokens uncachedTokens(const RelayRequest &request, const InstanceStats *record, bool preferred,
                      const ChoiceSettings &settings, MonoTime now)
{
    if (!request.usage_)
        return {};
    const PromptUsage &usage = *request.usage_;
    Tokens uncached = usage.prompt_;
    for (std::size_t i = 0; i < usage.parts_.size(); ++i) {
        const bool isShared = i + 1 < usage.parts_.size();
        // Other daemons of the zone send shared parts to the preferred instance too.
        if (!(preferred && isShared) && !isCached(record, settings, usage.parts_[i], now))
            break;
        uncached -= usage.parts_[i].tokens_;
    }
    return std::max(uncached, Tokens {});
}

PreciseMicros learnedDelay(const InstanceStats &record, const ChoiceSettings &settings,
                           MonoTime now)
{
    const PreciseMicros age = now - record.observedAt_;
    return record.extraDelay_ * std::exp(-age / PreciseMicros {settings.delayLifetime_});
}

PreciseMicros prefillTime(const ChoiceSettings &settings, Tokens tokens)
{
    return PreciseMicros {Millis {1}} / settings.prefillTokensPerMs_
        * static_cast<double>(tokens.count_);
}

PreciseMicros engineDelay(const InstanceStats *record, Tokens uncached,
                          const ChoiceSettings &settings, const ChoiceQuery &query)
{
    Tokens ahead = uncached;
    double running = 0.0;
    if (record) {
        // Assumes that the other daemons of the zone send as much as this one.
        ahead += Tokens {record->queuedPrefill_.count_ * query.zoneDaemons_};
        running = static_cast<double>(record->running_) * query.zoneDaemons_;
    }
    return prefillTime(settings, ahead) + settings.delayPerRequest_ * running;
}

PreciseMicros serviceDelay(const InstanceStats *record, std::uint32_t slots,
                           const ChoiceSettings &settings, const ChoiceQuery &query)
{
    const double running
        = record ? static_cast<double>(record->running_) * query.zoneDaemons_ : 0.0;
    return settings.serviceTime_ * (1.0 + running / std::max(slots, 1U));
}

PreciseMicros otherZonePenalty(const Instance &instance, const ChoiceSettings &settings,
                               const ChoiceQuery &query)
{
    if (instance.zone_ == query.zone_)
        return {};
    const double kilobytes = static_cast<double>(query.request_->bodyBytes_) / 1000.0;
    return settings.otherZonePenalty_ + settings.otherZonePenaltyPerKilobyte_ * kilobytes;
}

/// Makes missing and leaving instances a last resort.
PreciseMicros lastResortPenalty(const KnownInstance &known, const Withdrawal *withdrawal)
{
    const bool isLastResort
        = known.missingSince_ || (withdrawal && withdrawal->leavingSince_.has_value());
    return isLastResort ? PreciseMicros {Seconds {60}} : PreciseMicros {};
}

void recordFailure(InstanceStats &record, const ChoiceSettings &settings, bool ejects, MonoTime now)
{
    ++record.consecutiveFailures_;
    if (!ejects && record.consecutiveFailures_ < settings.ejectAfterFailures_)
        return;
    const std::uint32_t doublings = std::min(record.consecutiveFailures_ - 1, 6U);
    record.ejectedUntil_
        = now + std::min(settings.baseEjectionTime_ * (1 << doublings), settings.maxEjectionTime_);
}

/// Adapts the limit on waiting requests to the time that one of them has waited.
void adaptWaitingLimit(InstanceStats &record, const ChoiceSettings &settings, const Choice &choice,
                       PreciseMicros waited, Millis latencyObjective, MonoTime now)
{
    if (latencyObjective <= Millis {})
        return;
    const PreciseMicros inQueue = waited - prefillTime(settings, choice.uncached_);
    if (inQueue <= PreciseMicros {latencyObjective} * settings.maxWaitShare_) {
        record.maxWaiting_
            = std::min(record.maxWaiting_ + 1.0 / record.maxWaiting_, settings.maxWaiting_);
        return;
    }
    // Requests that were sent before the last reduction say nothing about its effect.
    if (PreciseMicros {now - record.maxWaitingReducedAt_} < waited)
        return;
    const double waiting = std::min(record.maxWaiting_, static_cast<double>(record.waiting_));
    record.maxWaiting_ = std::max(waiting * settings.waitingDecrease_, 1.0);
    record.maxWaitingReducedAt_ = now;
}

void evictOldParts(InstanceStats &record, const ChoiceSettings &settings, MonoTime now)
{
    if (record.cachedParts_.size() < settings.maxCachedParts_)
        return;
    std::erase_if(record.cachedParts_, [&](const auto &item) {
        return now - item.second > settings.cacheLifetime_ / 2;
    });
}

} // namespace

std::optional<Choice> chooseInstance(const ChoiceState &state, const ChoiceSettings &settings,
                                     const InstanceDirectory &directory, const ChoiceQuery &query,
                                     MonoTime now)
{
    const PromptPart *part = query.service_->engine_ ? affinityPart(*query.request_) : nullptr;
    const UpstreamId preferred = part ? preferredInstance(directory, query, *part) : UpstreamId {};
    std::optional<Choice> best;
    PreciseMicros bestScore {};
    std::uint64_t bestTie = 0;
    for (const auto &[id, known] : directory.known_) {
        const InstanceStats *record = findStats(state, known);
        const Withdrawal *withdrawal = findWithdrawal(state, known);
        if (!isCandidate(known, record, query, now)
            || (withdrawal && hasWithdrawn(*withdrawal, settings, now)))
            continue;
        const Tokens uncached
            = uncachedTokens(*query.request_, record, id == preferred, settings, now);
        PreciseMicros predicted = query.service_->engine_
            ? engineDelay(record, uncached, settings, query)
            : serviceDelay(record, known.instance_.slots_, settings, query);
        if (record)
            predicted += learnedDelay(*record, settings, now);
        PreciseMicros score = predicted + otherZonePenalty(known.instance_, settings, query)
            + lastResortPenalty(known, withdrawal);
        if (record)
            score += settings.failurePenalty_ * record->failureRate_;
        const std::uint64_t tie = rendezvousWeight(query.request_->request_.value_, id.value_);
        if (best && (score > bestScore || (score == bestScore && tie < bestTie)))
            continue;
        best = Choice {id, known.instance_.address_, predicted, uncached,
                       known.instance_.zone_ == query.zone_};
        bestScore = score;
        bestTie = tie;
    }
    return best;
}

void recordNotice(ChoiceState &state, const ChoiceSettings &settings,
                  const InstanceProcess &process, const InstanceNotice &notice, MonoTime now)
{
    if (!notice.leaving_ && !notice.retryAfter_)
        return;
    std::erase_if(state.withdrawals_, [&](const auto &entry) {
        return now >= std::max(entry.second.statedAt_, entry.second.closedUntil_)
            + settings.withdrawalLifetime_;
    });
    Withdrawal &withdrawal = state.withdrawals_[process];
    withdrawal.statedAt_ = now;
    if (notice.leaving_ && !withdrawal.leavingSince_)
        withdrawal.leavingSince_ = now;
    if (notice.retryAfter_)
        withdrawal.closedUntil_ = std::max(withdrawal.closedUntil_, now + *notice.retryAfter_);
}

std::optional<MonoTime> closedUntil(const ChoiceState &state, const InstanceProcess &process,
                                    MonoTime now)
{
    const auto it = state.withdrawals_.find(process);
    if (it == state.withdrawals_.end() || it->second.closedUntil_ <= now)
        return std::nullopt;
    return it->second.closedUntil_;
}

bool isLeaving(const ChoiceState &state, const InstanceProcess &process)
{
    const auto it = state.withdrawals_.find(process);
    return it != state.withdrawals_.end() && it->second.leavingSince_.has_value();
}

void recordSent(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                const RelayRequest &request, WallTime startedAt, MonoTime now)
{
    InstanceStats &record = state.instanceStats_[choice.instance_];
    if (record.startedAt_ != startedAt) {
        // Requests sent before the restart have not ended yet and are still counted.
        const std::uint32_t running = record.running_;
        const std::uint32_t waiting = record.waiting_;
        const Tokens ahead = record.queuedPrefill_;
        record = InstanceStats {};
        record.running_ = running;
        record.waiting_ = waiting;
        record.queuedPrefill_ = ahead;
        record.maxWaiting_ = settings.maxWaiting_;
        record.startedAt_ = startedAt;
    }
    ++record.running_;
    ++record.waiting_;
    record.queuedPrefill_ += choice.uncached_;
    if (!request.usage_)
        return;
    evictOldParts(record, settings, now);
    for (const PromptPart &part : request.usage_->parts_)
        record.cachedParts_[part.id_] = now;
}

void recordFirstOutput(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                       PreciseMicros observed, Millis latencyObjective, MonoTime now)
{
    InstanceStats &record = state.instanceStats_[choice.instance_];
    adaptWaitingLimit(record, settings, choice, observed, latencyObjective, now);
    record.waiting_ -= std::min(record.waiting_, 1U);
    record.queuedPrefill_ = std::max(record.queuedPrefill_ - choice.uncached_, Tokens {});
    const PreciseMicros previous = learnedDelay(record, settings, now);
    const PreciseMicros extra
        = std::max(observed - (choice.predicted_ - previous), PreciseMicros {});
    record.extraDelay_ = previous + (extra - previous) * settings.learningRate_;
    record.observedAt_ = now;
}

void recordEnded(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                 InstanceOutcome outcome, bool hadOutput, MonoTime now)
{
    InstanceStats &record = state.instanceStats_[choice.instance_];
    record.running_ -= std::min(record.running_, 1U);
    if (!hadOutput) {
        record.queuedPrefill_ = std::max(record.queuedPrefill_ - choice.uncached_, Tokens {});
        record.waiting_ -= std::min(record.waiting_, 1U);
    }
    const auto learn = [&](double failed) {
        record.failureRate_ += (failed - record.failureRate_) * settings.learningRate_;
    };
    switch (outcome) {
    case InstanceOutcome::Success:
        learn(0.0);
        record.consecutiveFailures_ = 0;
        break;
    case InstanceOutcome::Failed:
        learn(1.0);
        recordFailure(record, settings, false, now);
        break;
    case InstanceOutcome::Unreachable:
        learn(1.0);
        record.cachedParts_.clear();
        recordFailure(record, settings, true, now);
        break;
    case InstanceOutcome::Refused:
        record.ejectedUntil_ = std::max(record.ejectedUntil_, now + settings.baseEjectionTime_);
        break;
    case InstanceOutcome::Replaced:
        record.replaced_ = true;
        break;
    case InstanceOutcome::Neutral:
        break;
    }
}

void recordNoOutput(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                    PreciseMicros waited, Millis latencyObjective, MonoTime now)
{
    const PreciseMicros inQueue = waited - prefillTime(settings, choice.uncached_);
    // How long the request would have waited is unknown, but it was longer than that.
    if (inQueue > PreciseMicros {latencyObjective} * settings.maxWaitShare_)
        adaptWaitingLimit(state.instanceStats_[choice.instance_], settings, choice, waited,
                          latencyObjective, now);
}

Result<void> checkInvariants(const ChoiceState &state)
{
    for (const auto &[id, record] : state.instanceStats_) {
        if (record.queuedPrefill_ < Tokens {} || record.failureRate_ < 0.0
            || record.failureRate_ > 1.0 || record.maxWaiting_ < 1.0)
            return fail(ErrorKind::Internal, "tamarack.choice.101",
                        fmt::format("instance {}: queued prefill {}, failure rate {} or waiting "
                                    "limit {} is out of range; restart this daemon and report the "
                                    "error",
                                    id.value_, record.queuedPrefill_.count_, record.failureRate_,
                                    record.maxWaiting_));
    }
    return {};
}

} // namespace tamarack
