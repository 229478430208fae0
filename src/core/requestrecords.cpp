// Operations on request records.
#include "core/requestrecords.h"

#include "core/hash.h"

namespace tamarack {

namespace {

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
    record.updated_ = op.at_;
    return true;
}

bool apply(RequestShard &shard, const ExpireOp &op)
{
    const auto erased = std::erase_if(shard.records_, [&op](const auto &entry) {
        const RequestRecord &record = entry.second;
        return record.phase_ != RequestPhase::Intent && record.updated_ < op.before_;
    });
    return erased > 0;
}

const RequestRecord *findRecord(const RequestShard &shard, const RequestId &request)
{
    auto it = shard.records_.find(request);
    return it == shard.records_.end() ? nullptr : &it->second;
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

ShardNumber requestShardOf(const RequestId &request, std::uint32_t shardCount)
{
    return ShardNumber {hash64(request.value_) % shardCount};
}

} // namespace tamarack
