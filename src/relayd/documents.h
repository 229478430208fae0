// The documents that a daemon follows: they come from the store or, while it does not answer, from
// peers, and are passed on to peers that ask.
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

/// @brief The newest known version of each document. The mutex guards all members after it.
///
/// Invariant: no document is replaced by one of a lower revision.
struct DocumentCache
{
    std::mutex mutex_;
    std::map<StoreKey, PeerDocument> documents_;
    /// All documents of a feed up to this revision are known.
    std::map<std::string, Revision> syncedRevisions_;
    /// The same from answers of peers, for all feeds.
    Revision peerSyncedRevision_;
};

/// @brief What turns documents into events.
struct DocumentReader
{
    const RelayDocuments &formats_;
    WaitQueue<RelayEvent> &queue_;
    LogPort log_;
    DocumentCache cache_;
};

/// @brief Returns the handlers of the thread that follows the configuration.
FollowerHandlers configHandlers(DocumentReader &reader);

/// @brief Returns the handlers of the thread that follows the instances.
FollowerHandlers instanceHandlers(DocumentReader &reader);

/// @brief Returns the question to a peer.
DocumentsRequest makeDocumentsRequest(DocumentReader &reader, const std::string &replyAddress);

/// @brief Returns the documents that the asker does not know.
DocumentsReply makeDocumentsReply(DocumentReader &reader, const DocumentsRequest &request);

/// @brief Takes over what a peer knows.
void applyDocumentsReply(DocumentReader &reader, const DocumentsReply &reply);

} // namespace tamarack
