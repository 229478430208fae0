// Exchange of documents with other daemons: requests, replies, and transfers of large documents.
#include "relayd/documents.h"

#include "adapters/peers/peers.h"
#include "relayd/documentsinternal.h"

#include <algorithm>

namespace tamarack {

using namespace relayddetail;

namespace {

/// Changes of more bytes are announced to daemons that ask for that, and longer values are sent
/// compressed.
constexpr std::size_t largeDocumentBytes = std::size_t {32} << 10U;
/// The largest value of the store in bytes, with a margin.
constexpr std::size_t maxDocumentBytes = std::size_t {4} << 20U;

/// Returns a position with the era of this daemon if its sender runs a version without eras.
StorePosition withEra(StorePosition position, StoreEra era)
{
    return position.era_ == StoreEra {} ? StorePosition {era, position.revision_} : position;
}

bool isLarge(const PeerDocument &document)
{
    return document.value_ && document.value_->size() > largeDocumentBytes;
}

/// Adds the changes of a feed after a position to a reply, or announces them. The caller holds the
/// mutex of the cache.
void addChanges(DocumentCache &cache, const std::string &name, const FeedState &feed,
                StorePosition position, LargeDocuments largeDocuments, DocumentsReply &reply)
{
    FeedChanges changes {
        name, position < feed.listedAt_ ? Revision {} : position.revision_, feed.position_, {}};
    const StorePosition after {feed.position_.era_, changes.after_};
    const bool complete = changes.after_ == Revision {};
    bool hasLargeDocument = false;
    for (auto &[key, document] : cache.documents_) {
        const bool wanted = key.value_.starts_with(feed.prefix_)
            && (complete ? document.value_.has_value() : document.position_ > after);
        if (!wanted)
            continue;
        if (largeDocuments == LargeDocuments::Include || !isLarge(document)) {
            changes.documents_.push_back(
                PeerDocument {document.key_, document.position_, document.value_});
            continue;
        }
        if (document.compressed_.empty())
            document.compressed_ = compress(*document.value_);
        hasLargeDocument = true;
        changes.documents_.push_back(
            PeerDocument {document.key_, document.position_, std::nullopt, document.compressed_});
    }
    const std::uint64_t bytes = sentBytes(changes);
    const bool isLargeChange = hasLargeDocument || bytes > largeDocumentBytes;
    if (largeDocuments == LargeDocuments::Announce && isLargeChange)
        reply.announced_.push_back(AnnouncedChanges {name, feed.position_, bytes});
    else
        reply.changes_.push_back(std::move(changes));
}

/// Restores the values of compressed documents.
/// @return false if one is damaged; the error is logged
bool decompressAll(const DocumentReader &reader, FeedChanges &changes)
{
    for (PeerDocument &document : changes.documents_) {
        if (document.compressed_.empty())
            continue;
        document.value_ = decompress(document.compressed_, maxDocumentBytes);
        if (document.value_)
            continue;
        reader.log_.write_(LogEvent {LogLevel::Warning,
                                     "document.rejected",
                                     {{"key", document.key_.value_},
                                      {"error", "tamarack.relayd.101"},
                                      {"problem", "the compressed value is damaged or too long"}}});
        return false;
    }
    return true;
}

void applyFeedChanges(DocumentReader &reader, const FeedChanges &changes)
{
    noteEra(reader, changes.at_.era_);
    const std::uint64_t bytes = sentBytes(changes);
    reader.usage_.receivedBytes_ += bytes;
    const bool complete = changes.after_ == Revision {};
    {
        const std::lock_guard lock(reader.cache_.mutex_);
        const auto feed = reader.cache_.feeds_.find(changes.feed_);
        const StorePosition after {changes.at_.era_, changes.after_};
        // A peer that knows less, or changes that don't continue what is known.
        if (feed == reader.cache_.feeds_.end() || changes.at_ <= feed->second.position_
            || (!complete && after > feed->second.position_)) {
            reader.usage_.redundantBytes_ += bytes;
            return;
        }
    }
    if (complete && changes.feed_ == instanceFeed) {
        readInstanceListing(reader, changes.documents_, changes.at_, ChangeSource::Peer);
    } else if (complete) {
        readConfigListing(reader, changes.documents_, changes.at_, ChangeSource::Peer);
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

/// Returns true if this daemon does not know the announced changes, also from another peer.
bool isMissing(DocumentReader &reader, const AnnouncedChanges &announced)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    const auto feed = reader.cache_.feeds_.find(announced.feed_);
    return feed != reader.cache_.feeds_.end() && announced.at_ > feed->second.position_;
}

} // namespace

DocumentsRequest makeDocumentsRequest(DocumentReader &reader, const std::string &replyAddress,
                                      const RequestPeerDocuments &command)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    DocumentsRequest request {replyAddress, {}, command.loads_, command.largeDocuments_};
    for (const auto &[name, feed] : reader.cache_.feeds_)
        request.positions_.push_back(FeedPosition {name, feed.position_});
    return request;
}

DocumentsReply makeDocumentsReply(DocumentReader &reader, const DocumentsRequest &request,
                                  MonoTime now)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    removeUnconfirmed(reader.cache_, now);
    DocumentsReply reply;
    reply.contactAge_ = contactAge(reader.cache_, reader.maxContactAge_, now);
    if (reader.cache_.versions_)
        reply.versions_ = *reader.cache_.versions_;
    for (const FeedPosition &position : request.positions_) {
        const auto feed = reader.cache_.feeds_.find(position.feed_);
        if (feed == reader.cache_.feeds_.end())
            continue;
        const StorePosition known = withEra(position.position_, feed->second.position_.era_);
        if (feed->second.position_ > known)
            addChanges(reader.cache_, feed->first, feed->second, known, request.largeDocuments_,
                       reply);
    }
    for (const FeedChanges &changes : reply.changes_)
        reader.usage_.sentBytes_ += sentBytes(changes);
    if (!reply.announced_.empty())
        reply.address_ = reader.address_;
    reply.isTransfer_ = request.largeDocuments_ == LargeDocuments::Compress;
    return reply;
}

