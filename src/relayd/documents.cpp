// Reads the documents of a relay daemon, from whatever source they come, and follows the store.
#include "relayd/documents.h"

#include "relayd/documentsinternal.h"

#include <algorithm>
#include <memory>
#include <set>

namespace tamarack {

using namespace relayddetail;

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

void recordDecode(DocumentUsage &usage, std::chrono::nanoseconds time)
{
    ++usage.decodes_;
    const auto rounded = std::chrono::duration_cast<Micros>(time);
    Micros longest = usage.longestDecode_;
    while (rounded > longest && !usage.longestDecode_.compare_exchange_weak(longest, rounded)) { }
}

void readConfig(DocumentReader &reader, const PeerDocument &document, ChangeSource source)
{
    if (!document.value_)
        return;
    const MonoTime begin = std::chrono::steady_clock::now();
    std::optional<RelayConfig> config = decodeOrLog<RelayConfig>(reader.log_, document.key_, [&] {
        return reader.formats_.decodeConfig_(*document.value_);
    });
    recordDecode(reader.usage_, std::chrono::steady_clock::now() - begin);
    if (!config)
        return;
    if (recordConfigVersion(reader.cache_, document, config->version_))
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
    return ListedInstance {std::move(*instance), document.position_};
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
                 document.position_, source}});
}

bool isEvacuation(const RelayDocuments &formats, const StoreKey &key)
{
    const std::string &prefix = formats.evacuationPrefix_;
    return !prefix.empty() && key.value_.size() > prefix.size() && key.value_.starts_with(prefix);
}

ListedEvacuation listedEvacuation(const DocumentReader &reader, const PeerDocument &document)
{
    const std::size_t prefix = reader.formats_.evacuationPrefix_.size();
    return ListedEvacuation {ZoneId {document.key_.value_.substr(prefix)}, document.position_};
}

void readEvacuation(DocumentReader &reader, const PeerDocument &document, ChangeSource source)
{
    const ListedEvacuation listed = listedEvacuation(reader, document);
    if (document.value_)
        post(reader.queue_, RelayEvent {EvacuationChanged {listed, source}});
    else
        post(reader.queue_, RelayEvent {EvacuationRemoved {listed, source}});
}

PeerDocument toDocument(const FeedEntry &entry, StoreEra era)
{
    return PeerDocument {entry.key_, {era, entry.revision_}, entry.value_};
}

std::vector<PeerDocument> toDocuments(const std::vector<FeedEntry> &entries, StoreEra era)
{
    std::vector<PeerDocument> documents;
    documents.reserve(entries.size());
    for (const FeedEntry &entry : entries)
        documents.push_back(toDocument(entry, era));
    return documents;
}

/// Returns true if a listing contains the configuration, or none is known. The operator never
/// removes it, so a listing without it is not complete.
bool containsConfig(DocumentReader &reader, const std::vector<PeerDocument> &documents)
{
    for (const PeerDocument &document : documents) {
        if (document.key_.value_ == reader.formats_.configKey_ && document.value_)
            return true;
    }
    const std::lock_guard lock(reader.cache_.mutex_);
    return !reader.cache_.newestConfig_;
}

/// Reads the evacuations of a listing of the operator's documents.
void readEvacuationListing(DocumentReader &reader, const std::vector<PeerDocument> &documents,
                           StorePosition position, ChangeSource source)
{
    EvacuationsListed listing {{}, position, source};
    std::set<StoreKey> listed;
    for (const PeerDocument &document : documents) {
        if (!isEvacuation(reader.formats_, document.key_) || !document.value_)
            continue;
        listed.insert(document.key_);
        storeIfNewer(reader.cache_, document);
        listing.evacuations_.push_back(listedEvacuation(reader, document));
    }
    if (!containsConfig(reader, documents)) {
        for (ListedEvacuation &evacuation : listing.evacuations_)
            post(reader.queue_, RelayEvent {EvacuationChanged {std::move(evacuation), source}});
        return;
    }
    markUnlistedUnconfirmed(reader.cache_, reader.formats_.evacuationPrefix_, listed, position,
                            std::chrono::steady_clock::now() + reader.settleTime_);
    post(reader.queue_, RelayEvent {std::move(listing)});
}

} // namespace

