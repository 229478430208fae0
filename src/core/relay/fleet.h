// The live daemons, as their registrations show them.
#pragma once

#include "core/event.h"
#include "core/ids.h"
#include "core/relay/peerranking.h"
#include "core/storeposition.h"

#include <cstdint>
#include <map>
#include <vector>

namespace tamarack {

/// @brief Number of daemons, including this one, and the peer addresses of the others. As an event,
/// what the registrations show; they may lack daemons, see fleetmembers.h.
struct FleetView
{
    std::uint32_t daemons_ = 1;
    std::uint32_t zoneDaemons_ = 1;
    std::vector<PeerAddress> peers_;
    /// The registration of this daemon was among them, so the others know it too.
    bool listsSelf_ = true;
    /// The registered process of each host in peers_.
    std::map<HostId, HolderId> holders_ {};
    /// The process of each host that is registered as stopping.
    std::map<HostId, HolderId> leaving_ {};
    /// Era of the store that the registrations were read from.
    StoreEra era_ {};
};

/// @brief Counts the registered daemons that are not stopping, and this daemon.
///
/// Each host counts once, with its newest process: the registration of a killed process remains
/// until its lease expires.
/// @note O(members x log members)
FleetView countFleet(const RegistrationsLoaded &members, const HostId &self, const ZoneId &zone);

} // namespace tamarack
