// For unit tests of the limits alone: the daemons that a member of the fleet knows after some have
// left.
#pragma once

#include "core/relay/relay.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace tamarack {

/// Returns the daemons of a complete fleet. Those that were known before and are not among them
/// have left just now.
inline FleetPeers peersAfterDepartures(const InstanceLimits &before, const PeerAddress &self,
                                       std::vector<PeerAddress> peers, MonoTime now)
{
    FleetPeers fleet {self, std::move(peers), before.departed_, true, now};
    for (const PeerAddress &known : before.daemons_) {
        const auto isSame = [&known](const PeerAddress &peer) {
            return peer.host_ == known.host_;
        };
        if (known.host_ != self.host_
            && std::none_of(fleet.peers_.begin(), fleet.peers_.end(), isSame))
            fleet.departed_.emplace_back(known, now);
    }
    return fleet;
}

} // namespace tamarack
