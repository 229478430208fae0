// Reads the documents of a relay daemon from the store or from peers, and sends them to peers on
// request.
#pragma once

#include "adapters/relayhttp/relayhttp.h"

#include "core/relay/relay.h"
#include "ports/feed.h"
#include "ports/ports.h"
#include "relayd/follower.h"
#include "relayd/relayd.h"
#include "runtime/runtime.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
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
    /// Load that replies to other daemons tell; nullptr if this daemon tells none.
    std::shared_ptr<const LoadOffer> loads_;
};

/// @brief Data for converting documents to events of the control thread.
struct DocumentReader
{
    const RelayDocuments &formats_;
    BlockingQueue<RelayEvent> &queue_;
    LogPort log_;
    /// A feed without contact to the store for longer than this is taken for unavailable.
    Millis maxContactAge_;
    DocumentCache cache_;

    DocumentReader(const RelayDocuments &formats, BlockingQueue<RelayEvent> &queue, LogPort log,
                   Millis maxContactAge);
};

/// @brief Returns the handlers for the follower of the configuration.
FollowerHandlers configHandlers(DocumentReader &reader);

/// @brief Returns the handlers for the follower of the instances.
FollowerHandlers instanceHandlers(DocumentReader &reader);

/// @brief Returns a request for the documents that changed after the known positions.
/// @param replyAddress address to which the peer sends its reply
/// @param loads load that this daemon causes, if it shares it
DocumentsRequest makeDocumentsRequest(DocumentReader &reader, const std::string &replyAddress,
                                      std::optional<std::vector<InstanceLoad>> loads = {});

/// @brief Returns the cached documents that changed after the positions in @a request.
DocumentsReply makeDocumentsReply(DocumentReader &reader, const DocumentsRequest &request,
                                  MonoTime now);

/// @brief Replaces the load that replies to other daemons tell.
void publishLoads(DocumentReader &reader, std::shared_ptr<const LoadOffer> offer);

/// @brief Adds the load that other daemons than the receiver cause to a reply, if the receiver
/// shares its own.
void addLoads(DocumentReader &reader, const HostId &receiver, const DocumentsRequest &request,
              DocumentsReply &reply);

/// @brief Stores the documents in a peer's reply and posts their changes.
void applyDocumentsReply(DocumentReader &reader, const DocumentsReply &reply);

/// @brief Records that this daemon no longer follows the store itself.
void clearStoreContact(DocumentReader &reader);

} // namespace tamarack
