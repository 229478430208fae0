// Who else serves: the daemons as their registrations show them.
#pragma once

#include "core/event.h"
#include "core/relay/documentsync.h"

#include <cstdint>
#include <vector>

namespace tamarack {

/// @brief How many daemons are alive, this one included, and where the others listen.
struct FleetCounted
{
    std::uint32_t daemons_ = 1;
    std::uint32_t zoneDaemons_ = 1;
    std::vector<PeerAddress> peers_;
};

/// @brief Counts the registered daemons that don't stop.
///
/// A host counts once, by its newest run: the registration of a run that was killed stays until its
/// lease ends.
/// @note O(members x log members)
FleetCounted countFleet(const RegistrationsLoaded &members, const HostId &self, const ZoneId &zone);

} // namespace tamarack