void publishLoads(DocumentReader &reader, std::shared_ptr<const LoadOffer> offer)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    reader.cache_.loads_ = std::move(offer);
}

void publishVersions(DocumentReader &reader, std::shared_ptr<const ConfirmedVersions> versions)
{
    const std::lock_guard lock(reader.cache_.mutex_);
    reader.cache_.versions_ = std::move(versions);
}

void addLoads(DocumentReader &reader, const HostId &receiver, const DocumentsRequest &request,
              DocumentsReply &reply)
{
    if (!request.loads_)
        return;
    std::shared_ptr<const LoadOffer> offer;
    {
        const std::lock_guard lock(reader.cache_.mutex_);
        offer = reader.cache_.loads_;
    }
    if (!offer)
        return;
    OfferedLoads offered = offeredLoads(*offer, receiver);
    reply.loads_ = std::move(offered.loads_);
    reply.loadReporters_ = offered.daemons_;
}

void applyDocumentsReply(DocumentReader &reader, const DocumentsReply &reply)
{
    for (FeedChanges changes : reply.changes_) {
        if (!decompressAll(reader, changes))
            continue;
        {
            const std::lock_guard lock(reader.cache_.mutex_);
            const auto feed = reader.cache_.feeds_.find(changes.feed_);
            if (feed == reader.cache_.feeds_.end())
                continue;
            const StoreEra era = feed->second.position_.era_;
            changes.at_ = withEra(changes.at_, era);
            for (PeerDocument &document : changes.documents_)
                document.position_ = withEra(document.position_, era);
        }
        applyFeedChanges(reader, changes);
    }
}

void receiveDocumentsReply(DocumentReader &reader, const HostId &from, const DocumentsReply &reply)
{
    applyDocumentsReply(reader, reply);
    DocumentsReplyReceived event {
        from, reply.contactAge_, reply.loads_,     reply.loadReporters_, reply.versions_,
        0,    reply.address_,    reply.isTransfer_};
    for (const AnnouncedChanges &announced : reply.announced_) {
        if (isMissing(reader, announced))
            event.announcedBytes_ += announced.bytes_;
    }
    post(reader.queue_, RelayEvent {std::move(event)});
}

} // namespace tamarack
