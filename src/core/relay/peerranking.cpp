// The order in which all daemons of a fleet prefer each other for work on behalf of others.
#include "core/relay/peerranking.h"

#include "core/hash.h"

#include <algorithm>

namespace tamarack {

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

void removeUnknown(std::map<HostId, MonoTime> &entries, const std::vector<PeerAddress> &peers)
{
    std::erase_if(entries, [&peers](const auto &entry) {
        return std::none_of(peers.begin(), peers.end(), [&entry](const PeerAddress &peer) {
            return peer.host_ == entry.first;
        });
    });
}

} // namespace tamarack
