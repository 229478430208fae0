// Decides from where a daemon learns the documents of the store. In each availability zone a few
// observers follow the store; the other daemons poll them. The number of store calls then grows
// with the number of zones and not with the number of daemons.
//
// No agreement is needed: a daemon that is asked for documents follows the store for a while, and a
// daemon that no observer answers follows it itself. Revisions order all versions of a document, so
// it does not matter which source delivers one.
#pragma once

#include "core/ids.h"
#include "core/relay/peerranking.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

struct DocumentSyncSettings
{
    /// Timeout of the watches of the store's documents. Each watch is a charged call. While the
    /// store drops its history, a watch may miss changes until it ends.
    Millis watchTimeout_ {1800};
    /// Timeout of the watch of the configuration. It changes rarely, so this is how often an
    /// observer confirms that it reaches the store.
    Millis contactInterval_ {500};
    /// Observers per availability zone. With two, the failure of one delays a change by one request
    /// interval only.
    std::size_t observersPerZone_ = 2;
    /// Time between two requests to peers. A new configuration must take effect within seconds.
    Millis requestInterval_ {300};
    /// Number of peers queried at once while no observer of the zone has contact to the store.
    std::size_t fanout_ = 2;
    /// Every n-th request goes to other availability zones. Traffic between zones is charged, but
    /// the observers of a zone may lose the store at the same time and not notice for seconds.
    std::size_t otherZoneEvery_ = 4;
    /// A peer that has not replied for this long is excluded until it replies to a probe. Without
    /// probes, all daemons of a zone would return to a dead observer at the same time.
    Millis replyTimeout_ {700};
    Millis probeInterval_ {3000};
    /// A feed whose last contact to the store is older than watchTimeout_ and this counts as
    /// unavailable.
    Millis maxContactDelay_ {1000};
    /// A reply of the store that is later than contactInterval_ by this is overdue: the daemon asks
    /// peers. The call itself may take several times as long until it fails.
    Millis maxReplyDelay_ {400};
    /// Maximum age of what a daemon relies on peers for, counted from the peer's last contact to
    /// the store. With older information, the daemon follows the store itself.
    Millis freshLifetime_ {1300};
    /// A daemon that knows no other daemon yet waits this long before it follows the store: the
    /// daemons of a new fleet start together and see each other's registrations only later.
    Millis startupWait_ {1500};
    /// A daemon that was asked for documents follows the store for this long.
    Millis observeOnRequest_ {3000};
    /// A transfer of large documents is overdue after replyTimeout_ and the time for its bytes at
    /// this rate, a tenth of the smallest link.
    double minTransferBytesPerSecond_ = 128.0 * 1024.0;
    /// A daemon that has heard neither from the store nor from others for longer is out of step:
    /// instances may have been replaced meanwhile.
    Millis maxSilence_ {2000};
    /// It is in step again this long after it hears from them. Entries of new processes may take
    /// as long to arrive.
    Millis stepDelay_ {1000};
    /// A daemon whose knowledge of the configuration is older refuses no request for good.
    Millis maxConfigAge_ {3000};
    /// While peers reply but have no contact to the store, the daemons that are not observers start
    /// to follow it at different times up to this one, by hash, so that they don't call it at once.
    Millis maxFollowDelay_ {2000};
};

/// @brief Returns settings with which a daemon that reaches the store knows each change in time,
/// whatever its observers reach.
/// @param applyTime time within which a change must take effect, from its confirmation by the store
/// @param settleTime time after a disturbance of the store within which all changes must be known
DocumentSyncSettings documentSyncSettings(Millis applyTime, Millis settleTime);

/// @brief A transfer of large documents from a peer.
struct DocumentTransfer
{
    HostId from_;
    MonoTime startedAt_ {};
    std::uint64_t bytes_ = 0;
    /// Another transfer may start from then on.
    MonoTime overdueAt_ {};
};

