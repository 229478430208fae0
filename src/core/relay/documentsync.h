// Whom a daemon asks for documents while the store does not answer it.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

struct DocumentSyncSettings
{
    /// Pause between two questions. A configuration has to be in force within seconds.
    Millis requestInterval_ {300};
    /// Daemons asked at once; some of them may be refused by the store too.
    std::size_t fanout_ = 2;
    /// One of this many questions goes to other availability zones, because bytes between zones
    /// have a price, but the store may refuse the whole zone.
    std::size_t otherZoneEvery_ = 3;
};

/// @brief Another daemon's listener.
struct PeerAddress
{
    HostId host_;
    ZoneId zone_;
    /// "IP:port".
    std::string address_;
};

struct DocumentSync
{
    /// Names of the feeds that the store does not answer.
    std::set<std::string> unavailableFeeds_;
    std::vector<PeerAddress> peers_;
    MonoTime nextRequestAt_ {};
    std::size_t requestCount_ = 0;
};

/// @brief Notes whether the store answers a feed.
void setFeedAvailability(DocumentSync &sync, const std::string &feed, bool available, MonoTime now);

/// @brief Returns the peers to ask now, none if nothing is lost or it is too early.
std::vector<PeerAddress> nextSyncPeers(DocumentSync &sync, const DocumentSyncSettings &settings,
                                       const ZoneId &ownZone, MonoTime now);

/// @brief Returns when nextSyncPeers() has work to do next.
std::optional<MonoTime> nextSyncTime(const DocumentSync &sync);

} // namespace tamarack
