// Prediction of the time to first token, and learning from what was observed.
#include "core/routing.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

constexpr double sampleWeight = 0.15;
constexpr double correctionWeight = 0.3;
constexpr double averageWeight = 0.02;
// One outlier must not decide, so a single ratio counts as at most this factor.
constexpr double maxSampleRatio = 8.0;
constexpr double maxCorrection = 16.0;
// Shorter predictions would make the ratio to the observed time meaningless.
constexpr PreciseMicros minPrediction {1000.0};
constexpr double overdueFactor = 3.0;
constexpr double silenceFactor = 4.0;
constexpr std::uint32_t minLearnablePrompt = 16;
constexpr std::size_t maxChanges = 256;

LearnedSpeed assumedSpeed(const RoutingState &state)
{
    if (state.average_.samples_ > 0)
        return state.average_;
    LearnedSpeed speed;
    speed.promptToken_ = state.settings_.promptTokenTime_;
    speed.outputToken_ = state.settings_.outputTokenTime_;
    speed.service_ = state.settings_.serviceTime_;
    return speed;
}

/// What was learned fades while an upstream is idle, so that one that has recovered gets work
/// again.
double learnedWeight(const RoutingSettings &settings, const UpstreamState &upstream, MonoTime now)
{
    const PreciseMicros idle = now - upstream.speed_.updatedAt_;
    const double halves = idle / PreciseMicros {settings.learnedHalfLife_};
    // Most upstreams are in steady use, and this saves the exponential for them.
    constexpr double negligible = 0.01;
    return halves < negligible ? 1.0 : std::exp2(-halves);
}

LearnedSpeed speedOf(const RoutingState &state, const UpstreamState &upstream, MonoTime now)
{
    if (upstream.speed_.samples_ == 0)
        return assumedSpeed(state);
    const double weight = learnedWeight(state.settings_, upstream, now);
    if (weight == 1.0)
        return upstream.speed_;
    LearnedSpeed speed = upstream.speed_;
    const LearnedSpeed assumed = assumedSpeed(state);
    const auto fade = [weight](PreciseMicros learned, PreciseMicros average) {
        return average + (learned - average) * weight;
    };
    speed.promptToken_ = fade(speed.promptToken_, assumed.promptToken_);
    speed.outputToken_ = fade(speed.outputToken_, assumed.outputToken_);
    speed.service_ = fade(speed.service_, assumed.service_);
    return speed;
}

double correctionFactor(const RoutingSettings &settings, const UpstreamState &upstream,
                        MonoTime now)
{
    if (upstream.speed_.correction_ == 0.0)
        return 1.0;
    return std::exp(upstream.speed_.correction_ * learnedWeight(settings, upstream, now));
}

PreciseMicros loadTime(const RoutingSettings &settings, const UpstreamState &upstream,
                       const RouteQuery &query)
{
    if (query.kind_ == UpstreamKind::Service || !upstream.report_
        || !upstream.report_->modelsKnown_)
        return {};
    for (const LoadedModel &loaded : upstream.report_->models_) {
        const bool versionFits = query.version_.isEmpty() || loaded.version_ == query.version_;
        if (loaded.model_ != query.model_ || !versionFits)
            continue;
        const bool adapterFits = query.adapter_.isEmpty()
            || std::find(loaded.adapters_.begin(), loaded.adapters_.end(), query.adapter_)
                != loaded.adapters_.end();
        return adapterFits ? PreciseMicros {} : PreciseMicros {settings.adapterLoadTime_};
    }
    return PreciseMicros {settings.modelLoadTime_};
}

/// A new request cannot expect an answer sooner than the oldest one that is overdue, which reveals
/// a frozen upstream before its attempts end.
PreciseMicros overdueTime(const UpstreamState &upstream, MonoTime now)
{
    for (const AwaitedToken &awaited : upstream.awaited_) {
        if (!awaited.reported_)
            continue;
        const PreciseMicros age = now - awaited.sentAt_;
        return age > awaited.prediction_.firstToken_ * overdueFactor ? age : PreciseMicros {};
    }
    return {};
}

void smooth(PreciseMicros &value, PreciseMicros sample, double weight, bool first)
{
    value = first ? sample : value + (sample - value) * weight;
}

void addChange(UpstreamState &upstream, std::int32_t change, MonoTime now)
{
    upstream.changes_.push_back(InFlightChange {now, change});
    if (upstream.changes_.size() > maxChanges)
        upstream.changes_.pop_front();
}

void learnCorrection(UpstreamState &upstream, const AwaitedToken &awaited, PreciseMicros observed,
                     const RoutingSettings &settings, MonoTime now)
{
    const PreciseMicros predicted = std::max(awaited.prediction_.firstToken_, minPrediction);
    const double ratio = std::clamp(std::max(observed, minPrediction) / predicted,
                                    1.0 / maxSampleRatio, maxSampleRatio);
    const double limit = std::log(maxCorrection);
    const double current = std::log(correctionFactor(settings, upstream, now));
    upstream.speed_.correction_
        = std::clamp(current + correctionWeight * std::log(ratio), -limit, limit);
    upstream.speed_.updatedAt_ = now;
}

