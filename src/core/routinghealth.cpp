// Ejection of failing upstreams, slow readmission and upstreams that are leaving.
#include "core/routing.h"

#include <algorithm>

namespace tamarack {

namespace {

bool isFailure(AttemptResult result)
{
    switch (result) {
    case AttemptResult::NotSent:
    case AttemptResult::Failed:
    case AttemptResult::Truncated:
    case AttemptResult::TimedOut:
        return true;
    case AttemptResult::Complete:
    case AttemptResult::Rejected:
    case AttemptResult::Cancelled:
        return false;
    }
    return false;
}

void eject(const RoutingSettings &settings, UpstreamState &upstream, MonoTime now)
{
    constexpr std::uint32_t maxDoublings = 16;
    const Millis time = settings.minEjection_ * (1U << std::min(upstream.ejections_, maxDoublings));
    upstream.ejectedUntil_ = now + std::min(time, settings.maxEjection_);
    ++upstream.ejections_;
    upstream.probesLeft_ = settings.successesToRecover_;
}

/// Requests in flight that a readmitted upstream gets: one more for each success.
std::uint32_t probeLimit(const RoutingSettings &settings, const UpstreamState &upstream)
{
    return 1 + settings.successesToRecover_ - upstream.probesLeft_;
}

void startProbing(const RoutingSettings &settings, UpstreamState &upstream)
{
    upstream.probesLeft_ = settings.successesToRecover_;
}

} // namespace

Availability availability(const RoutingState &state, const UpstreamState &upstream, MonoTime now)
{
    const RoutingSettings &settings = state.settings_;
    if (!upstream.inBundle_ || upstream.leaving_ != 0)
        return Availability::Gone;
    if (now < upstream.ejectedUntil_ || upstream.missedPolls_ >= settings.missedPolls_)
        return Availability::Ejected;
    if (upstream.probesLeft_ > 0)
        return upstream.inFlight_ < probeLimit(settings, upstream) ? Availability::Probing
                                                                   : Availability::Full;
    const double limit
        = static_cast<double>(slotsOf(settings, upstream)) * (1.0 + settings.queueShare_);
    const bool full
        = now < upstream.busyUntil_ || expectedOutstanding(state, upstream, now) >= limit;
    return full ? Availability::Full : Availability::Free;
}

void noteOutcome(RoutingState &state, UpstreamState &upstream, AttemptResult result, MonoTime now)
{
    const RoutingSettings &settings = state.settings_;
    if (result == AttemptResult::Rejected) {
        upstream.busyUntil_ = now + settings.busyTime_;
        return;
    }
    if (result == AttemptResult::Cancelled)
        return;
    if (!isFailure(result)) {
        upstream.consecutiveFailures_ = 0;
        if (upstream.probesLeft_ > 0 && --upstream.probesLeft_ == 0)
            upstream.ejections_ = 0;
        return;
    }
    ++upstream.consecutiveFailures_;
    const bool probing = upstream.probesLeft_ > 0 && now >= upstream.ejectedUntil_;
    const bool repeated = upstream.consecutiveFailures_ >= settings.failuresBeforeEjection_
        && now >= upstream.ejectedUntil_;
    if (probing || repeated)
        eject(settings, upstream, now);
}

void noteHealth(RoutingState &state, const UpstreamId &upstream, UpstreamHealth health,
                MonoTime now)
{
    UpstreamState *known = findUpstream(state, upstream);
    if (!known)
        return;
    if (health == UpstreamHealth::Unreachable) {
        ++known->missedPolls_;
        return;
    }
    // An upstream that was unreachable may have restarted and is probed first.
    if (known->missedPolls_ >= state.settings_.missedPolls_)
        startProbing(state.settings_, *known);
    known->missedPolls_ = 0;
    const bool leaving = health == UpstreamHealth::Leaving;
    noteLeaving(state, upstream, LeavingSource::Health, leaving, now);
    if (!leaving)
        noteLeaving(state, upstream, LeavingSource::Refusal, false, now);
}

void noteLeaving(RoutingState &state, const UpstreamId &upstream, LeavingSource source,
                 bool leaving, MonoTime now)
{
    UpstreamState *known = findUpstream(state, upstream);
    if (!known)
        return;
    const auto bit = static_cast<std::uint8_t>(source);
    const bool was = known->leaving_ != 0;
    known->leaving_
        = static_cast<std::uint8_t>(leaving ? known->leaving_ | bit : known->leaving_ & ~bit);
    if (!was || known->leaving_ != 0)
        return;
    startProbing(state.settings_, *known);
    known->consecutiveFailures_ = 0;
    known->ejectedUntil_ = now;
}

void noteHostLeaving(RoutingState &state, const HostId &host, LeavingSource source, bool leaving,
                     MonoTime now)
{
    for (const UpstreamState &upstream : state.upstreams_) {
        if (upstream.host_ == host)
            noteLeaving(state, upstream.id_, source, leaving, now);
    }
}

} // namespace tamarack