namespace relayddetail {

std::uint64_t sentBytes(const PeerDocument &document)
{
    if (!document.compressed_.empty())
        return document.compressed_.size();
    return document.value_ ? document.value_->size() : 0;
}

std::uint64_t sentBytes(const FeedChanges &changes)
{
    std::uint64_t bytes = 0;
    for (const PeerDocument &document : changes.documents_)
        bytes += sentBytes(document);
    return bytes;
}

void readDocument(DocumentReader &reader, const PeerDocument &document, ChangeSource source)
{
    const bool evacuates = isEvacuation(reader.formats_, document.key_);
    // A feed may deliver other keys of its prefix.
    const bool known = evacuates || document.key_.value_ == reader.formats_.configKey_
        || document.key_.value_.starts_with(reader.formats_.instancePrefix_);
    if (!known)
        return;
    if (!storeIfNewer(reader.cache_, document)) {
        if (source == ChangeSource::Peer)
            reader.usage_.redundantBytes_ += sentBytes(document);
        return;
    }
    if (evacuates)
        readEvacuation(reader, document, source);
    else if (document.key_.value_ == reader.formats_.configKey_)
        readConfig(reader, document, source);
    else if (document.key_.value_.starts_with(reader.formats_.instancePrefix_))
        readInstance(reader, document, source);
}

void noteEra(DocumentReader &reader, StoreEra era)
{
    {
        const std::lock_guard lock(reader.cache_.mutex_);
        if (era <= reader.cache_.era_)
            return;
        reader.cache_.era_ = era;
    }
    post(reader.queue_, RelayEvent {StoreEraNoticed {era}});
}

void readInstanceListing(DocumentReader &reader, const std::vector<PeerDocument> &documents,
                         StorePosition position, ChangeSource source)
{
    InstancesListed listing;
    listing.position_ = position;
    listing.source_ = source;
    std::set<StoreKey> listed;
    for (const PeerDocument &document : documents) {
        if (!document.key_.value_.starts_with(reader.formats_.instancePrefix_))
            continue;
        listed.insert(document.key_);
        storeIfNewer(reader.cache_, document);
        if (std::optional<ListedInstance> instance = decodeInstance(reader, document))
            listing.instances_.push_back(std::move(*instance));
    }
    markUnlistedRemoved(reader.cache_, reader.formats_.instancePrefix_, listed, position);
    post(reader.queue_, RelayEvent {std::move(listing)});
}

void readConfigListing(DocumentReader &reader, const std::vector<PeerDocument> &documents,
                       StorePosition position, ChangeSource source)
{
    if (!reader.formats_.evacuationPrefix_.empty())
        readEvacuationListing(reader, documents, position, source);
    for (const PeerDocument &document : documents)
        readDocument(reader, document, source);
}

void advancePosition(FeedState &feed, StorePosition position)
{
    feed.position_ = std::max(feed.position_, position);
}

void recordListing(DocumentReader &reader, const std::string &feed, StorePosition position)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    FeedState &state = reader.cache_.feeds_.at(feed);
    state.listedAt_ = std::max(state.listedAt_, position);
    advancePosition(state, position);
}

} // namespace relayddetail

namespace {

FollowerHandlers commonHandlers(DocumentReader &reader, const std::string &feed)
{
    FollowerHandlers handlers;
    handlers.onChange_ = [&reader](const FeedEntry &entry, StoreEra era) {
        readDocument(reader, toDocument(entry, era), ChangeSource::Store);
    };
    handlers.onProgress_ = [&reader, feed](StorePosition position, MonoTime knownAt) {
        noteEra(reader, position.era_);
        const std::lock_guard lock(reader.cache_.mutex_);
        FeedState &state = reader.cache_.feeds_.at(feed);
        advancePosition(state, position);
        state.contactAt_ = knownAt;
    };
    handlers.knownPosition_ = [&reader, feed] {
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

} // namespace

DocumentReader::DocumentReader(const RelayDocuments &formats, BlockingQueue<RelayEvent> &queue,
                               LogPort log, Millis maxContactAge)
    : formats_(formats)
    , queue_(queue)
    , log_(std::move(log))
    , maxContactAge_(maxContactAge)
{
    cache_.feeds_[configFeed].prefix_ = configFeedPrefix(formats);
    cache_.feeds_[instanceFeed].prefix_ = formats.instancePrefix_;
}

const std::string &configFeedPrefix(const RelayDocuments &formats)
{
    return formats.evacuationPrefix_.empty() ? formats.configKey_ : formats.operatorPrefix_;
}

FollowerHandlers configHandlers(DocumentReader &reader)
{
    FollowerHandlers handlers = commonHandlers(reader, configFeed);
    handlers.onProgress_ = [&reader, recordProgress = std::move(handlers.onProgress_)](
                               StorePosition position, MonoTime knownAt) {
        recordProgress(position, knownAt);
        post(reader.queue_, RelayEvent {ConfigFeedReplied {knownAt}});
    };
    handlers.onListing_ = [&reader](const std::vector<FeedEntry> &entries, StorePosition position) {
        noteEra(reader, position.era_);
        readConfigListing(reader, toDocuments(entries, position.era_), position,
                          ChangeSource::Store);
        recordListing(reader, configFeed, position);
    };
    return handlers;
}

FollowerHandlers instanceHandlers(DocumentReader &reader)
{
    FollowerHandlers handlers = commonHandlers(reader, instanceFeed);
    handlers.onListing_ = [&reader](const std::vector<FeedEntry> &entries, StorePosition position) {
        noteEra(reader, position.era_);
        readInstanceListing(reader, toDocuments(entries, position.era_), position,
                            ChangeSource::Store);
        recordListing(reader, instanceFeed, position);
    };
    return handlers;
}

std::vector<LogField> usageFields(const DocumentUsage &usage)
{
    return {{"sent_bytes", std::to_string(usage.sentBytes_)},
            {"received_bytes", std::to_string(usage.receivedBytes_)},
            {"redundant_bytes", std::to_string(usage.redundantBytes_)},
            {"config_decodes", std::to_string(usage.decodes_)},
            {"longest_decode_us", std::to_string(usage.longestDecode_.load().count())}};
}

void clearStoreContact(DocumentReader &reader)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    for (auto &[name, feed] : reader.cache_.feeds_)
        feed.contactAt_.reset();
}

} // namespace tamarack
