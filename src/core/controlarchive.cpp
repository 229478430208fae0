// Archive of request records: a shard that has grown large moves records to a create-only segment
// first and removes them from the shard afterwards. Whoever finds a segment that the shard does not
// count yet completes the move with the records in that segment, so a lost answer or the death of
// the writer neither loses nor doubles a record.
#include "core/controlparts.h"

#include <fmt/format.h>

namespace tamarack::detail {

namespace {

/// Records that are moved together; at 151 bytes each, a segment has about 64 KB.
constexpr std::size_t segmentRecords = 430;
/// How often a large shard is looked through.
constexpr Millis archiveInterval {5000};

/// True if this daemon submitted the bill and nobody will submit it again.
bool isOwnAndClosed(const ControlState &state, const RequestRecord &record)
{
    const std::string own = state.settings_.holder_.value_ + '.';
    return record.admission_.value_.starts_with(own) && !state.active_.contains(record.admission_)
        && !state.home_.settlements_.contains(record.admission_);
}

/// A keyed record protects against a second run until its retention has passed. The record of
/// another daemon may still be submitted again by it, so it is kept as long.
bool mayArchive(const ControlState &state, const RequestRecord &record, Now now)
{
    // Only a billed record never changes any more.
    if (record.phase_ != RequestPhase::Billed)
        return false;
    if (record.updated_ + state.bundle_->policies_.requestRetention_ <= now.wall_)
        return true;
    return !record.hasIdempotencyKey_ && isOwnAndClosed(state, record);
}

RequestShard nextSegment(const ControlState &state, const RequestShard &shard, Now now)
{
    RequestShard segment;
    for (const auto &[id, record] : shard.records_) {
        if (segment.records_.size() == segmentRecords)
            break;
        if (mayArchive(state, record, now))
            segment.records_.emplace(id, record);
    }
    return segment;
}

std::vector<RequestId> idsOf(const RequestShard &segment)
{
    std::vector<RequestId> ids;
    ids.reserve(segment.records_.size());
    for (const auto &[id, record] : segment.records_)
        ids.push_back(id);
    return ids;
}

void startArchive(ControlState &state, const RequestCommit &shard, ArchiveState &archive, Now now,
                  Commands &out)
{
    RequestShard segment = nextSegment(state, shard.cached_, now);
    // Small segments would cost a write each for little.
    if (segment.records_.size() < segmentRecords / 2)
        return;
    const CallId id {nextId(state)};
    archive.call_ = id;
    archive.segment_ = shard.cached_.segments_;
    archive.requests_ = idsOf(segment);
    out.emplace_back(
        SubmitStoreCall {id,
                         CompareAndSwapCall {requestSegmentKey(shard.key_, archive.segment_),
                                             Revision {}, std::move(segment), std::nullopt}});
}

} // namespace

void archiveRequests(ControlState &state, Now now, Commands &out)
{
    if (!state.bundle_ || state.stopping_)
        return;
    for (const auto &[number, shard] : state.requestShards_) {
        if (!shard.loaded_ || shard.cached_.records_.size() < segmentRecords)
            continue;
        ArchiveState &archive = state.archives_[number];
        if (archive.call_ || now.mono_ < archive.notBefore_)
            continue;
        archive.notBefore_ = now.mono_ + archiveInterval;
        startArchive(state, shard, archive, now, out);
    }
}

bool onArchiveReply(ControlState &state, const StoreReply &reply, Now now, Commands &out)
{
    for (auto &[number, archive] : state.archives_) {
        if (archive.call_ != reply.call_)
            continue;
        archive.call_.reset();
        std::vector<RequestId> requests = std::exchange(archive.requests_, {});
        if (reply.status_ == StoreStatus::Conflict && reply.current_.value_)
            requests = idsOf(std::get<RequestShard>(*reply.current_.value_));
        else if (reply.status_ != StoreStatus::Ok)
            return true;
        log(out, LogLevel::Info, "requests.archived",
            {{"shard", std::to_string(number.value_)},
             {"segment", std::to_string(archive.segment_)},
             {"records", std::to_string(requests.size())}});
        submitOp(state.requestShards_.at(number),
                 RequestOp {ArchiveOp {archive.segment_, std::move(requests)}},
                 now.mono_ + state.settings_.flushInterval_);
        return true;
    }
    return false;
}

} // namespace tamarack::detail
