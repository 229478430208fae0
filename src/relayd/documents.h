// Reads the documents of a relay daemon from the store or from peers, and sends them to peers on
// request.
#pragma once

#include "adapters/relayhttp/relayhttp.h"

#include "core/relay/relay.h"
#include "ports/feed.h"
#include "ports/ports.h"
#include "relayd/documentcache.h"
#include "relayd/follower.h"
#include "relayd/relayd.h"
#include "runtime/runtime.h"

#include <atomic>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Documents exchanged with other daemons, and decoded configurations, since the start.
struct DocumentUsage
{
    std::atomic<std::uint64_t> sentBytes_ = 0;
    std::atomic<std::uint64_t> receivedBytes_ = 0;
    /// The part of receivedBytes_ that was known already.
    std::atomic<std::uint64_t> redundantBytes_ = 0;
    std::atomic<std::uint64_t> decodes_ = 0;
    std::atomic<Micros> longestDecode_ = Micros {};
};

/// @brief Data for converting documents to events of the control thread.
struct DocumentReader
{
    const RelayDocuments &formats_;
    BlockingQueue<RelayEvent> &queue_;
    LogPort log_;
    /// A feed without contact to the store for longer than this is taken for unavailable.
    Millis maxContactAge_;
    /// Time after which an evacuation that the store has lost with its return from a copy is no
    /// longer told to peers.
    Millis settleTime_ {4000};
    /// "IP:port" at which other daemons ask this one for documents.
    std::string address_ {};
    DocumentCache cache_;
    DocumentUsage usage_ {};

    DocumentReader(const RelayDocuments &formats, BlockingQueue<RelayEvent> &queue, LogPort log,
                   Millis maxContactAge);
};

/// @brief Returns the prefix of the feed of the configuration, which also delivers the evacuations
/// of availability zones if they are followed.
const std::string &configFeedPrefix(const RelayDocuments &formats);

/// @brief Returns the handlers for the follower of the configuration.
FollowerHandlers configHandlers(DocumentReader &reader);

/// @brief Returns the handlers for the follower of the instances.
FollowerHandlers instanceHandlers(DocumentReader &reader);

/// @brief Returns a request for the documents that changed after the known positions.
/// @param replyAddress address to which the peer sends its reply
DocumentsRequest makeDocumentsRequest(DocumentReader &reader, const std::string &replyAddress,
                                      const RequestPeerDocuments &command = {});

/// @brief Returns the cached documents that changed after the positions in @a request.
DocumentsReply makeDocumentsReply(DocumentReader &reader, const DocumentsRequest &request,
                                  MonoTime now);

/// @brief Replaces the load that replies to other daemons tell.
void publishLoads(DocumentReader &reader, std::shared_ptr<const LoadOffer> offer);

/// @brief Replaces the confirmed software versions that replies to other daemons tell.
void publishVersions(DocumentReader &reader, std::shared_ptr<const ConfirmedVersions> versions);

/// @brief Adds the load that other daemons than the receiver cause to a reply, if the receiver
/// shares its own.
void addLoads(DocumentReader &reader, const HostId &receiver, const DocumentsRequest &request,
              DocumentsReply &reply);

/// @brief Stores the documents in a peer's reply and posts their changes.
void applyDocumentsReply(DocumentReader &reader, const DocumentsReply &reply);

/// @brief Applies a peer's reply and posts what it tells beside the documents.
void receiveDocumentsReply(DocumentReader &reader, const HostId &from, const DocumentsReply &reply);

/// @brief Returns the fields of a log line about the use since the start.
std::vector<LogField> usageFields(const DocumentUsage &usage);

/// @brief Records that the last contact to the store says nothing any more.
void clearStoreContact(DocumentReader &reader);

} // namespace tamarack
