// The order in which all daemons of a fleet prefer each other for work on behalf of others.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Address of another daemon's peer listener.
struct PeerAddress
{
    HostId host_;
    ZoneId zone_;
    /// "IP:port".
    std::string address_;
    /// Processing capacity in thousandths of a processor core; 0 if unknown.
    std::uint32_t capacity_ = 0;
    /// "IP:port" at which it takes over requests; empty if it takes over none.
    std::string handoverAddress_ {};
};

/// @brief Daemons that are left out of a choice, and when that ends.
using ExcludedPeers = std::map<HostId, MonoTime>;

/// @brief Returns true if the exclusion of a daemon has not ended.
bool isExcluded(const ExcludedPeers &excluded, const HostId &host, MonoTime now);

/// @brief Sorts daemons by descending rank: larger hosts first, because the load of a daemon that
/// works for others grows with the zone; hosts of the same capacity by rendezvous hashing. All
/// daemons compute the same order.
/// @param purpose hashing key, which gives each kind of work its own order
/// @note O(daemons x log daemons)
void sortByRank(std::vector<PeerAddress> &daemons, const std::string &purpose);

/// @brief Sorts daemons by their rank for an instance, those of its availability zone first, and
/// keeps the first @a count. Larger hosts are first for more instances (weighted rendezvous
/// hashing).
/// @note O(daemons x log count)
void sortForInstance(std::vector<PeerAddress> &daemons, const UpstreamId &instance,
                     const ZoneId &zone, std::size_t count);

/// @brief Removes the entries of daemons that are not in @a peers.
void removeUnknown(std::map<HostId, MonoTime> &entries, const std::vector<PeerAddress> &peers);

} // namespace tamarack
