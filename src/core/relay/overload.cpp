// Decides whether a daemon has more load than its host can handle.
#include "core/relay/overload.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

void beginOverload(Overload &overload, const OverloadSettings &settings, MonoTime now)
{
    const bool relapsed = overload.endedAt_ && now - *overload.endedAt_ <= settings.relapseTime_;
    overload.duration_ = relapsed ? std::min(overload.duration_ * 2, settings.maxDuration_)
                                  : settings.minDuration_;
    overload.overloadedUntil_ = now + overload.duration_;
}

} // namespace

void recordEventDelay(Overload &overload, const OverloadSettings &settings, PreciseMicros delay,
                      MonoTime now)
{
    const PreciseMicros elapsed
        = std::min<PreciseMicros>(now - overload.recordedAt_, settings.maxSampleTime_);
    const double weight = 1.0 - std::exp(-elapsed / PreciseMicros {settings.smoothingTime_});
    const PreciseMicros sample = std::min<PreciseMicros>(delay, settings.maxSample_);
    overload.delay_ += (sample - overload.delay_) * weight;
    overload.recordedAt_ = now;
    if (!overload.overloadedUntil_) {
        if (overload.delay_ > settings.maxDelay_)
            beginOverload(overload, settings, now);
        return;
    }
    if (now < *overload.overloadedUntil_)
        return;
    if (overload.delay_ >= settings.recoveredDelay_
        || overload.linkUse_ >= settings.recoveredLinkUse_) {
        overload.overloadedUntil_ = now + settings.smoothingTime_;
        return;
    }
    overload.overloadedUntil_.reset();
    overload.endedAt_ = now;
}

void recordTraffic(Overload &overload, const OverloadSettings &settings,
                   const TrafficTotals &totals, MonoTime now)
{
    if (settings.linkBytesPerSecond_ <= 0.0)
        return;
    if (!overload.trafficAt_) {
        overload.trafficAt_ = now;
        overload.traffic_ = totals;
        return;
    }
    const std::chrono::duration<double> elapsed = now - *overload.trafficAt_;
    if (elapsed < settings.minTrafficInterval_)
        return;
    const std::uint64_t bytes = std::max(totals.received_ - overload.traffic_.received_,
                                         totals.sent_ - overload.traffic_.sent_);
    const double use
        = static_cast<double>(bytes) / (settings.linkBytesPerSecond_ * elapsed.count());
    const double weight
        = 1.0 - std::exp(-elapsed / std::chrono::duration<double> {settings.linkSmoothingTime_});
    overload.linkUse_ += (use - overload.linkUse_) * weight;
    overload.trafficAt_ = now;
    overload.traffic_ = totals;
    if (!overload.overloadedUntil_ && overload.linkUse_ > settings.maxLinkUse_)
        beginOverload(overload, settings, now);
}

bool isOverloaded(const Overload &overload)
{
    return overload.overloadedUntil_.has_value();
}

} // namespace tamarack
