// Learned speed at which an engine processes prompts.
#include "core/relay/prefillspeed.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

constexpr PreciseMicros oneMillisecond {Millis {1}};

double remainingWeight(const PrefillSpeed &speed, const PrefillSpeedSettings &settings,
                       MonoTime now)
{
    const PreciseMicros age = now - speed.sampledAt_;
    return std::exp(-age / PreciseMicros {settings.lifetime_});
}

} // namespace

void recordPrefill(PrefillSpeed &speed, const PrefillSpeedSettings &settings, Tokens tokens,
                   PreciseMicros time, double assumedPerMs, MonoTime now)
{
    if (tokens < settings.minTokens_ || assumedPerMs <= 0.0)
        return;
    const auto count = static_cast<double>(tokens.count_);
    const PreciseMicros expected = oneMillisecond * (count / assumedPerMs);
    const PreciseMicros limited
        = std::clamp(time, expected / settings.maxDeviation_, expected * settings.maxDeviation_);
    const double weight = settings.retention_ * remainingWeight(speed, settings, now);
    speed.tokens_ = speed.tokens_ * weight + count;
    speed.time_ = speed.time_ * weight + limited;
    speed.sampledAt_ = now;
}

double sampledPerMs(const PrefillSpeed &speed)
{
    return speed.tokens_ > 0.0 ? speed.tokens_ / (speed.time_ / oneMillisecond) : 0.0;
}

double learnedPerMs(const PrefillSpeed &speed, const PrefillSpeedSettings &settings,
                    double initialPerMs, MonoTime now)
{
    const double weight = remainingWeight(speed, settings, now);
    const auto initial = static_cast<double>(settings.initialWeight_.count_);
    const double time = speed.time_ / oneMillisecond * weight + initial / initialPerMs;
    return (speed.tokens_ * weight + initial) / time;
}

} // namespace tamarack