/// Engines that do not report their slots: more while a full engine answers without a wait, fewer
/// when one that should have had room made a request wait.
void learnSlots(UpstreamState &upstream, const AwaitedToken &awaited, PreciseMicros observed,
                PreciseMicros prefill, const RoutingSettings &settings)
{
    if (upstream.report_ && upstream.report_->slots_ > 0)
        return;
    constexpr double promptAnswer = 1.5;
    constexpr double lateAnswer = 4.0;
    const std::uint32_t slots = slotsOf(settings, upstream);
    const bool wasFull = awaited.prediction_.outstanding_ + 1.0 >= slots;
    const PreciseMicros unit = std::max(prefill, minPrediction);
    if (wasFull && observed < unit * promptAnswer)
        upstream.learnedSlots_ = slots + 1;
    else if (!wasFull && observed > unit * lateAnswer
             && awaited.prediction_.outstanding_ * 2.0 >= slots)
        upstream.learnedSlots_ = std::max(slots - 1, 1U);
}

void learnFirstToken(RoutingState &state, UpstreamState &upstream, const AwaitedToken &awaited,
                     PreciseMicros observed, MonoTime now)
{
    const LearnedSpeed before = speedOf(state, upstream, now);
    const double computed = awaited.promptTokens_ * (1.0 - awaited.prediction_.cacheMatch_);
    LearnedSpeed &speed = upstream.speed_;
    const bool first = speed.samples_ == 0;
    if (first) {
        speed = before;
        speed.correction_ = 0.0;
        speed.samples_ = 0;
    } else {
        learnCorrection(upstream, awaited, observed, state.settings_, now);
    }
    learnSlots(upstream, awaited, observed, before.promptToken_ * computed, state.settings_);
    const bool idle = awaited.prediction_.outstanding_ * 2.0 < slotsOf(state.settings_, upstream);
    if (idle && computed >= minLearnablePrompt) {
        smooth(speed.promptToken_, observed / computed, sampleWeight, first);
        smooth(state.average_.promptToken_, observed / computed, averageWeight,
               state.average_.samples_ == 0);
    }
    speed.updatedAt_ = now;
    ++speed.samples_;
}

std::optional<AwaitedToken> takeAwaited(UpstreamState &upstream, const AttemptId &attempt)
{
    const auto it
        = std::find_if(upstream.awaited_.begin(), upstream.awaited_.end(),
                       [&](const AwaitedToken &awaited) { return awaited.attempt_ == attempt; });
    if (it == upstream.awaited_.end())
        return std::nullopt;
    AwaitedToken awaited = std::move(*it);
    upstream.awaited_.erase(it);
    return awaited;
}

/// Learns how long an answered request occupied the upstream.
void learnService(RoutingState &state, UpstreamState &upstream, const AttemptRecord &note)
{
    const PreciseMicros duration = note.duration_;
    const PreciseMicros generation
        = note.firstToken_ ? duration - PreciseMicros {*note.firstToken_} : duration;
    if (generation <= PreciseMicros {})
        return;
    LearnedSpeed &speed = upstream.speed_;
    const bool first = speed.samples_ <= 1;
    smooth(speed.service_, generation, sampleWeight, first);
    smooth(state.average_.service_, generation, averageWeight, state.average_.samples_ == 0);
    if (note.outputTokens_ > 1 && note.firstToken_) {
        const PreciseMicros token = generation / static_cast<double>(note.outputTokens_ - 1);
        smooth(speed.outputToken_, token, sampleWeight, first);
        smooth(state.average_.outputToken_, token, averageWeight, state.average_.samples_ == 0);
    }
    if (state.average_.samples_ == 0 && state.average_.promptToken_ == PreciseMicros {})
        state.average_.promptToken_ = state.settings_.promptTokenTime_;
    if (state.average_.outputToken_ == PreciseMicros {})
        state.average_.outputToken_ = state.settings_.outputTokenTime_;
    ++state.average_.samples_;
}

} // namespace

double outstanding(const RoutingSettings &settings, const UpstreamState &upstream, MonoTime now)
{
    const double own = upstream.inFlight_;
    if (!upstream.report_ || now - upstream.report_->requestedAt_ > settings.reportLifetime_)
        return own;
    const double reported = static_cast<double>(upstream.report_->running_)
        + static_cast<double>(upstream.report_->waiting_);
    return std::max(own, reported + own - static_cast<double>(upstream.ownAtReport_));
}

double expectedOutstanding(const RoutingState &state, const UpstreamState &upstream, MonoTime now)
{
    const double all = outstanding(state.settings_, upstream, now);
    const double foreign = all - upstream.inFlight_;
    if (foreign <= 0.0)
        return all;
    const PreciseMicros age = now - upstream.report_->requestedAt_;
    const PreciseMicros service = std::max(speedOf(state, upstream, now).service_, minPrediction);
    return all - foreign * std::min(age / service * state.settings_.foreignDrain_, 1.0);
}

