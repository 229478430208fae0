// Applies intents, withdrawals, bills and archiving to the records of a request shard.
#include "core/requestrecords.h"

#include "core/hash.h"

#include <fmt/format.h>

namespace tamarack {

namespace {

const RequestRecord *findRecord(const RequestShard &shard, const RequestId &request)
{
    auto it = shard.records_.find(request);
    return it == shard.records_.end() ? nullptr : &it->second;
}

bool apply(RequestShard &shard, const CreateIntentOp &op)
{
    auto [it, created] = shard.records_.try_emplace(op.request_);
    if (!created && it->second.phase_ != RequestPhase::Withdrawn)
        return false;
    it->second = RequestRecord {};
    it->second.holder_ = op.holder_;
    it->second.admission_ = op.admission_;
    it->second.account_ = op.account_;
    it->second.budget_ = op.budget_;
    it->second.hasIdempotencyKey_ = true;
    it->second.updated_ = op.at_;
    return true;
}

bool apply(RequestShard &shard, const WithdrawIntentOp &op)
{
    if (!ownsIntent(shard, op.request_, op.admission_))
        return false;
    RequestRecord &record = shard.records_[op.request_];
    record.phase_ = RequestPhase::Withdrawn;
    record.updated_ = op.at_;
    return true;
}

bool apply(RequestShard &shard, const BillOp &op)
{
    RequestRecord &record = shard.records_[op.request_];
    if (record.phase_ == RequestPhase::Billed)
        return false;
    record.phase_ = RequestPhase::Billed;
    record.holder_ = op.holder_;
    record.admission_ = op.admission_;
    record.account_ = op.account_;
    record.budget_ = op.budget_;
    record.charged_ = op.charged_;
    record.completeness_ = op.completeness_;
    record.estimated_ = op.estimated_;
    record.hasIdempotencyKey_ |= op.hasIdempotencyKey_;
    record.updated_ = op.at_;
    return true;
}

bool apply(RequestShard &shard, const ArchiveOp &op)
{
    if (op.segment_ != shard.segments_)
        return false;
    for (const RequestId &request : op.requests_) {
        const RequestRecord *record = findRecord(shard, request);
        if (record && record->phase_ == RequestPhase::Billed)
            shard.records_.erase(request);
    }
    ++shard.segments_;
    return true;
}

} // namespace

bool applyOp(RequestShard &shard, const RequestOp &op)
{
    return std::visit([&shard](const auto &concrete) { return apply(shard, concrete); }, op);
}

bool ownsIntent(const RequestShard &shard, const RequestId &request, const AdmissionId &admission)
{
    const RequestRecord *record = findRecord(shard, request);
    return record && record->phase_ == RequestPhase::Intent && record->admission_ == admission;
}

bool ownsBill(const RequestShard &shard, const RequestId &request, const AdmissionId &admission)
{
    const RequestRecord *record = findRecord(shard, request);
    return record && record->phase_ == RequestPhase::Billed && record->admission_ == admission;
}

StoreKey requestSegmentKey(const StoreKey &shard, std::uint64_t segment)
{
    return StoreKey {fmt::format("{}/segments/{:08}", shard.value_, segment)};
}

ShardNumber requestShardOf(const RequestId &request, std::uint32_t shardCount)
{
    return ShardNumber {hash64(request.value_) % shardCount};
}

} // namespace tamarack
