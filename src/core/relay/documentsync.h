// Selects the peers that are queried for documents while the store is unavailable.
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
    /// Minimum time between two requests to peers. A new configuration must take effect within
    /// seconds.
    Millis requestInterval_ {300};
    /// Number of peers queried at once. More than one, because the store may be unavailable to some
    /// of the peers too.
    std::size_t fanout_ = 2;
    /// Every n-th request goes to peers in other availability zones. Traffic between zones is
    /// charged, but the store may be unavailable to the whole zone.
    std::size_t otherZoneEvery_ = 3;
};

/// @brief Address of another daemon's peer listener.
struct PeerAddress
{
    HostId host_;
    ZoneId zone_;
    /// "IP:port".
    std::string address_;
};

struct DocumentSync
{
    /// Names of the feeds that the store does not deliver at present.
    std::set<std::string> unavailableFeeds_;
    std::vector<PeerAddress> peers_;
    MonoTime nextRequestAt_ {};
    std::size_t requestCount_ = 0;
};

/// @brief Records whether the store delivers a feed.
void setFeedAvailability(DocumentSync &sync, const std::string &feed, bool available, MonoTime now);

/// @brief Returns the peers to query now; none if all feeds are available or the request interval
/// has not elapsed.
std::vector<PeerAddress> nextSyncPeers(DocumentSync &sync, const DocumentSyncSettings &settings,
                                       const ZoneId &ownZone, MonoTime now);

/// @brief Returns when nextSyncPeers() returns peers next.
std::optional<MonoTime> nextSyncTime(const DocumentSync &sync);

} // namespace tamarack
