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

void recordPeerReply(Overload &overload, const OverloadSettings &settings, const HostId &from,
                     PreciseMicros time, MonoTime now)
{
    if (time <= settings.maxReplyTime_) {
        overload.slowReplies_ = 0;
        overload.slowPeers_.clear();
        return;
    }
    ++overload.slowReplies_;
    overload.slowReplyAt_ = now;
    overload.slowPeers_.insert(from);
    const bool linkBusy
        = overload.slowReplies_ >= settings.slowReplies_ && overload.slowPeers_.size() > 1;
    if (!overload.overloadedUntil_ && linkBusy)
        beginOverload(overload, settings, now);
}

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
    // A daemon that no longer asks peers gets no faster reply.
    const bool linkBusy
        = overload.slowReplies_ > 0 && now - overload.slowReplyAt_ <= settings.minDuration_;
    if (overload.delay_ >= settings.recoveredDelay_ || linkBusy) {
        overload.overloadedUntil_ = now + settings.smoothingTime_;
        return;
    }
    overload.overloadedUntil_.reset();
    overload.endedAt_ = now;
}

bool isOverloaded(const Overload &overload)
{
    return overload.overloadedUntil_.has_value();
}

} // namespace tamarack
