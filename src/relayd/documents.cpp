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
/// @return false if the cache has this or a newer revision
bool storeIfNewer(DocumentReader &reader, const PeerDocument &document)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    const auto [known, inserted] = reader.cache_.documents_.try_emplace(document.key_, document);
    if (inserted)
        return true;
    if (known->second.revision_ >= document.revision_)
        return false;
    known->second = document;
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

constexpr const char *configFeed = "store.config";
constexpr const char *instanceFeed = "store.instances";

/// Advances the position of a feed, which never goes back.
void advancePosition(FeedState &feed, Revision revision)
{
    feed.position_ = std::max(feed.position_, revision);
}

FollowerHandlers commonHandlers(DocumentReader &reader, const std::string &feed)
{
    FollowerHandlers handlers;
    handlers.onChange_ = [&reader](const FeedEntry &entry) {
        readDocument(reader, toDocument(entry), ChangeSource::Store);
    };
    handlers.onProgress_ = [&reader, feed](Revision revision) {
        const std::lock_guard lock(reader.cache_.mutex_);
        FeedState &state = reader.cache_.feeds_.at(feed);
        advancePosition(state, revision);
        state.contactAt_ = std::chrono::steady_clock::now();
    };
    handlers.knownRevision_ = [&reader, feed] {
        const std::lock_guard lock(reader.cache_.mutex_);
        return reader.cache_.feeds_.at(feed).position_;
    };
    handlers.onAvailability_ = [&reader, feed](bool available, const std::string &detail) {
        if (!available) {
            const std::lock_guard lock(reader.cache_.mutex_);
            reader.cache_.feeds_.at(feed).contactAt_.reset();
        }
        post(reader.queue_, RelayEvent {FeedAvailabilityChanged {feed, available, detail}});
    };
    return handlers;
}

void recordListing(DocumentReader &reader, const std::string &feed, Revision revision)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    FeedState &state = reader.cache_.feeds_.at(feed);
    state.listedAt_ = std::max(state.listedAt_, revision);
    advancePosition(state, revision);
}

/// Returns the changes of a feed after a position. The caller holds the mutex of the cache.
FeedChanges changesAfter(const DocumentCache &cache, const std::string &name, const FeedState &feed,
                         Revision position)
{
    FeedChanges changes {
        name, position < feed.listedAt_ ? Revision {} : position, feed.position_, {}};
    const bool complete = changes.after_ == Revision {};
    for (const auto &[key, document] : cache.documents_) {
        const bool wanted = key.value_.starts_with(feed.prefix_)
            && (complete ? document.value_.has_value() : document.revision_ > changes.after_);
        if (wanted)
            changes.documents_.push_back(document);
    }
    return changes;
}

void applyFeedChanges(DocumentReader &reader, const FeedChanges &changes)
{
    {
        const std::lock_guard lock(reader.cache_.mutex_);
        const auto feed = reader.cache_.feeds_.find(changes.feed_);
        // A peer that knows less, or changes that don't continue what is known.
        if (feed == reader.cache_.feeds_.end() || changes.at_ <= feed->second.position_
            || changes.after_ > feed->second.position_)
            return;
    }
    const bool complete = changes.after_ == Revision {};
    if (complete && changes.feed_ == instanceFeed) {
        readInstanceListing(reader, changes.documents_, changes.at_, ChangeSource::Peer);
    } else {
        for (const PeerDocument &document : changes.documents_)
            readDocument(reader, document, ChangeSource::Peer);
    }
    if (complete) {
        recordListing(reader, changes.feed_, changes.at_);
        return;
    }
    const std::lock_guard lock(reader.cache_.mutex_);
    advancePosition(reader.cache_.feeds_.at(changes.feed_), changes.at_);
}

/// Returns the time since the last contact of any feed to the store, or nothing if a feed is
/// unavailable. A watch without a reply says nothing until it ends, but it would have replied to a
/// change as long as the store answers the other feeds. The caller holds the mutex of the cache.
std::optional<Millis> contactAge(const DocumentCache &cache, Millis maxAge, MonoTime now)
{
    std::optional<Millis> newest;
    for (const auto &[name, feed] : cache.feeds_) {
        if (!feed.contactAt_)
            return std::nullopt;
        const auto age = std::chrono::duration_cast<Millis>(now - *feed.contactAt_);
        if (age > maxAge)
            return std::nullopt;
        newest = std::min(newest.value_or(age), age);
    }
    return newest;
}

} // namespace

DocumentReader::DocumentReader(const RelayDocuments &formats, BlockingQueue<RelayEvent> &queue,
                               LogPort log, Millis maxContactAge)
    : formats_(formats)
    , queue_(queue)
    , log_(std::move(log))
    , maxContactAge_(maxContactAge)
{
    cache_.feeds_[configFeed].prefix_ = formats.configKey_;
    cache_.feeds_[instanceFeed].prefix_ = formats.instancePrefix_;
}

FollowerHandlers configHandlers(DocumentReader &reader)
{
    FollowerHandlers handlers = commonHandlers(reader, configFeed);
    handlers.onListing_ = [&reader](const std::vector<FeedEntry> &entries, Revision revision) {
        for (const FeedEntry &entry : entries)
            readDocument(reader, toDocument(entry), ChangeSource::Store);
        recordListing(reader, configFeed, revision);
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
        recordListing(reader, instanceFeed, revision);
    };
    return handlers;
}

DocumentsRequest makeDocumentsRequest(DocumentReader &reader, const std::string &replyAddress)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    DocumentsRequest request {replyAddress, {}};
    for (const auto &[name, feed] : reader.cache_.feeds_)
        request.positions_.push_back(FeedPosition {name, feed.position_});
    return request;
}

DocumentsReply makeDocumentsReply(DocumentReader &reader, const DocumentsRequest &request,
                                  MonoTime now)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    DocumentsReply reply;
    reply.contactAge_ = contactAge(reader.cache_, reader.maxContactAge_, now);
    for (const FeedPosition &position : request.positions_) {
        const auto feed = reader.cache_.feeds_.find(position.feed_);
        if (feed != reader.cache_.feeds_.end() && feed->second.position_ > position.revision_)
            reply.changes_.push_back(
                changesAfter(reader.cache_, feed->first, feed->second, position.revision_));
    }
    return reply;
}

void applyDocumentsReply(DocumentReader &reader, const DocumentsReply &reply)
{
    for (const FeedChanges &changes : reply.changes_)
        applyFeedChanges(reader, changes);
}

void clearStoreContact(DocumentReader &reader)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    for (auto &[name, feed] : reader.cache_.feeds_)
        feed.contactAt_.reset();
}

} // namespace tamarack