std::uint32_t slotsOf(const RoutingSettings &settings, const UpstreamState &upstream)
{
    if (upstream.report_ && upstream.report_->slots_ > 0)
        return upstream.report_->slots_;
    return upstream.learnedSlots_ > 0 ? upstream.learnedSlots_ : settings.slots_;
}

Prediction predict(const RoutingState &state, const UpstreamState &upstream,
                   const RouteQuery &query, double cacheMatch, MonoTime now)
{
    const RoutingSettings &settings = state.settings_;
    const LearnedSpeed speed = speedOf(state, upstream, now);
    Prediction prediction;
    prediction.cacheMatch_ = cacheMatch;
    prediction.otherZone_ = upstream.zone_ != query.zone_;
    prediction.outstanding_ = outstanding(settings, upstream, now);
    const double slots = slotsOf(settings, upstream);
    const double ahead = prediction.outstanding_ + 1.0 - slots;
    const double factor = correctionFactor(settings, upstream, now);
    if (ahead > 0.0)
        prediction.wait_ = speed.service_ * (ahead / slots) * factor;
    const PreciseMicros prefill = speed.promptToken_ * (query.promptTokens_ * (1.0 - cacheMatch));
    PreciseMicros first = std::max(prefill * factor, minPrediction) + prediction.wait_;
    first = std::max(first, overdueTime(upstream, now));
    first += loadTime(settings, upstream, query);
    if (prediction.otherZone_)
        first += PreciseMicros {settings.otherZoneDelay_};
    prediction.firstToken_ = first;
    return prediction;
}

Millis silenceLimit(const RoutingState &state, const UpstreamId &upstream,
                    const Prediction &prediction, std::uint32_t maxOutput, MonoTime now)
{
    const RoutingSettings &settings = state.settings_;
    const auto it = state.byId_.find(upstream);
    const UpstreamState unknown;
    const UpstreamState &known
        = it == state.byId_.end() ? unknown : state.upstreams_[it->second.value_];
    const LearnedSpeed speed = speedOf(state, known, now);
    const PreciseMicros output = speed.outputToken_ * static_cast<double>(maxOutput) * 2.0;
    const PreciseMicros learned = (prediction.firstToken_ + speed.outputToken_) * silenceFactor
        + output + speed.service_ * settings.silenceServiceTimes_;
    const PreciseMicros wanted = known.speed_.samples_ == 0
        ? std::max(learned, PreciseMicros {settings.firstSilenceLimit_} + output)
        : learned;
    const auto limit = std::chrono::duration_cast<Millis>(wanted);
    return std::clamp(limit, settings.minSilenceLimit_, settings.maxSilenceLimit_);
}

void recordDispatch(RoutingState &state, const DispatchRecord &note, MonoTime now)
{
    UpstreamState *upstream = findUpstream(state, note.upstream_);
    if (!upstream)
        return;
    ++upstream->inFlight_;
    addChange(*upstream, 1, now);
    upstream->awaited_.push_back(AwaitedToken {note.attempt_, now, note.prediction_,
                                               note.promptTokens_, note.firstTokenAwaited_});
}

void recordFirstToken(RoutingState &state, const UpstreamId &upstream, const AttemptId &attempt,
                      Micros after, MonoTime now)
{
    UpstreamState *known = findUpstream(state, upstream);
    if (!known)
        return;
    if (const std::optional<AwaitedToken> awaited = takeAwaited(*known, attempt))
        learnFirstToken(state, *known, *awaited, after, now);
}

void recordAttemptEnd(RoutingState &state, const AttemptRecord &note, MonoTime now)
{
    UpstreamState *upstream = findUpstream(state, note.upstream_);
    if (!upstream)
        return;
    if (upstream->inFlight_ > 0) {
        --upstream->inFlight_;
        addChange(*upstream, -1, now);
    }
    const std::optional<AwaitedToken> awaited = takeAwaited(*upstream, note.attempt_);
    if (awaited && note.firstToken_)
        learnFirstToken(state, *upstream, *awaited, *note.firstToken_, now);
    else if (awaited && note.result_ == AttemptResult::TimedOut && upstream->speed_.samples_ > 0)
        learnCorrection(*upstream, *awaited, note.duration_, state.settings_, now);
    if (note.result_ == AttemptResult::Complete)
        learnService(state, *upstream, note);
    if (note.upstreamLeaving_)
        noteLeaving(state, note.upstream_, LeavingSource::Refusal, true, now);
    noteOutcome(state, *upstream, note.result_, now);
}

void recordLoadReport(RoutingState &state, const LoadReport &report, MonoTime now)
{
    UpstreamState *upstream = findUpstream(state, report.upstream_);
    if (!upstream || report.requestedAt_ > now)
        return;
    if (upstream->report_ && report.requestedAt_ <= upstream->report_->requestedAt_)
        return;
    std::int64_t own = upstream->inFlight_;
    for (const InFlightChange &change : upstream->changes_) {
        if (change.at_ > report.requestedAt_)
            own -= change.change_;
    }
    upstream->ownAtReport_ = static_cast<std::uint32_t>(std::max<std::int64_t>(own, 0));
    upstream->report_ = report;
}

} // namespace tamarack
