// Selects the daemons that draw tokens from the ledger on behalf of others.
#include "core/relay/lenders.h"

#include "core/hash.h"

#include <algorithm>
#include <set>
#include <string>

namespace tamarack {

namespace {

/// Rendezvous hashing key that ranks the daemons as lenders.
constexpr std::string_view rankKey = "lender";

void sortByRank(std::vector<PeerAddress> &daemons)
{
    std::sort(daemons.begin(), daemons.end(), [](const PeerAddress &a, const PeerAddress &b) {
        const std::uint64_t weightA = rendezvousWeight(rankKey, a.host_.value_);
        const std::uint64_t weightB = rendezvousWeight(rankKey, b.host_.value_);
        return weightA != weightB ? weightA > weightB : a.host_ < b.host_;
    });
}

bool isExcluded(const ExcludedLenders &excluded, const HostId &host, MonoTime now)
{
    const auto entry = excluded.find(host);
    return entry != excluded.end() && entry->second > now;
}

struct IsEligible
{
    const Lenders &lenders_;
    const LenderQuery &query_;
    MonoTime now_;

    bool operator()(const PeerAddress &daemon) const
    {
        if (daemon.host_ == lenders_.self_)
            return !query_.ledgerFailing_;
        return !isExcluded(lenders_.unresponsive_, daemon.host_, now_)
            && !isExcluded(query_.withoutTokens_, daemon.host_, now_);
    }
};

/// Returns the daemon with the highest weight for a shard among the first @a count eligible ones.
const PeerAddress *highestRanked(const std::vector<PeerAddress> &daemons, std::size_t count,
                                 const std::string &shardKey, const IsEligible &isEligible)
{
    const PeerAddress *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const PeerAddress &daemon : daemons) {
        if (count == 0)
            break;
        if (!isEligible(daemon))
            continue;
        --count;
        const std::uint64_t weight = rendezvousWeight(shardKey, daemon.host_.value_);
        if (!best || weight > bestWeight) {
            best = &daemon;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace

void updateLenders(Lenders &lenders, const HostId &self, const ZoneId &zone,
                   const std::vector<PeerAddress> &peers)
{
    lenders.self_ = self;
    lenders.sameZone_ = {PeerAddress {self, zone, {}}};
    lenders.otherZones_.clear();
    std::set<ZoneId> zones {zone};
    for (const PeerAddress &peer : peers) {
        zones.insert(peer.zone_);
        (peer.zone_ == zone ? lenders.sameZone_ : lenders.otherZones_).push_back(peer);
    }
    lenders.zones_ = static_cast<std::uint32_t>(zones.size());
    sortByRank(lenders.sameZone_);
    sortByRank(lenders.otherZones_);
    std::erase_if(lenders.unresponsive_, [&peers](const auto &excluded) {
        return std::none_of(peers.begin(), peers.end(), [&excluded](const PeerAddress &peer) {
            return peer.host_ == excluded.first;
        });
    });
}

std::optional<PeerAddress> chooseLender(const Lenders &lenders, const LenderSettings &settings,
                                        const LenderQuery &query, MonoTime now)
{
    const std::string shardKey = std::to_string(query.shard_.value_);
    const IsEligible isEligible {lenders, query, now};
    const PeerAddress *best
        = highestRanked(lenders.sameZone_, settings.perZone_, shardKey, isEligible);
    if (!best)
        best = highestRanked(lenders.otherZones_, settings.perZone_, shardKey, isEligible);
    if (!best || best->host_ == lenders.self_)
        return std::nullopt;
    return *best;
}

} // namespace tamarack
