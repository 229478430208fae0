// Decides whether this host reaches the instances at all.
#include "core/relay/reachability.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

std::size_t recentFailures(const Reachability &reachability, const ReachabilitySettings &settings,
                           MonoTime now)
{
    return static_cast<std::size_t>(
        std::count_if(reachability.failedAt_.begin(), reachability.failedAt_.end(),
                      [&](const auto &entry) { return now - entry.second <= settings.window_; }));
}

} // namespace

bool recordConnectFailed(Reachability &reachability, const ReachabilitySettings &settings,
                         const std::string &address, MonoTime now)
{
    reachability.failedAt_[hostOf(address)] = now;
    if (reachability.isCutOff_ || recentFailures(reachability, settings, now) < settings.minHosts_)
        return false;
    reachability.isCutOff_ = true;
    reachability.nextProbeAt_ = now;
    return true;
}

bool recordConnected(Reachability &reachability, MonoTime since)
{
    const bool isOlder = std::any_of(reachability.failedAt_.begin(), reachability.failedAt_.end(),
                                     [since](const auto &entry) { return since < entry.second; });
    if (isOlder)
        return false;
    reachability.failedAt_.clear();
    reachability.nextProbeAt_.reset();
    return std::exchange(reachability.isCutOff_, false);
}

bool mayBeCutOff(const Reachability &reachability, const ReachabilitySettings &settings,
                 MonoTime now)
{
    return reachability.isCutOff_
        || recentFailures(reachability, settings, now) >= settings.minHostsForRequest_;
}

bool takeDueProbe(Reachability &reachability, const ReachabilitySettings &settings, MonoTime now)
{
    if (!reachability.nextProbeAt_ || now < *reachability.nextProbeAt_)
        return false;
    reachability.nextProbeAt_ = now + settings.probeInterval_;
    ++reachability.probes_;
    return true;
}

} // namespace tamarack
