// The live daemons, as their registrations show them.
#pragma once

#include "core/event.h"
#include "core/relay/peerranking.h"

#include <cstdint>
#include <vector>

namespace tamarack {

/// @brief Number of live daemons, including this one, and the peer addresses of the others.
struct FleetView
{
    std::uint32_t daemons_ = 1;
    std::uint32_t zoneDaemons_ = 1;
    std::vector<PeerAddress> peers_;
    /// The registration of this daemon was among them, so the others know it too.
    bool listsSelf_ = true;
};

/// @brief Counts the registered daemons that are not stopping.
///
/// Each host counts once, with its newest process: the registration of a killed process remains
/// until its lease expires.
/// @note O(members x log members)
FleetView countFleet(const RegistrationsLoaded &members, const HostId &self, const ZoneId &zone);

} // namespace tamarack
