// Reads the documents of a relay daemon from the store and from peers.
#include "relayd/documents.h"

#include <algorithm>
#include <memory>
#include <set>

namespace tamarack {

namespace {

/// Decodes a document. Logs the error and returns nothing if that fails.
template <typename Value>
std::optional<Value> decodeOrLog(const LogPort &log, const StoreKey &key,
                                 const std::function<Result<Value>()> &decode)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, decode());
            return std::optional<Value>(std::move(value));
        },
        [&](const Error &error) {
            log.write_(LogEvent {
                LogLevel::Warning,
                "document.rejected",
                {{"key", key.value_}, {"error", error.id_}, {"problem", error.message_}}});
            return std::optional<Value>();
        },
        [&] {
            log.write_(LogEvent {LogLevel::Warning, "document.rejected", {{"key", key.value_}}});
            return std::optional<Value>();
        });
}

/// Stores a document in the cache.
/// @return false if the cache has a newer revision
bool storeIfNewer(DocumentReader &reader, const PeerDocument &document)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    PeerDocument &known = reader.cache_.documents_[document.key_];
    if (known.revision_ > document.revision_)
        return false;
    known = document;
    return true;
}

void readConfig(DocumentReader &reader, const PeerDocument &document, ChangeSource source)
{
    if (!document.value_)
        return;
    std::optional<RelayConfig> config = decodeOrLog<RelayConfig>(reader.log_, document.key_, [&] {
        return reader.formats_.decodeConfig_(*document.value_);
    });
    if (config)
        post(reader.queue_,
             RelayEvent {
                 ConfigReceived {std::make_shared<const RelayConfig>(std::move(*config)), source}});
}

std::optional<ListedInstance> decodeInstance(DocumentReader &reader, const PeerDocument &document)
{
    if (!document.value_)
        return std::nullopt;
    const std::string id = document.key_.value_.substr(reader.formats_.instancePrefix_.size());
    std::optional<Instance> instance = decodeOrLog<Instance>(reader.log_, document.key_, [&] {
        return reader.formats_.decodeInstance_(id, *document.value_);
    });
    if (!instance)
        return std::nullopt;
    return ListedInstance {std::move(*instance), document.revision_};
}

void readInstance(DocumentReader &reader, const PeerDocument &document, ChangeSource source)
{
    // An entry that can't be decoded is handled like a removed one.
    if (std::optional<ListedInstance> listed = decodeInstance(reader, document))
        post(reader.queue_, RelayEvent {InstanceChanged {std::move(*listed), source}});
    else
        post(reader.queue_,
             RelayEvent {InstanceRemoved {
                 UpstreamId {document.key_.value_.substr(reader.formats_.instancePrefix_.size())},
                 document.revision_, source}});
}

void readDocument(DocumentReader &reader, const PeerDocument &document, ChangeSource source)
{
    if (!storeIfNewer(reader, document))
        return;
    if (document.key_.value_ == reader.formats_.configKey_)
        readConfig(reader, document, source);
    else if (document.key_.value_.starts_with(reader.formats_.instancePrefix_))
        readInstance(reader, document, source);
}

PeerDocument toDocument(const FeedEntry &entry)
{
    return PeerDocument {entry.key_, entry.revision_, entry.value_};
}

/// Marks cached documents of a prefix as removed if a listing at @a revision doesn't contain them.
/// Documents that changed after the listing are kept.
void markUnlistedRemoved(DocumentReader &reader, const std::string &prefix,
                         const std::set<StoreKey> &listed, Revision revision)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    for (auto &[key, document] : reader.cache_.documents_) {
        const bool removed = key.value_.starts_with(prefix) && !listed.contains(key)
            && document.value_ && document.revision_ <= revision;
        if (removed)
            document = PeerDocument {key, revision, std::nullopt};
    }
}

