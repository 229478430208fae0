// Choice of an upstream instance.
#include "core/relay/choice.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace tamarack {

namespace {

const InstanceRecord *recordOf(const ChoiceState &state, const KnownInstance &known)
{
    const auto it = state.records_.find(known.instance_.id_);
    // A new start under the same id has nothing in common with the one before.
    if (it == state.records_.end() || it->second.startedAt_ != known.instance_.startedAt_)
        return nullptr;
    return &it->second;
}

bool isCandidate(const KnownInstance &known, const InstanceRecord *record, const ChoiceAsk &ask,
                 MonoTime now)
{
    if (known.instance_.service_ != ask.service_->id_
        || known.instance_.state_ != InstanceState::Ready
        || ask.tried_.contains(known.instance_.id_))
        return false;
    return !record || (!record->replaced_ && record->ejectedUntil_ <= now);
}

/// The part that decides which engine a request belongs to: the longest shared beginning.
const PromptPart *affinityPart(const RelayRequest &request)
{
    if (!request.usage_ || request.usage_->parts_.empty())
        return nullptr;
    const auto &parts = request.usage_->parts_;
    return parts.size() > 1 ? &parts[parts.size() - 2] : &parts.front();
}

/// The instance of a zone that requests with this part go to if nothing speaks against it.
UpstreamId preferredInstance(const InstanceDirectory &directory, const ChoiceAsk &ask,
                             const PromptPart &part)
{
    UpstreamId best;
    std::uint64_t bestWeight = 0;
    for (const auto &[id, known] : directory.known_) {
        const Instance &instance = known.instance_;
        if (instance.service_ != ask.service_->id_ || instance.state_ != InstanceState::Ready
            || known.missingSince_ || instance.zone_ != ask.zone_)
            continue;
        const std::uint64_t weight = rendezvousWeight(part.id_, id.value_);
        if (best.isEmpty() || weight > bestWeight) {
            best = id;
            bestWeight = weight;
        }
    }
    return best;
}

bool isCached(const InstanceRecord *record, const ChoiceSettings &settings, const PromptPart &part,
              MonoTime now)
{
    if (!record)
        return false;
    const auto it = record->parts_.find(part.id_);
    return it != record->parts_.end() && now - it->second < settings.cacheLifetime_;
}

Tokens uncachedTokens(const RelayRequest &request, const InstanceRecord *record, bool preferred,
                      const ChoiceSettings &settings, MonoTime now)
{
    if (!request.usage_)
        return {};
    const PromptUsage &usage = *request.usage_;
    Tokens uncached = usage.prompt_;
    for (std::size_t i = 0; i < usage.parts_.size(); ++i) {
        const bool isShared = i + 1 < usage.parts_.size();
        // Other daemons of the zone bring shared parts to the preferred instance too.
        if (!(preferred && isShared) && !isCached(record, settings, usage.parts_[i], now))
            break;
        uncached -= usage.parts_[i].tokens_;
    }
    return std::max(uncached, Tokens {});
}

PreciseMicros learnedDelay(const InstanceRecord &record, const ChoiceSettings &settings,
                           MonoTime now)
{
    const PreciseMicros age = now - record.observedAt_;
    return record.extraDelay_ * std::exp(-age / PreciseMicros {settings.delayLifetime_});
}

PreciseMicros engineDelay(const InstanceRecord *record, Tokens uncached,
                          const ChoiceSettings &settings, const ChoiceAsk &ask)
{
    Tokens ahead = uncached;
    double running = 0.0;
    if (record) {
        // The other daemons of the zone are taken to send as much as this one.
        ahead += Tokens {record->prefillAhead_.count_ * ask.zoneDaemons_};
        running = static_cast<double>(record->running_) * ask.zoneDaemons_;
    }
    const PreciseMicros perToken = PreciseMicros {Millis {1}} / settings.prefillTokensPerMs_;
    return perToken * static_cast<double>(ahead.count_) + settings.delayPerRequest_ * running;
}

PreciseMicros serviceDelay(const InstanceRecord *record, std::uint32_t slots,
                           const ChoiceSettings &settings, const ChoiceAsk &ask)
{
    const double running = record ? static_cast<double>(record->running_) * ask.zoneDaemons_ : 0.0;
    return settings.serviceTime_ * (1.0 + running / std::max(slots, 1U));
}

PreciseMicros zoneDelay(const Instance &instance, const ChoiceSettings &settings,
                        const ChoiceAsk &ask)
{
    if (instance.zone_ == ask.zone_)
        return {};
    const double kilobytes = static_cast<double>(ask.request_->bodyBytes_) / 1000.0;
    return settings.otherZoneDelay_ + settings.otherZoneDelayPerKilobyte_ * kilobytes;
}

/// Missing instances are a last resort.
PreciseMicros missingDelay(const KnownInstance &known)
{
    return known.missingSince_ ? PreciseMicros {Seconds {60}} : PreciseMicros {};
}

void countFailure(InstanceRecord &record, const ChoiceSettings &settings, bool ejects, MonoTime now)
{
    ++record.failuresInRow_;
    if (!ejects && record.failuresInRow_ < settings.failuresToEject_)
        return;
    const std::uint32_t doublings = std::min(record.failuresInRow_ - 1, 6U);
    record.ejectedUntil_
        = now + std::min(settings.ejection_ * (1 << doublings), settings.maxEjection_);
}

void forgetOldParts(InstanceRecord &record, const ChoiceSettings &settings, MonoTime now)
{
    if (record.parts_.size() < settings.cacheParts_)
        return;
    std::erase_if(record.parts_, [&](const auto &item) {
        return now - item.second > settings.cacheLifetime_ / 2;
    });
}

} // namespace

