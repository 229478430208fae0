// Decides whether this host reaches the instances at all.
#include "core/relay/reachability.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

std::size_t recentFailures(const Reachability &reachability, const ReachabilitySettings &settings,
                           MonoTime now)
{
    return static_cast<std::size_t>(
        std::count_if(reachability.failedAt_.begin(), reachability.failedAt_.end(),
                      [&](const auto &entry) { return now - entry.second <= settings.window_; }));
}

} // namespace

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

bool recordConnectFailed(Reachability &reachability, const ReachabilitySettings &settings,
                         const std::string &address, std::size_t knownHosts, MonoTime now)
{
    reachability.failedAt_[hostOf(address)] = now;
    const std::size_t failures = recentFailures(reachability, settings, now);
    if (reachability.isCutOff_ || failures < std::min(settings.suspectHosts_, knownHosts))
        return false;
    if (!reachability.nextProbeAt_)
        reachability.nextProbeAt_ = std::max(now, reachability.probedAt_ + settings.probeInterval_);
    reachability.isCutOff_
        = failures >= std::max(std::min(settings.minHosts_, knownHosts), std::size_t {2});
    return reachability.isCutOff_;
}

bool recordConnected(Reachability &reachability, MonoTime since)
{
    std::erase_if(reachability.failedAt_,
                  [since](const auto &entry) { return entry.second <= since; });
    if (!reachability.failedAt_.empty())
        return false;
    reachability.nextProbeAt_.reset();
    return std::exchange(reachability.isCutOff_, false);
}

bool mayBeCutOff(const Reachability &reachability, const ReachabilitySettings &settings,
                 MonoTime now)
{
    return reachability.isCutOff_
        || recentFailures(reachability, settings, now) >= settings.suspectHosts_;
}

bool takeDueProbe(Reachability &reachability, const ReachabilitySettings &settings, MonoTime now)
{
    if (!reachability.nextProbeAt_ || now < *reachability.nextProbeAt_)
        return false;
    reachability.probedAt_ = now;
    if (mayBeCutOff(reachability, settings, now))
        reachability.nextProbeAt_ = now + settings.probeInterval_;
    else
        reachability.nextProbeAt_.reset();
    return true;
}

} // namespace tamarack
