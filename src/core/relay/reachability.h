// Decides whether this host reaches the instances at all, or has lost its links to them while
// clients, the store and other daemons still reach it.
//
// Only new connections count: existing ones may hang without a sign, or live on while new ones are
// refused. A connect that fails says something about one instance. Failures at several hosts, with
// no connect that succeeded in between, say something about this host.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace tamarack {

struct ReachabilitySettings
{
    /// Number of hosts of instances to which connects must have failed for this host to be cut off.
    /// More instances than that rarely fail within the window.
    std::size_t minHosts_ = 3;
    /// The same for a single request to be handed over.
    std::size_t minHostsForRequest_ = 2;
    /// A failure counts for this long.
    Millis window_ {3000};
    /// Interval at which a host that is cut off tries to connect to an instance.
    Millis probeInterval_ {500};
};

struct Reachability
{
    /// Last failed connect to each host since a connect has succeeded.
    std::map<std::string, MonoTime> failedAt_;
    bool isCutOff_ = false;
    /// Set while this host is cut off.
    std::optional<MonoTime> nextProbeAt_;
    /// Counts the probes, so that each goes to another instance.
    std::uint64_t probes_ = 0;
};

/// @brief Records that no connection could be established to an instance.
/// @param address "IP:port"
/// @return true if this host is cut off from now on
bool recordConnectFailed(Reachability &reachability, const ReachabilitySettings &settings,
                         const std::string &address, MonoTime now);

/// @brief Records that a connection was established to an instance.
/// @param since when it was begun; one that is older than a failure shows nothing
/// @return true if this host was cut off until now
bool recordConnected(Reachability &reachability, MonoTime since);

/// @brief Returns true if connects to several hosts have failed lately.
bool mayBeCutOff(const Reachability &reachability, const ReachabilitySettings &settings,
                 MonoTime now);

/// @brief Returns true if an instance is to be probed now, and schedules the next probe.
bool takeDueProbe(Reachability &reachability, const ReachabilitySettings &settings, MonoTime now);

} // namespace tamarack
