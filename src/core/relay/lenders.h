// Selects the daemons that draw tokens from the ledger on behalf of others. Each availability zone
// has a few lenders, so that the number of store calls grows with the number of zones and not with
// the number of daemons.
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
    /// Lenders per availability zone. Several lenders share the ledger shards; more lenders would
    /// need more connections within the zone.
    std::size_t perZone_ = 4;
    /// How long a lender that did not reply is excluded.
    Millis unresponsiveExclusion_ {3000};
    /// How long a lender that has no tokens and can't reach the ledger is excluded.
    Millis noTokensExclusion_ {1000};
};

/// @brief Excluded lenders and when each exclusion ends.
using ExcludedLenders = std::map<HostId, MonoTime>;

/// @brief Candidate lenders, as seen by one daemon.
struct Lenders
{
    HostId self_;
    /// Number of availability zones that have a daemon; at least 1.
    std::uint32_t zones_ = 1;
    /// Daemons of this daemon's zone, including itself, by descending rank. All daemons of the zone
    /// compute the same order.
    std::vector<PeerAddress> sameZone_;
    /// Daemons of other zones, by descending rank.
    std::vector<PeerAddress> otherZones_;
    /// Lenders that did not reply in time.
    ExcludedLenders unresponsive_;
};

/// @brief Updates the candidates after a membership change.
/// @param peers all other live daemons
/// @note O(peers x log peers)
void updateLenders(Lenders &lenders, const HostId &self, const ZoneId &zone,
                   const std::vector<PeerAddress> &peers);

/// @brief Criteria for choosing a lender.
struct LenderQuery
{
    ShardNumber shard_;
    /// The ledger calls of this daemon fail, so it can't draw for itself.
    bool ledgerFailing_ = false;
    /// Lenders that have no tokens of the account and can't draw any.
    ExcludedLenders withoutTokens_;
};

/// @brief Returns the daemon that draws from a ledger shard on behalf of this daemon. Accounts of
/// the same shard have the same lender, so that few daemons write to the same key.
/// @return std::nullopt if this daemon should draw from the ledger itself
std::optional<PeerAddress> chooseLender(const Lenders &lenders, const LenderSettings &settings,
                                        const LenderQuery &query, MonoTime now);

} // namespace tamarack
