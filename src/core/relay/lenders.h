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
    Millis unresponsiveExclusion_ {3000};
    /// A lender that has no tokens and can't reach the ledger is left out for this long.
    Millis noTokensExclusion_ {1000};
};

/// @brief Lenders that are left out, and until when.
using ExcludedLenders = std::map<HostId, MonoTime>;

/// @brief The daemons that may lend, from the point of view of one of them.
struct Lenders
{
    HostId self_;
    /// Number of availability zones with a daemon, at least 1.
    std::uint32_t zones_ = 1;
    /// The daemons of the own zone, this one included, best candidates first; all daemons of the
    /// zone sort them in the same way.
    std::vector<PeerAddress> sameZone_;
    /// The daemons of other zones, best candidates first.
    std::vector<PeerAddress> otherZones_;
    /// Those that did not answer.
    ExcludedLenders unresponsive_;
};

/// @brief Takes over which daemons are alive.
/// @param peers the other daemons
/// @note O(peers x log peers)
void updateLenders(Lenders &lenders, const HostId &self, const ZoneId &zone,
                   const std::vector<PeerAddress> &peers);

/// @brief What a lender is wanted for.
struct LenderQuery
{
    ShardNumber shard_;
    /// The calls of this daemon to the ledger fail, so it can't draw itself.
    bool ledgerFailing_ = false;
    /// Lenders that have no tokens of the account and can't draw any.
    ExcludedLenders withoutTokens_;
};

/// @brief Returns the daemon that draws on a shard of the ledger for the zone of this one. Accounts
/// of one shard share their lender, so that few daemons write the same key.
/// @return nothing if this daemon should draw on the ledger itself
std::optional<PeerAddress> chooseLender(const Lenders &lenders, const LenderSettings &settings,
                                        const LenderQuery &query, MonoTime now);

} // namespace tamarack
