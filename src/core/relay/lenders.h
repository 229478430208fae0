// Selects the daemons that draw tokens from the ledger on behalf of others. Each availability zone
// has a few lenders, so that the number of store calls grows with the number of zones and not with
// the number of daemons.
#pragma once

#include "core/ids.h"
#include "core/relay/peerranking.h"
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
    /// A lender that has not replied to requests for this long is excluded, and the next daemon in
    /// rank becomes a lender.
    Millis maxSilence_ {700};
    /// How long a lender that has no tokens and can't reach the ledger is excluded.
    Millis noTokensExclusion_ {1000};
};

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
    ExcludedPeers unresponsive_;
};

/// @brief Updates the candidates after a membership change.
/// @param self this daemon
/// @param peers all other live daemons
/// @note O(peers x log peers)
void updateLenders(Lenders &lenders, const PeerAddress &self,
                   const std::vector<PeerAddress> &peers);

/// @brief Criteria for choosing a lender.
struct LenderQuery
{
    ShardNumber shard_;
    /// The ledger calls of this daemon fail, so it can't draw for itself.
    bool ledgerFailing_ = false;
    /// Lenders that have no tokens of the account and can't draw any.
    ExcludedPeers withoutTokens_;
};

/// @brief From where a daemon gets tokens of an account.
enum class TokenSource {
    /// This daemon is the lender and draws from the ledger.
    Ledger,
    /// Another daemon lends them.
    Lender,
    /// All lenders have recently had none and can't reach the ledger. This daemon doesn't call the
    /// ledger itself: if it did, all daemons of a fleet would call a store that doesn't reply.
    None,
};

struct LenderChoice
{
    TokenSource source_ = TokenSource::Ledger;
    /// Set if source_ is Lender.
    PeerAddress lender_;
};

/// @brief Returns the daemon that draws from a ledger shard on behalf of this daemon. Accounts of
/// the same shard have the same lender, so that few daemons write to the same key. If the lenders
/// of the zone have no tokens, those of other zones are chosen.
LenderChoice chooseLender(const Lenders &lenders, const LenderSettings &settings,
                          const LenderQuery &query, MonoTime now);

} // namespace tamarack
