// Chooses an upstream instance by predicted time to first output.
#include "core/hash.h"
#include "core/relay/instancechoiceinternal.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace tamarack {

namespace {

using namespace choicedetail;

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

bool hasAllowedVersion(const Instance &instance, const ChoiceQuery &query)
{
    return !query.versions_ || query.versions_->contains(instance.version_);
}

bool isCandidate(const KnownInstance &known, const InstanceStats *record, const ChoiceQuery &query,
                 MonoTime now)
{
    if (known.instance_.service_ != query.service_->id_
        || known.instance_.state_ != InstanceState::Ready
        || query.excluded_.contains(known.instance_.id_)
        || query.excludedZones_.contains(known.instance_.zone_)
        || !hasAllowedVersion(known.instance_, query))
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
            || known.missingSince_ || !mayBePreferred(instance, query)
            || !hasAllowedVersion(instance, query))
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

/// An instance that may be chosen.
struct Candidate
{
    Choice choice_;
    PreciseMicros score_ {};
    double running_ = 0.0;
    /// How much each further request adds to the score.
    PreciseMicros costPerRequest_ {};
    std::uint64_t hash_ = 0;
};

/// Returns the number of requests that an instance takes until its score reaches @a level.
double roomBelow(const Candidate &candidate, PreciseMicros level)
{
    return std::max(level - candidate.score_, PreciseMicros {}) / candidate.costPerRequest_;
}

/// Returns the score up to which the instances are filled by the requests that all daemons send
/// before their knowledge is renewed, if the instances with the lowest scores are filled first.
/// @note O(candidates x log candidates)
PreciseMicros fillLevel(const std::vector<Candidate> &candidates, const ChoiceSettings &settings)
{
    std::vector<const Candidate *> byScore;
    byScore.reserve(candidates.size());
    double running = 0.0;
    for (const Candidate &candidate : candidates) {
        byScore.push_back(&candidate);
        running += candidate.running_;
    }
    std::sort(byScore.begin(), byScore.end(),
              [](const Candidate *a, const Candidate *b) { return a->score_ < b->score_; });
    const double expected = 1.0 + running * settings.renewedShare_;
    // With the i best instances: sum of (level - score) / cost = expected.
    double scores = 0.0;
    double rates = 0.0;
    PreciseMicros level {};
    for (const Candidate *candidate : byScore) {
        if (rates > 0.0 && candidate->score_ >= level)
            break;
        scores += candidate->score_ / candidate->costPerRequest_;
        rates += PreciseMicros {1.0} / candidate->costPerRequest_;
        level = PreciseMicros {(expected + scores) / rates};
    }
    return std::max(level, byScore.front()->score_ + settings.minNearBest_);
}

/// Returns the order of a candidate in a choice at random that is weighted by room; the lowest is
/// chosen. All daemons agree on it for a request.
double randomOrder(const Candidate &candidate, PreciseMicros level)
{
    // The upper 53 bits, which a double holds exactly.
    const double uniform = (static_cast<double>(candidate.hash_ >> 11U) + 0.5) * 0x1p-53;
    return -std::log(uniform) / roomBelow(candidate, level);
}

/// Chooses among the instances whose score is near the best one, so that daemons with the same
/// knowledge don't all choose the same instance until they know better.
const Candidate &chooseNearBest(const std::vector<Candidate> &candidates, const Candidate &best,
                                const UpstreamId &preferred, const ChoiceSettings &settings)
{
    // The scores of the other engines contain the time to read the shared part again, so the
    // preferred one is left only if that is quicker than to wait there.
    if (best.choice_.instance_ == preferred)
        return best;
    const PreciseMicros level = fillLevel(candidates, settings);
    const Candidate *chosen = &best;
    for (const Candidate &candidate : candidates) {
        if (candidate.score_ < level && randomOrder(candidate, level) < randomOrder(*chosen, level))
            chosen = &candidate;
    }
    return *chosen;
}

bool isBetter(const Candidate &a, const Candidate &b)
{
    return a.score_ < b.score_ || (a.score_ == b.score_ && a.hash_ > b.hash_);
}

} // namespace

std::optional<Choice> chooseInstance(const ChoiceState &state, const ChoiceSettings &settings,
                                     const InstanceDirectory &directory, const ChoiceQuery &query,
                                     MonoTime now)
{
    const PromptPart *part = query.service_->engine_ ? affinityPart(*query.request_) : nullptr;
    const Speeds speeds = speedsOf(state, settings, directory, query);
    const UpstreamId preferredId
        = part ? preferredInstance(directory, query, *part) : UpstreamId {};
    std::vector<Candidate> candidates;
    for (const auto &[id, known] : directory.known_) {
        const InstanceStats *record = findStats(state, known);
        const Withdrawal *withdrawal = findWithdrawal(state, known);
        if (!isCandidate(known, record, query, now)
            || (withdrawal && hasWithdrawn(*withdrawal, settings, now)))
            continue;
        const Tokens uncached
            = uncachedTokens(*query.request_, record, id == preferredId, settings, now);
        const Occupancy occupancy = occupancyOf(record, id, query);
        const double tokensPerMs = speedOf(speeds, record, id, settings, query, now);
        Estimate estimate = query.service_->engine_
            ? engineEstimate(occupancy, uncached, tokensPerMs, settings, query)
            : serviceEstimate(occupancy, known.instance_.slots_, settings);
        if (record)
            estimate.predicted_ += learnedDelay(*record, settings, now);
        Candidate candidate;
        candidate.score_ = estimate.predicted_ + otherZonePenalty(known.instance_, settings, query)
            + lastResortPenalty(known, withdrawal);
        if (record)
            candidate.score_ += settings.failurePenalty_ * record->failureRate_;
        candidate.hash_ = rendezvousWeight(query.request_->request_.value_, id.value_);
        candidate.running_ = occupancy.running_;
        candidate.costPerRequest_ = query.service_->engine_
            ? settings.delayPerRequest_
            : settings.serviceTime_ / std::max(known.instance_.slots_, 1U);
        candidate.choice_ = Choice {id,
                                    known.instance_.address_,
                                    estimate.predicted_,
                                    uncached,
                                    known.instance_.zone_ == query.zone_,
                                    tokensPerMs,
                                    estimate.queued_,
                                    estimate.runningDelay_,
                                    contextTokens(*query.request_)};
        candidates.push_back(std::move(candidate));
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(), isBetter);
    if (best == candidates.end())
        return std::nullopt;
    if (!knowsLoad(query))
        return best->choice_;
    return chooseNearBest(candidates, *best, preferredId, settings).choice_;
}

} // namespace tamarack
