// Selects the daemons that draw tokens from the ledger on behalf of others.
#include "core/relay/lenders.h"

#include "core/hash.h"

#include <algorithm>
#include <set>
#include <string>

namespace tamarack {

namespace {

/// Rendezvous hashing key that ranks the daemons as lenders.
constexpr const char *rankPurpose = "lender";

bool hasTokens(const Lenders &lenders, const LenderQuery &query, const HostId &host, MonoTime now)
{
    if (host == lenders.self_)
        return !query.ledgerFailing_;
    return !isExcluded(query.withoutTokens_, host, now);
}

/// Returns the daemon with the highest weight for a shard among the lenders that have tokens. The
/// lenders are the first @a count responsive daemons; one without tokens is not replaced by the
/// next daemon, because that one has none either.
const PeerAddress *highestRanked(const std::vector<PeerAddress> &daemons, std::size_t count,
                                 const std::string &shardKey, const Lenders &lenders,
                                 const LenderQuery &query, MonoTime now)
{
    const PeerAddress *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const PeerAddress &daemon : daemons) {
        if (count == 0)
            break;
        if (isExcluded(lenders.unresponsive_, daemon.host_, now))
            continue;
        --count;
        if (!hasTokens(lenders, query, daemon.host_, now))
            continue;
        const std::uint64_t weight = rendezvousWeight(shardKey, daemon.host_.value_);
        if (!best || weight > bestWeight) {
            best = &daemon;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace

void updateLenders(Lenders &lenders, const PeerAddress &self, const std::vector<PeerAddress> &peers)
{
    lenders.self_ = self.host_;
    lenders.sameZone_ = {self};
    lenders.otherZones_.clear();
    std::set<ZoneId> zones {self.zone_};
    for (const PeerAddress &peer : peers) {
        zones.insert(peer.zone_);
        (peer.zone_ == self.zone_ ? lenders.sameZone_ : lenders.otherZones_).push_back(peer);
    }
    lenders.zones_ = static_cast<std::uint32_t>(zones.size());
    sortByRank(lenders.sameZone_, rankPurpose);
    sortByRank(lenders.otherZones_, rankPurpose);
    removeUnknown(lenders.unresponsive_, peers);
}

LenderChoice chooseLender(const Lenders &lenders, const LenderSettings &settings,
                          const LenderQuery &query, MonoTime now)
{
    if (lenders.sameZone_.empty())
        return LenderChoice {};
    const std::string shardKey = std::to_string(query.shard_.value_);
    const PeerAddress *best
        = highestRanked(lenders.sameZone_, settings.perZone_, shardKey, lenders, query, now);
    if (!best)
        best = highestRanked(lenders.otherZones_, settings.perZone_, shardKey, lenders, query, now);
    if (!best)
        return LenderChoice {TokenSource::None, {}};
    if (best->host_ == lenders.self_)
        return LenderChoice {};
    return LenderChoice {TokenSource::Lender, *best};
}

} // namespace tamarack
