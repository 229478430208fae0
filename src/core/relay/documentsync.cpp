// Selects the peers that are queried for documents while the store is unavailable.
#include "core/relay/documentsync.h"

#include <algorithm>

namespace tamarack {

void setFeedAvailability(DocumentSync &sync, const std::string &feed, bool available, MonoTime now)
{
    if (available) {
        sync.unavailableFeeds_.erase(feed);
        return;
    }
    if (sync.unavailableFeeds_.empty())
        sync.nextRequestAt_ = now;
    sync.unavailableFeeds_.insert(feed);
}

std::vector<PeerAddress> nextSyncPeers(DocumentSync &sync, const DocumentSyncSettings &settings,
                                       const ZoneId &ownZone, MonoTime now)
{
    std::vector<PeerAddress> selected;
    if (sync.unavailableFeeds_.empty() || sync.peers_.empty() || now < sync.nextRequestAt_)
        return selected;
    sync.nextRequestAt_ = now + settings.requestInterval_;
    ++sync.requestCount_;
    const bool otherZones = sync.requestCount_ % settings.otherZoneEvery_ == 0;
    std::vector<PeerAddress> candidates;
    std::copy_if(sync.peers_.begin(), sync.peers_.end(), std::back_inserter(candidates),
                 [&](const PeerAddress &peer) { return (peer.zone_ == ownZone) != otherZones; });
    if (candidates.empty())
        candidates = sync.peers_;
    const std::size_t count = std::min(settings.fanout_, candidates.size());
    for (std::size_t i = 0; i < count; ++i)
        selected.push_back(
            candidates[(sync.requestCount_ * settings.fanout_ + i) % candidates.size()]);
    return selected;
}

std::optional<MonoTime> nextSyncTime(const DocumentSync &sync)
{
    if (sync.unavailableFeeds_.empty() || sync.peers_.empty())
        return std::nullopt;
    return sync.nextRequestAt_;
}

} // namespace tamarack
