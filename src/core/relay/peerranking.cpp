// The order in which all daemons of a fleet prefer each other for work on behalf of others.
#include "core/relay/peerranking.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

namespace {

/// Returns the rank of a daemon for an instance; the smallest is first. Larger hosts are first for
/// more instances (weighted rendezvous hashing).
double rankOf(const PeerAddress &daemon, const UpstreamId &instance)
{
    constexpr double hashValues = 18'446'744'073'709'551'616.0;
    const std::uint64_t hash = rendezvousWeight(instance.value_, daemon.host_.value_);
    const double uniform = (static_cast<double>(hash) + 0.5) / hashValues;
    return -std::log(std::min(uniform, 1.0 - 1e-12)) / std::max(daemon.capacity_, 1U);
}

} // namespace

bool isExcluded(const ExcludedPeers &excluded, const HostId &host, MonoTime now)
{
    const auto entry = excluded.find(host);
    return entry != excluded.end() && entry->second > now;
}

void sortByRank(std::vector<PeerAddress> &daemons, const std::string &purpose)
{
    std::sort(daemons.begin(), daemons.end(), [&](const PeerAddress &a, const PeerAddress &b) {
        if (a.capacity_ != b.capacity_)
            return a.capacity_ > b.capacity_;
        const std::uint64_t weightA = rendezvousWeight(purpose, a.host_.value_);
        const std::uint64_t weightB = rendezvousWeight(purpose, b.host_.value_);
        return weightA != weightB ? weightA > weightB : a.host_ < b.host_;
    });
}

void sortForInstance(std::vector<PeerAddress> &daemons, const UpstreamId &instance,
                     const ZoneId &zone, std::size_t count)
{
    struct Ranked
    {
        bool otherZone_;
        double rank_;
        PeerAddress daemon_;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(daemons.size());
    for (PeerAddress &daemon : daemons)
        ranked.push_back({daemon.zone_ != zone, rankOf(daemon, instance), std::move(daemon)});
    const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), last, ranked.end(), [](const Ranked &a, const Ranked &b) {
        if (a.otherZone_ != b.otherZone_)
            return b.otherZone_;
        return a.rank_ != b.rank_ ? a.rank_ < b.rank_ : a.daemon_.host_ < b.daemon_.host_;
    });
    daemons.clear();
    for (auto it = ranked.begin(); it != last; ++it)
        daemons.push_back(std::move(it->daemon_));
}

void removeUnknown(std::map<HostId, MonoTime> &entries, const std::vector<PeerAddress> &peers)
{
    std::erase_if(entries, [&peers](const auto &entry) {
        return std::none_of(peers.begin(), peers.end(), [&entry](const PeerAddress &peer) {
            return peer.host_ == entry.first;
        });
    });
}

} // namespace tamarack
