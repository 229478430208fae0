// Which daemons draw on the ledger for others. In each availability zone a few of them do, so that
// the calls to the store grow with zones and not with daemons.
#pragma once

#include "core/ids.h"
#include "core/relay/documentsync.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace tamarack {

struct LenderSettings
{
    /// Daemons of an availability zone that draw on the ledger for all of it. Several share the
    /// shards; more would open more connections within the zone.
    std::size_t perZone_ = 4;
    /// A lender that did not answer is left out for this long.
    Millis silentPause_ {3000};
    /// A lender that can't reach the ledger is left out for this long.
    Millis failingPause_ {1000};
};

/// @brief The daemons that may lend, from the point of view of one of them.
struct Lenders
{
    HostId self_;
    /// Number of availability zones with a daemon, at least 1.
    std::uint32_t zones_ = 1;
    /// The daemons of the own zone, this one included, best candidates first; all daemons of the
    /// zone sort them in the same way.
    std::vector<PeerAddress> near_;
    /// The daemons of other zones, best candidates first.
    std::vector<PeerAddress> far_;
    std::map<HostId, MonoTime> avoidUntil_;
};

/// @brief Takes over which daemons are alive.
/// @param peers the other daemons
/// @note O(peers x log peers)
void setLenders(Lenders &lenders, const HostId &self, const ZoneId &zone,
                const std::vector<PeerAddress> &peers);

/// @brief Leaves a lender out until @a until.
void avoidLender(Lenders &lenders, const HostId &host, MonoTime until);

/// @brief Returns the daemon that draws on a shard of the ledger for the zone of this one. Accounts
/// of one shard share their lender, so that few daemons write the same key.
/// @param ledgerFailing the calls of this daemon to the ledger fail, so it can't draw itself
/// @return nothing if this daemon should draw on the ledger itself
std::optional<PeerAddress> lenderOf(const Lenders &lenders, const LenderSettings &settings,
                                    ShardNumber shard, bool ledgerFailing, MonoTime now);

} // namespace tamarack
