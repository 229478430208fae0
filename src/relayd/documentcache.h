// The newest known version of each document of the store, and the positions up to which they are
// known.
#pragma once

#include "core/relay/relay.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace tamarack {

/// @brief What is known of the documents of one feed.
///
/// Invariants: listedAt_ <= position_; contactAt_ is set only while the store delivers the
/// feed to this daemon.
struct FeedState
{
    std::string prefix_;
    /// Position up to which all changes are known, from the store or from peers.
    StorePosition position_;
    /// Position of the last full listing. Removals before it may be unknown, so a peer at an older
    /// position gets all documents. The first position that is known of an era is a listing.
    StorePosition listedAt_;
    /// Last reply of the store.
    std::optional<MonoTime> contactAt_;
};

/// @brief A document that the listing of a newer era does not contain.
struct UnconfirmedDocument
{
    /// Position of the listing.
    StorePosition position_;
    /// The document counts as removed from then on.
    MonoTime until_ {};
};

/// @brief The newest known version of each document. The mutex guards all members after it.
///
/// Invariant: no document is replaced by one with a lower position.
struct DocumentCache
{
    std::mutex mutex_;
    std::map<StoreKey, PeerDocument> documents_;
    std::map<std::string, FeedState> feeds_;
    /// Newest era of the store, from its replies or from peers.
    StoreEra era_;
    /// The newest configuration that could be decoded, and its version. The copy from which a store
    /// returns may contain an older one.
    std::optional<std::string> newestConfig_;
    ConfigVersion newestConfigVersion_;
    /// Evacuations that the store may have lost with its return from a copy. Peers get them until
    /// they are confirmed or count as removed, so that a daemon that starts meanwhile has them.
    std::map<StoreKey, UnconfirmedDocument> unconfirmed_;
    /// Load that replies to other daemons tell; nullptr if this daemon tells none.
    std::shared_ptr<const LoadOffer> loads_;
    /// Confirmed software versions that replies to other daemons tell; nullptr if there are none.
    std::shared_ptr<const ConfirmedVersions> versions_;
};

/// @brief Stores a document in the cache.
/// @return false if the cache has this or a newer version
bool storeIfNewer(DocumentCache &cache, const PeerDocument &document);

/// @brief Records a configuration that could be decoded.
/// @return false if a newer version is known; the cache then keeps that one, so that peers without
/// a configuration get it
bool recordConfigVersion(DocumentCache &cache, const PeerDocument &document, ConfigVersion version);

/// @brief Marks cached documents of a prefix as removed if a listing at @a position doesn't contain
/// them. Documents that changed after the listing are kept.
void markUnlistedRemoved(DocumentCache &cache, const std::string &prefix,
                         const std::set<StoreKey> &listed, StorePosition position);

/// @brief Like markUnlistedRemoved(), but documents of an earlier era are kept as unconfirmed.
/// @param until when they count as removed
void markUnlistedUnconfirmed(DocumentCache &cache, const std::string &prefix,
                             const std::set<StoreKey> &listed, StorePosition position,
                             MonoTime until);

/// @brief Marks unconfirmed documents as removed whose time has passed. The caller holds the mutex.
void removeUnconfirmed(DocumentCache &cache, MonoTime now);

/// @brief Returns the time since the last contact of any feed to the store, or nothing if a feed is
/// unavailable. A watch without a reply says nothing until it ends, but it would have replied to a
/// change as long as the store answers the other feeds. The caller holds the mutex.
std::optional<Millis> contactAge(const DocumentCache &cache, Millis maxAge, MonoTime now);

} // namespace tamarack
