// Decides whether this host reaches the instances at all, or has lost its links to them while
// clients, the store and other daemons still reach it.
//
// Only new connections count: existing ones may hang without a sign, or live on while new ones are
// refused. A connect that fails says something about one instance, and several may have failed at
// once. So failures at a few hosts, with no connect that succeeded in between, are a suspicion
// only: others are probed, and if they fail as well, this host has lost its links.
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
    /// Number of hosts of instances to which connects must have failed for a suspicion.
    std::size_t suspectHosts_ = 3;
    /// The same for this host to be cut off, or all known hosts if there are fewer. If a third of
    /// them fails at once, it is all of eight in one of 6,000 cases.
    std::size_t minHosts_ = 8;
    /// A failure counts for this long.
    Millis window_ {3000};
    /// Interval between probes, while this host is cut off or suspected to be.
    Millis probeInterval_ {500};
};

struct Reachability
{
    /// Last failed connect to each host since a connect has succeeded.
    std::map<std::string, MonoTime> failedAt_;
    bool isCutOff_ = false;
    /// Set while this host is cut off or suspected to be.
    std::optional<MonoTime> nextProbeAt_;
    /// When instances were last probed.
    MonoTime probedAt_ {};
    /// Position in the list of instances, so that each probe goes to another one.
    std::size_t nextInstance_ = 0;
};

/// @brief Records that no connection could be established to an instance.
/// @param address "IP:port"
/// @param knownHosts number of hosts of instances
/// @return true if this host is cut off from now on
bool recordConnectFailed(Reachability &reachability, const ReachabilitySettings &settings,
                         const std::string &address, std::size_t knownHosts, MonoTime now);

/// @brief Returns the part of an address that names the host.
std::string hostOf(const std::string &address);

/// @brief Records that a connection was established to an instance.
/// @param since when it was begun; it shows nothing of later failures
/// @return true if this host was cut off until now
bool recordConnected(Reachability &reachability, MonoTime since);

/// @brief Returns true if this host is cut off or suspected to be.
bool mayBeCutOff(const Reachability &reachability, const ReachabilitySettings &settings,
                 MonoTime now);

/// @brief Returns true if instances are to be probed now, and schedules the next probe.
bool takeDueProbe(Reachability &reachability, const ReachabilitySettings &settings, MonoTime now);

} // namespace tamarack