/// Invariant: sameZone_ and otherZones_ are sorted by rank; sameZone_ contains this daemon if
/// any other daemon is known.
struct DocumentSync
{
    HostId self_;
    MonoTime startedAt_ {};
    /// The registrations of other daemons have been seen.
    bool peersSeen_ = false;
    /// startupWait_ has passed, or peersSeen_ is set.
    bool startupOver_ = false;
    std::vector<PeerAddress> sameZone_;
    std::vector<PeerAddress> otherZones_;
    /// Names of the feeds that the store does not deliver at present.
    std::set<std::string> unavailableFeeds_;
    /// From when on the reply of the store that this daemon waits for is overdue. Set while the
    /// daemon follows the store.
    std::optional<MonoTime> replyDueAt_;
    /// The store has replied to this daemon, so that it has documents.
    bool hadStoreReply_ = false;
    /// Peers that did not reply in time, and when each is probed next.
    std::map<HostId, MonoTime> silent_;
    /// When the first request without a reply was sent, by peer.
    std::map<HostId, MonoTime> unanswered_;
    /// Last contact to the store of any peer that replied: the age of what is known from peers.
    std::optional<MonoTime> freshAt_;
    /// All changes up to this time are known: like freshAt_, but without the time that a reply
    /// took. Whom to ask is decided by freshAt_. If that counted the time in transit as well,
    /// daemons whose links are full of documents would ask more peers for documents.
    std::optional<MonoTime> completeAt_;
    /// All configurations up to this time are known; nothing if there was no reply yet. Like
    /// completeAt_, but replies that announce a configuration don't count.
    std::optional<MonoTime> configAt_;
    /// Up to when this daemon is known to have heard from others, and since when without a gap.
    std::optional<MonoTime> heardAt_;
    MonoTime inStepSince_ {};
    /// The peer that last replied with recent contact.
    HostId freshFrom_;
    /// Peers that replied without contact to the store, and until when they are asked last.
    std::map<HostId, MonoTime> withoutContact_;
    /// Last reply from any peer.
    std::optional<MonoTime> repliedAt_;
    /// Last request from another daemon.
    std::optional<MonoTime> requestedAt_;
    MonoTime nextRequestAt_ {};
    std::size_t requestCount_ = 0;
    /// The transfer in progress. There is only one, because several would share the link, take
    /// longer, and be started again as overdue.
    std::optional<DocumentTransfer> transfer_;
};

/// @brief Updates the known daemons after a membership change.
/// @param self this daemon
/// @param peers all other live daemons
/// @note O(peers x log peers)
void updateSyncPeers(DocumentSync &sync, const PeerAddress &self,
                     const std::vector<PeerAddress> &peers);

/// @brief Records whether the store delivers a feed.
void setFeedAvailability(DocumentSync &sync, const std::string &feed, bool available, MonoTime now);

/// @brief Records that this daemon begins or ends to follow the store.
void setFollowing(DocumentSync &sync, const DocumentSyncSettings &settings, bool follows,
                  MonoTime now);

/// @brief Records a reply of the store to the watch of the configuration.
/// @param knownAt all changes up to this time are known by it
void recordStoreReply(DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime knownAt,
                      MonoTime now);

/// @brief Records that the machine was suspended for a time that the steady clock has not counted:
/// what is known, and replies that are on their way, are older than they seem.
void recordSuspension(DocumentSync &sync, MonoTime now);

/// @brief Returns false if there may be a newer configuration for longer than it may take to apply.
bool isConfigCurrent(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now);

/// @brief Returns false if this daemon stood still or heard from nobody lately, so that what it
/// knows of the instances is older than it looks.
bool isInStep(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now);

/// @brief Returns true if the store has not replied in time to this daemon, which follows it.
bool isReplyOverdue(const DocumentSync &sync, MonoTime now);

/// @brief Records that another daemon asked for documents.
void recordDocumentsRequest(DocumentSync &sync, MonoTime now);

/// @brief Records the reply of a peer, whose documents have been applied.
/// @param contactAge time since the peer's last contact to the store; std::nullopt if it has
/// none
/// @param announces the reply announces documents and does not contain them
void recordDocumentsReply(DocumentSync &sync, const DocumentSyncSettings &settings,
                          const HostId &from, std::optional<Millis> contactAge, bool announces,
                          MonoTime now);

/// @brief Starts a transfer of large documents that a peer has announced.
/// @return false if another transfer is in progress
bool startTransfer(DocumentSync &sync, const DocumentSyncSettings &settings, const HostId &from,
                   std::uint64_t bytes, MonoTime now);

/// @brief Records that a peer has replied to the request for large documents.
/// @param contactAge like that of recordDocumentsReply()
/// @return the transfer, or nothing if another one was started meanwhile
std::optional<DocumentTransfer> endTransfer(DocumentSync &sync, const HostId &from,
                                            std::optional<Millis> contactAge);

/// @brief Returns true if this daemon follows the store itself.
bool followsStore(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now);

/// @brief Returns false if neither this daemon nor a peer that it queries has contact to the
/// store.
bool hasStoreContact(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now);

/// @brief Returns the peers to query now; none if this daemon needs none or the request
/// interval has not elapsed.
std::vector<PeerAddress> nextSyncPeers(DocumentSync &sync, const DocumentSyncSettings &settings,
                                       MonoTime now);

/// @brief Returns when nextSyncPeers() may return peers next.
std::optional<MonoTime> nextSyncTime(const DocumentSync &sync,
                                     const DocumentSyncSettings &settings);

} // namespace tamarack