std::optional<Choice> chooseInstance(const ChoiceState &state, const ChoiceSettings &settings,
                                     const InstanceDirectory &directory, const ChoiceAsk &ask,
                                     MonoTime now)
{
    const PromptPart *part = ask.service_->engine_ ? affinityPart(*ask.request_) : nullptr;
    const UpstreamId preferred = part ? preferredInstance(directory, ask, *part) : UpstreamId {};
    std::optional<Choice> best;
    PreciseMicros bestScore {};
    std::uint64_t bestTie = 0;
    for (const auto &[id, known] : directory.known_) {
        const InstanceRecord *record = recordOf(state, known);
        if (!isCandidate(known, record, ask, now))
            continue;
        const Tokens uncached
            = uncachedTokens(*ask.request_, record, id == preferred, settings, now);
        PreciseMicros predicted = ask.service_->engine_
            ? engineDelay(record, uncached, settings, ask)
            : serviceDelay(record, known.instance_.slots_, settings, ask);
        if (record)
            predicted += learnedDelay(*record, settings, now);
        PreciseMicros score
            = predicted + zoneDelay(known.instance_, settings, ask) + missingDelay(known);
        if (record)
            score += settings.failureDelay_ * record->failureShare_;
        const std::uint64_t tie = rendezvousWeight(ask.request_->request_.value_, id.value_);
        if (best && (score > bestScore || (score == bestScore && tie < bestTie)))
            continue;
        best = Choice {id, known.instance_.address_, predicted, uncached,
                       known.instance_.zone_ == ask.zone_};
        bestScore = score;
        bestTie = tie;
    }
    return best;
}

void noteSent(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
              const RelayRequest &request, WallTime startedAt, MonoTime now)
{
    InstanceRecord &record = state.records_[choice.instance_];
    if (record.startedAt_ != startedAt) {
        // Own requests at the start before end later and are still counted.
        const std::uint32_t running = record.running_;
        const Tokens ahead = record.prefillAhead_;
        record = InstanceRecord {};
        record.running_ = running;
        record.prefillAhead_ = ahead;
        record.startedAt_ = startedAt;
    }
    ++record.running_;
    record.prefillAhead_ += choice.uncached_;
    if (!request.usage_)
        return;
    forgetOldParts(record, settings, now);
    for (const PromptPart &part : request.usage_->parts_)
        record.parts_[part.id_] = now;
}

void noteFirstOutput(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                     PreciseMicros observed, MonoTime now)
{
    InstanceRecord &record = state.records_[choice.instance_];
    record.prefillAhead_ = std::max(record.prefillAhead_ - choice.uncached_, Tokens {});
    const PreciseMicros previous = learnedDelay(record, settings, now);
    const PreciseMicros extra
        = std::max(observed - (choice.predicted_ - previous), PreciseMicros {});
    record.extraDelay_ = previous + (extra - previous) * settings.learningRate_;
    record.observedAt_ = now;
}

void noteEnded(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
               InstanceOutcome outcome, bool hadOutput, MonoTime now)
{
    InstanceRecord &record = state.records_[choice.instance_];
    record.running_ -= std::min(record.running_, 1U);
    if (!hadOutput)
        record.prefillAhead_ = std::max(record.prefillAhead_ - choice.uncached_, Tokens {});
    const auto learn = [&](double failed) {
        record.failureShare_ += (failed - record.failureShare_) * settings.learningRate_;
    };
    switch (outcome) {
    case InstanceOutcome::Good:
        learn(0.0);
        record.failuresInRow_ = 0;
        break;
    case InstanceOutcome::Failed:
        learn(1.0);
        countFailure(record, settings, false, now);
        break;
    case InstanceOutcome::Unreachable:
        learn(1.0);
        record.parts_.clear();
        countFailure(record, settings, true, now);
        break;
    case InstanceOutcome::Refused:
        record.ejectedUntil_ = std::max(record.ejectedUntil_, now + settings.ejection_);
        break;
    case InstanceOutcome::Replaced:
        record.replaced_ = true;
        break;
    case InstanceOutcome::Neutral:
        break;
    }
}

Result<void> checkInvariants(const ChoiceState &state)
{
    for (const auto &[id, record] : state.records_) {
        if (record.prefillAhead_ < Tokens {} || record.failureShare_ < 0.0
            || record.failureShare_ > 1.0)
            return fail(ErrorKind::Internal, "tamarack.choice.101",
                        fmt::format("instance {}: prefill ahead {}, failure share {} are out of "
                                    "range; restart this daemon and report this",
                                    id.value_, record.prefillAhead_.count_, record.failureShare_));
    }
    return {};
}

} // namespace tamarack
