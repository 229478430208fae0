// Documents from the store and from peers.
#include "relayd/documents.h"

#include <algorithm>
#include <memory>
#include <set>

namespace tamarack {

namespace {

/// Decodes a document or logs why that failed.
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

/// @return false if a newer version is known
bool remember(DocumentReader &reader, const PeerDocument &document)
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
    // An entry that can't be read names no instance to use.
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
    if (!remember(reader, document))
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

/// Documents of a prefix that a listing lacks were removed by its revision at the latest.
void forgetUnlisted(DocumentReader &reader, const std::string &prefix,
                    const std::set<StoreKey> &listed, Revision at)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    for (auto &[key, document] : reader.cache_.documents_) {
        const bool gone = key.value_.starts_with(prefix) && !listed.contains(key) && document.value_
            && document.revision_ <= at;
        if (gone)
            document = PeerDocument {key, at, std::nullopt};
    }
}

void readInstanceListing(DocumentReader &reader, const std::vector<PeerDocument> &documents,
                         Revision at, ChangeSource source)
{
    InstancesListed listing;
    listing.revision_ = at;
    listing.source_ = source;
    std::set<StoreKey> listed;
    for (const PeerDocument &document : documents) {
        if (!document.key_.value_.starts_with(reader.formats_.instancePrefix_))
            continue;
        listed.insert(document.key_);
        remember(reader, document);
        if (std::optional<ListedInstance> instance = decodeInstance(reader, document))
            listing.instances_.push_back(std::move(*instance));
    }
    forgetUnlisted(reader, reader.formats_.instancePrefix_, listed, at);
    post(reader.queue_, RelayEvent {std::move(listing)});
}

FollowerHandlers commonHandlers(DocumentReader &reader, const std::string &feed)
{
    FollowerHandlers handlers;
    handlers.onChange_ = [&reader](const FeedEntry &entry) {
        readDocument(reader, toDocument(entry), ChangeSource::Store);
    };
    handlers.onProgress_ = [&reader, feed](Revision at) {
        const std::lock_guard lock(reader.cache_.mutex_);
        Revision &known = reader.cache_.knownTo_[feed];
        known = std::max(known, at);
    };
    handlers.onAvailability_ = [&reader, feed](bool available, const std::string &detail) {
        post(reader.queue_, RelayEvent {FeedAvailabilityChanged {feed, available, detail}});
    };
    return handlers;
}

constexpr const char *configFeed = "store.config";
constexpr const char *instanceFeed = "store.instances";

/// The revision up to which both feeds are known. The cache's mutex is held.
Revision knownTo(DocumentCache &cache)
{
    const Revision own = std::min(cache.knownTo_[configFeed], cache.knownTo_[instanceFeed]);
    return std::max(own, cache.peersKnownTo_);
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
    handlers.onListing_ = [&reader](const std::vector<FeedEntry> &entries, Revision at) {
        std::vector<PeerDocument> documents;
        std::transform(entries.begin(), entries.end(), std::back_inserter(documents), toDocument);
        readInstanceListing(reader, documents, at, ChangeSource::Store);
    };
    return handlers;
}

DocumentsRequest documentQuestion(DocumentReader &reader, const std::string &replyAddress)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    return DocumentsRequest {replyAddress, knownTo(reader.cache_)};
}

DocumentsReply answerQuestion(DocumentReader &reader, const DocumentsRequest &asked)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    DocumentsReply offered {asked.after_, knownTo(reader.cache_), {}};
    for (const auto &[key, document] : reader.cache_.documents_) {
        if (document.revision_ > asked.after_)
            offered.documents_.push_back(document);
    }
    return offered;
}

void takeOffer(DocumentReader &reader, const DocumentsReply &offered)
{
    // A peer that knows less has nothing to tell.
    if (offered.at_ < offered.after_ || offered.at_ == Revision {})
        return;
    const bool whole = offered.after_ == Revision {};
    for (const PeerDocument &document : offered.documents_) {
        const bool isInstance = document.key_.value_.starts_with(reader.formats_.instancePrefix_);
        if (!whole || !isInstance)
            readDocument(reader, document, ChangeSource::Peer);
    }
    if (whole)
        readInstanceListing(reader, offered.documents_, offered.at_, ChangeSource::Peer);
    const std::lock_guard lock(reader.cache_.mutex_);
    reader.cache_.peersKnownTo_ = std::max(reader.cache_.peersKnownTo_, offered.at_);
}

} // namespace tamarack
