// Chooses an upstream instance by predicted time to first output.
#include "core/hash.h"
#include "core/relay/instancechoiceinternal.h"

#include <algorithm>

namespace tamarack {

namespace {

using choicedetail::learnedDelay;
using choicedetail::prefillTime;

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
    return !record->replaced_ && record->ejectedUntil_ <= now && !hasFullQueue
        && record->running_ < query.maxConnections_;
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

/// Returns the tokens of engine memory that a request may take.
Tokens contextTokens(const RelayRequest &request)
{
    return request.usage_ ? request.usage_->prompt_ + request.usage_->maxOutput_ : Tokens {};
}

/// Prediction for an instance.
struct Estimate
{
    PreciseMicros predicted_ {};
    /// Prompt tokens of earlier requests that an engine has still to process.
    Tokens queued_;
    /// Part of the prediction that the running requests cause.
    PreciseMicros runningDelay_ {};
};

Estimate engineEstimate(const InstanceStats *record, Tokens uncached, double tokensPerMs,
                        const ChoiceSettings &settings, const ChoiceQuery &query)
{
    Estimate estimate;
    if (record) {
        // Assumes that the other daemons of the zone send as much as this one.
        estimate.queued_ = Tokens {record->queuedPrefill_.count_ * query.zoneDaemons_};
        estimate.runningDelay_ = settings.delayPerRequest_
            * (static_cast<double>(record->running_) * query.zoneDaemons_);
    }
    estimate.predicted_
        = prefillTime(tokensPerMs, uncached + estimate.queued_) + estimate.runningDelay_;
    return estimate;
}

/// Returns the mean of the learned speeds of a service's engines, which is the initial value of an
/// engine without samples.
double meanSpeed(const ChoiceState &state, const ChoiceSettings &settings,
                 const InstanceDirectory &directory, const ChoiceQuery &query)
{
    double sum = 0.0;
    int engines = 0;
    for (const auto &[id, known] : directory.known_) {
        if (known.instance_.service_ != query.service_->id_)
            continue;
        const InstanceStats *record = findStats(state, known);
        const double sampled = record ? sampledPerMs(record->speed_) : 0.0;
        if (sampled <= 0.0)
            continue;
        sum += sampled;
        ++engines;
    }
    return engines > 0 ? sum / engines : settings.prefillTokensPerMs_;
}

Estimate serviceEstimate(const InstanceStats *record, std::uint32_t slots,
                         const ChoiceSettings &settings, const ChoiceQuery &query)
{
    const double running
        = record ? static_cast<double>(record->running_) * query.zoneDaemons_ : 0.0;
    Estimate estimate;
    estimate.predicted_ = settings.serviceTime_ * (1.0 + running / std::max(slots, 1U));
    return estimate;
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

} // namespace

std::optional<Choice> chooseInstance(const ChoiceState &state, const ChoiceSettings &settings,
                                     const InstanceDirectory &directory, const ChoiceQuery &query,
                                     MonoTime now)
{
    const PromptPart *part = query.service_->engine_ ? affinityPart(*query.request_) : nullptr;
    const bool usesLearnedSpeed = query.service_->engine_ && query.usesLearnedSpeed_;
    const double mean = usesLearnedSpeed ? meanSpeed(state, settings, directory, query)
                                         : settings.prefillTokensPerMs_;
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
        const double tokensPerMs = usesLearnedSpeed && record
            ? learnedPerMs(record->speed_, settings.speed_, mean, now)
            : mean;
        Estimate estimate = query.service_->engine_
            ? engineEstimate(record, uncached, tokensPerMs, settings, query)
            : serviceEstimate(record, known.instance_.slots_, settings, query);
        if (record)
            estimate.predicted_ += learnedDelay(*record, settings, now);
        PreciseMicros score = estimate.predicted_
            + otherZonePenalty(known.instance_, settings, query)
            + lastResortPenalty(known, withdrawal);
        if (record)
            score += settings.failurePenalty_ * record->failureRate_;
        const std::uint64_t tie = rendezvousWeight(query.request_->request_.value_, id.value_);
        if (best && (score > bestScore || (score == bestScore && tie < bestTie)))
            continue;
        best = Choice {id,
                       known.instance_.address_,
                       estimate.predicted_,
                       uncached,
                       known.instance_.zone_ == query.zone_,
                       tokensPerMs,
                       estimate.queued_,
                       estimate.runningDelay_,
                       contextTokens(*query.request_)};
        bestScore = score;
        bestTie = tie;
    }
    return best;
}

} // namespace tamarack
