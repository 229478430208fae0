// Predicts the time to the first output of a request at an instance.
#include "core/relay/instancechoiceinternal.h"
#include "core/relay/instanceload.h"

#include <algorithm>

namespace tamarack::choicedetail {

namespace {

const LoadSum *loadOfOthers(const ChoiceQuery &query, const UpstreamId &id)
{
    const auto known = query.load_->others_.find(id);
    return known == query.load_->others_.end() ? nullptr : &known->second;
}

/// Returns how long a request waits until running ones have made room for it.
/// @param missing part of the engine's capacity that is missing, as a fraction of the whole
PreciseMicros waitForRoom(double missing, const ChoiceSettings &settings)
{
    return PreciseMicros {settings.engineHoldTime_} * std::max(missing, 0.0);
}

/// Returns the wait for a slot and for memory of an engine.
PreciseMicros waitAtEngine(const Occupancy &occupancy, const ChoiceSettings &settings,
                           const ChoiceQuery &query)
{
    const EngineSpec &engine = *query.service_->engine_;
    const double slots = std::max(engine.slots_, 1U);
    const PreciseMicros forSlot = waitForRoom((occupancy.running_ + 1.0 - slots) / slots, settings);
    if (engine.kvCapacity_ <= Tokens {})
        return forSlot;
    const auto capacity = static_cast<double>(engine.kvCapacity_.count_);
    const auto own = static_cast<double>(contextTokens(*query.request_).count_);
    return std::max(forSlot,
                    waitForRoom((occupancy.contextTokens_ + own - capacity) / capacity, settings));
}

} // namespace

const InstanceStats *findStats(const ChoiceState &state, const KnownInstance &known)
{
    const auto it = state.instanceStats_.find(known.instance_.id_);
    // Statistics of an earlier process with the same id don't apply.
    if (it == state.instanceStats_.end() || it->second.startedAt_ != known.instance_.startedAt_)
        return nullptr;
    return &it->second;
}

bool knowsLoad(const ChoiceQuery &query)
{
    return query.load_ && query.load_->weight_ > 0.0;
}

Tokens contextTokens(const RelayRequest &request)
{
    return request.usage_ ? request.usage_->prompt_ + request.usage_->maxOutput_ : Tokens {};
}

Occupancy occupancyOf(const InstanceStats *record, const UpstreamId &id, const ChoiceQuery &query)
{
    Occupancy own;
    if (record) {
        own.running_ = record->running_;
        own.queuedPrefill_ = static_cast<double>(record->queuedPrefill_.count_);
        own.contextTokens_ = static_cast<double>(record->contextTokens_.count_);
    }
    const double weight = knowsLoad(query) ? query.load_->weight_ : 0.0;
    const LoadSum *sum = weight > 0.0 ? loadOfOthers(query, id) : nullptr;
    const LoadSum others = sum ? *sum : LoadSum {};
    // Where the load of the others is not known, they are assumed to send as much as this daemon.
    const double scale = 1.0 + (1.0 - weight) * (std::max(query.zoneDaemons_, 1U) - 1.0);
    return Occupancy {own.running_ * scale + others.running_ * weight,
                      own.queuedPrefill_ * scale + others.queuedPrefill_ * weight,
                      own.contextTokens_ * scale + others.contextTokens_ * weight};
}

Speeds speedsOf(const ChoiceState &state, const ChoiceSettings &settings,
                const InstanceDirectory &directory, const ChoiceQuery &query)
{
    if (!query.service_->engine_ || !query.load_)
        return Speeds {false, settings.prefillTokensPerMs_};
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
    return Speeds {true, engines > 0 ? sum / engines : settings.prefillTokensPerMs_};
}

double speedOf(const Speeds &speeds, const InstanceStats *record, const UpstreamId &id,
               const ChoiceSettings &settings, const ChoiceQuery &query, MonoTime now)
{
    if (!speeds.learned_)
        return speeds.mean_;
    const LoadSum *others = loadOfOthers(query, id);
    const double initial
        = others && others->prefillPerMs_ > 0.0 ? others->prefillPerMs_ : speeds.mean_;
    return record ? learnedPerMs(record->speed_, settings.speed_, initial, now) : initial;
}

Estimate engineEstimate(const Occupancy &occupancy, Tokens uncached, double tokensPerMs,
                        const ChoiceSettings &settings, const ChoiceQuery &query)
{
    Estimate estimate;
    estimate.queued_ = Tokens {static_cast<std::int64_t>(occupancy.queuedPrefill_)};
    estimate.runningDelay_ = settings.delayPerRequest_ * occupancy.running_;
    estimate.predicted_
        = prefillTime(tokensPerMs, uncached + estimate.queued_) + estimate.runningDelay_;
    if (knowsLoad(query)) {
        const PreciseMicros wait = waitAtEngine(occupancy, settings, query);
        estimate.runningDelay_ += wait;
        estimate.predicted_ += wait;
    }
    return estimate;
}

Estimate serviceEstimate(const Occupancy &occupancy, std::uint32_t slots,
                         const ChoiceSettings &settings)
{
    Estimate estimate;
    estimate.predicted_ = settings.serviceTime_ * (1.0 + occupancy.running_ / std::max(slots, 1U));
    return estimate;
}

} // namespace tamarack::choicedetail
