// Choice of the daemons that draw on the ledger for others.
#include "core/relay/lenders.h"

#include "core/hash.h"

#include <algorithm>
#include <set>
#include <string>

namespace tamarack {

namespace {

/// Key of the order in which daemons become lenders.
constexpr std::string_view rankKey = "lender";

void sortByRank(std::vector<PeerAddress> &daemons)
{
    std::sort(daemons.begin(), daemons.end(), [](const PeerAddress &a, const PeerAddress &b) {
        const std::uint64_t weightA = rendezvousWeight(rankKey, a.host_.value_);
        const std::uint64_t weightB = rendezvousWeight(rankKey, b.host_.value_);
        return weightA != weightB ? weightA > weightB : a.host_ < b.host_;
    });
}

bool isAvoided(const AvoidedLenders &avoided, const HostId &host, MonoTime now)
{
    const auto entry = avoided.find(host);
    return entry != avoided.end() && entry->second > now;
}

struct Usable
{
    const Lenders &lenders_;
    const LenderQuery &query_;
    MonoTime now_;

    bool operator()(const PeerAddress &daemon) const
    {
        if (daemon.host_ == lenders_.self_)
            return !query_.ledgerFailing_;
        return !isAvoided(lenders_.silent_, daemon.host_, now_)
            && !isAvoided(query_.empty_, daemon.host_, now_);
    }
};

/// The best for a shard among the first few that are usable.
const PeerAddress *bestOf(const std::vector<PeerAddress> &daemons, std::size_t count,
                          const std::string &shardKey, const Usable &usable)
{
    const PeerAddress *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const PeerAddress &daemon : daemons) {
        if (count == 0)
            break;
        if (!usable(daemon))
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

void setLenders(Lenders &lenders, const HostId &self, const ZoneId &zone,
                const std::vector<PeerAddress> &peers)
{
    lenders.self_ = self;
    lenders.near_ = {PeerAddress {self, zone, {}}};
    lenders.far_.clear();
    std::set<ZoneId> zones {zone};
    for (const PeerAddress &peer : peers) {
        zones.insert(peer.zone_);
        (peer.zone_ == zone ? lenders.near_ : lenders.far_).push_back(peer);
    }
    lenders.zones_ = static_cast<std::uint32_t>(zones.size());
    sortByRank(lenders.near_);
    sortByRank(lenders.far_);
    std::erase_if(lenders.silent_, [&peers](const auto &avoided) {
        return std::none_of(peers.begin(), peers.end(), [&avoided](const PeerAddress &peer) {
            return peer.host_ == avoided.first;
        });
    });
}

std::optional<PeerAddress> lenderOf(const Lenders &lenders, const LenderSettings &settings,
                                    const LenderQuery &query, MonoTime now)
{
    const std::string shardKey = std::to_string(query.shard_.value_);
    const Usable usable {lenders, query, now};
    const PeerAddress *best = bestOf(lenders.near_, settings.perZone_, shardKey, usable);
    if (!best)
        best = bestOf(lenders.far_, settings.perZone_, shardKey, usable);
    if (!best || best->host_ == lenders.self_)
        return std::nullopt;
    return *best;
}

} // namespace tamarack
