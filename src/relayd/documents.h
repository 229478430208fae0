// Reads the documents of a relay daemon from the store or, while the store is unavailable, from
// peers, and sends them to peers on request.
#pragma once

#include "adapters/relayhttp/relayhttp.h"

#include "core/relay/relay.h"
#include "ports/feed.h"
#include "ports/ports.h"
#include "relayd/follower.h"
#include "relayd/relayd.h"
#include "runtime/runtime.h"

#include <map>
#include <mutex>
#include <string>

namespace tamarack {

/// @brief The newest known revision of each document. The mutex guards all members after it.
///
/// Invariant: no document is replaced by one with a lower revision.
struct DocumentCache
{
    std::mutex mutex_;
    std::map<StoreKey, PeerDocument> documents_;
    /// By feed, the revision up to which all changes were read from the store.
    std::map<std::string, Revision> syncedRevisions_;
    /// The revision up to which all changes of all feeds were received from peers.
    Revision peerSyncedRevision_;
};

/// @brief Data for converting documents to events of the control thread.
struct DocumentReader
{
    const RelayDocuments &formats_;
    BlockingQueue<RelayEvent> &queue_;
    LogPort log_;
    DocumentCache cache_;
};

/// @brief Returns the handlers for the follower of the configuration.
FollowerHandlers configHandlers(DocumentReader &reader);

/// @brief Returns the handlers for the follower of the instances.
FollowerHandlers instanceHandlers(DocumentReader &reader);

/// @brief Returns a request for the documents that changed after the synchronized revision.
/// @param replyAddress address to which the peer sends its reply
DocumentsRequest makeDocumentsRequest(DocumentReader &reader, const std::string &replyAddress);

/// @brief Returns the cached documents that changed after the revision in @a request.
DocumentsReply makeDocumentsReply(DocumentReader &reader, const DocumentsRequest &request);

/// @brief Stores the documents in a peer's reply and posts their changes. Ignores a reply from a
/// peer that isn't synchronized up to the requested revision.
void applyDocumentsReply(DocumentReader &reader, const DocumentsReply &reply);

} // namespace tamarack
