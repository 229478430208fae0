// Whom a daemon asks for documents while the store does not answer it.
#include "core/relay/documentsync.h"

#include <algorithm>

namespace tamarack {

void noteFeed(DocumentSync &sync, const std::string &feed, bool available, MonoTime now)
{
    if (available) {
        sync.lost_.erase(feed);
        return;
    }
    if (sync.lost_.empty())
        sync.askAt_ = now;
    sync.lost_.insert(feed);
}

std::vector<PeerAddress> peersToAsk(DocumentSync &sync, const DocumentSyncSettings &settings,
                                    const ZoneId &ownZone, MonoTime now)
{
    std::vector<PeerAddress> asked;
    if (sync.lost_.empty() || sync.peers_.empty() || now < sync.askAt_)
        return asked;
    sync.askAt_ = now + settings.askInterval_;
    ++sync.questions_;
    const bool otherZones = sync.questions_ % settings.otherZoneEvery_ == 0;
    std::vector<PeerAddress> candidates;
    std::copy_if(sync.peers_.begin(), sync.peers_.end(), std::back_inserter(candidates),
                 [&](const PeerAddress &peer) { return (peer.zone_ == ownZone) != otherZones; });
    if (candidates.empty())
        candidates = sync.peers_;
    const std::size_t count = std::min(settings.fanout_, candidates.size());
    for (std::size_t i = 0; i < count; ++i)
        asked.push_back(candidates[(sync.questions_ * settings.fanout_ + i) % candidates.size()]);
    return asked;
}

std::optional<MonoTime> nextQuestion(const DocumentSync &sync)
{
    if (sync.lost_.empty() || sync.peers_.empty())
        return std::nullopt;
    return sync.askAt_;
}

} // namespace tamarack