void readInstanceListing(DocumentReader &reader, const std::vector<PeerDocument> &documents,
                         Revision revision, ChangeSource source)
{
    InstancesListed listing;
    listing.revision_ = revision;
    listing.source_ = source;
    std::set<StoreKey> listed;
    for (const PeerDocument &document : documents) {
        if (!document.key_.value_.starts_with(reader.formats_.instancePrefix_))
            continue;
        listed.insert(document.key_);
        storeIfNewer(reader, document);
        if (std::optional<ListedInstance> instance = decodeInstance(reader, document))
            listing.instances_.push_back(std::move(*instance));
    }
    markUnlistedRemoved(reader, reader.formats_.instancePrefix_, listed, revision);
    post(reader.queue_, RelayEvent {std::move(listing)});
}

FollowerHandlers commonHandlers(DocumentReader &reader, const std::string &feed)
{
    FollowerHandlers handlers;
    handlers.onChange_ = [&reader](const FeedEntry &entry) {
        readDocument(reader, toDocument(entry), ChangeSource::Store);
    };
    handlers.onProgress_ = [&reader, feed](Revision revision) {
        const std::lock_guard lock(reader.cache_.mutex_);
        Revision &known = reader.cache_.syncedRevisions_[feed];
        known = std::max(known, revision);
    };
    handlers.onAvailability_ = [&reader, feed](bool available, const std::string &detail) {
        post(reader.queue_, RelayEvent {FeedAvailabilityChanged {feed, available, detail}});
    };
    return handlers;
}

constexpr const char *configFeed = "store.config";
constexpr const char *instanceFeed = "store.instances";

/// Returns the revision up to which all changes of both feeds are known. The caller holds the mutex
/// of the cache.
Revision syncedRevision(DocumentCache &cache)
{
    const Revision own
        = std::min(cache.syncedRevisions_[configFeed], cache.syncedRevisions_[instanceFeed]);
    return std::max(own, cache.peerSyncedRevision_);
}

} // namespace

FollowerHandlers configHandlers(DocumentReader &reader)
{
    FollowerHandlers handlers = commonHandlers(reader, configFeed);
    handlers.onListing_ = [&reader](const std::vector<FeedEntry> &entries, Revision) {
        for (const FeedEntry &entry : entries)
            readDocument(reader, toDocument(entry), ChangeSource::Store);
    };
    return handlers;
}

FollowerHandlers instanceHandlers(DocumentReader &reader)
{
    FollowerHandlers handlers = commonHandlers(reader, instanceFeed);
    handlers.onListing_ = [&reader](const std::vector<FeedEntry> &entries, Revision revision) {
        std::vector<PeerDocument> documents;
        std::transform(entries.begin(), entries.end(), std::back_inserter(documents), toDocument);
        readInstanceListing(reader, documents, revision, ChangeSource::Store);
    };
    return handlers;
}

DocumentsRequest makeDocumentsRequest(DocumentReader &reader, const std::string &replyAddress)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    return DocumentsRequest {replyAddress, syncedRevision(reader.cache_)};
}

DocumentsReply makeDocumentsReply(DocumentReader &reader, const DocumentsRequest &request)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    DocumentsReply reply {request.after_, syncedRevision(reader.cache_), {}};
    for (const auto &[key, document] : reader.cache_.documents_) {
        if (document.revision_ > request.after_)
            reply.documents_.push_back(document);
    }
    return reply;
}

void applyDocumentsReply(DocumentReader &reader, const DocumentsReply &reply)
{
    // The peer isn't synchronized up to the requested revision.
    if (reply.at_ < reply.after_ || reply.at_ == Revision {})
        return;
    const bool complete = reply.after_ == Revision {};
    for (const PeerDocument &document : reply.documents_) {
        const bool isInstance = document.key_.value_.starts_with(reader.formats_.instancePrefix_);
        if (!complete || !isInstance)
            readDocument(reader, document, ChangeSource::Peer);
    }
    if (complete)
        readInstanceListing(reader, reply.documents_, reply.at_, ChangeSource::Peer);
    const std::lock_guard lock(reader.cache_.mutex_);
    reader.cache_.peerSyncedRevision_ = std::max(reader.cache_.peerSyncedRevision_, reply.at_);
}

} // namespace tamarack
