// Implementation of bundle acceptance.
#include "core/acceptance.h"

#include <fmt/format.h>

namespace tamarack {

namespace {

bool isSameHead(const BundleHead &a, const BundleHead &b)
{
    return a.version_ == b.version_ && a.operator_ == b.operator_ && a.signature_ == b.signature_;
}

void finish(Acceptance &acceptance, AcceptanceResult result)
{
    acceptance.stage_ = AcceptanceStage::Done;
    acceptance.result_ = result;
}

void finishSuperseded(Acceptance &acceptance, BundleHead winner)
{
    acceptance.winner_ = std::move(winner);
    finish(acceptance, AcceptanceResult::Superseded);
}

std::vector<ShardNumber> shardsToRead(const AcceptancePlan &plan)
{
    std::vector<ShardNumber> shards;
    for (std::uint32_t i = 0; i < plan.unusedShards_; ++i)
        shards.push_back(ShardNumber {i});
    if (!shards.empty())
        return shards;
    for (const auto &[shard, checks] : plan.checks_)
        shards.push_back(shard);
    return shards;
}

/// Advances to the next stage if the current one has no calls left.
void advanceStage(Acceptance &acceptance)
{
    if (acceptance.stage_ == AcceptanceStage::ReadLedger
        && acceptance.index_ == acceptance.shards_.size()) {
        if (!acceptance.fundingViolations_.empty() || acceptance.budgetInUse_) {
            finish(acceptance, AcceptanceResult::Refused);
            return;
        }
        acceptance.stage_ = AcceptanceStage::WriteParts;
        acceptance.index_ = 0;
    }
    if (acceptance.stage_ == AcceptanceStage::WriteParts
        && acceptance.index_ == acceptance.plan_.parts_.size())
        acceptance.stage_ = AcceptanceStage::WriteHistory;
    if (acceptance.stage_ == AcceptanceStage::WriteHistory
        && acceptance.current_.version_ == BundleVersion {})
        acceptance.stage_ = AcceptanceStage::SwapHead;
}

BundleHead headOf(const StoreReply &reply)
{
    return reply.current_.value_ ? std::get<BundleHead>(*reply.current_.value_) : BundleHead {};
}

void onHeadRead(Acceptance &acceptance, const StoreReply &reply)
{
    acceptance.current_ = headOf(reply);
    acceptance.headRevision_ = reply.current_.revision_;
    const BundleHead &proposed = acceptance.plan_.head_;
    if (isSameHead(acceptance.current_, proposed))
        finish(acceptance, AcceptanceResult::Accepted);
    else if (acceptance.current_.version_.value_ + 1 != proposed.version_.value_)
        finishSuperseded(acceptance, acceptance.current_);
    else
        acceptance.stage_ = AcceptanceStage::ReadLedger;
}

bool isInUse(const BudgetRecord &record)
{
    return record.charged_ > Tokens {} || !record.grants_.empty();
}

void onLedgerRead(Acceptance &acceptance, const StoreReply &reply)
{
    const LedgerShard shard
        = reply.current_.value_ ? std::get<LedgerShard>(*reply.current_.value_) : LedgerShard {};
    const AcceptancePlan &plan = acceptance.plan_;
    if (plan.unusedShards_ > 0) {
        for (const auto &[id, record] : shard.budgets_) {
            if (isInUse(record))
                acceptance.budgetInUse_ = id;
        }
    } else {
        const auto &checks = plan.checks_.at(acceptance.shards_[acceptance.index_]);
        for (FundingViolation &fault : checkFunding(shard, checks))
            acceptance.fundingViolations_.push_back(std::move(fault));
    }
    ++acceptance.index_;
}

/// Determines the outcome from a head that differs from the expected one.
void onHeadChanged(Acceptance &acceptance, const BundleHead &head)
{
    const BundleHead &proposed = acceptance.plan_.head_;
    if (isSameHead(head, proposed)) {
        finish(acceptance, AcceptanceResult::Accepted);
    } else if (acceptance.swapMayHaveSucceeded_ && head.version_ > proposed.version_) {
        acceptance.winner_ = head;
        acceptance.stage_ = AcceptanceStage::ResolveHistory;
    } else {
        finishSuperseded(acceptance, head);
    }
}

void onSwapReply(Acceptance &acceptance, const StoreReply &reply)
{
    if (reply.status_ == StoreStatus::Ok)
        finish(acceptance, AcceptanceResult::Accepted);
    else
        onHeadChanged(acceptance, headOf(reply));
}

void onHeadResolved(Acceptance &acceptance, const StoreReply &reply)
{
    // The store may still apply the swap whose reply was lost, so an unchanged head does not show
    // that the swap failed. Sending it again is safe: both calls write the same value, and the
    // revision check lets only one of them succeed.
    if (reply.current_.revision_ == acceptance.headRevision_) {
        acceptance.stage_ = AcceptanceStage::SwapHead;
        ++acceptance.failures_;
    } else {
        onHeadChanged(acceptance, headOf(reply));
    }
}

void onHistoryResolved(Acceptance &acceptance, const StoreReply &reply)
{
    if (!reply.current_.value_)
        finish(acceptance, AcceptanceResult::Unknown);
    else if (isSameHead(headOf(reply), acceptance.plan_.head_))
        finish(acceptance, AcceptanceResult::Accepted);
    else
        finish(acceptance, AcceptanceResult::Superseded);
}

void onCallFailed(Acceptance &acceptance, StoreStatus status)
{
    ++acceptance.failures_;
    if (acceptance.stage_ == AcceptanceStage::SwapHead) {
        acceptance.swapMayHaveSucceeded_ |= status == StoreStatus::Unknown;
        if (acceptance.swapMayHaveSucceeded_)
            acceptance.stage_ = AcceptanceStage::ResolveHead;
    }
}

void processStageReply(Acceptance &acceptance, const StoreReply &reply)
{
    switch (acceptance.stage_) {
    case AcceptanceStage::ReadHead:
        onHeadRead(acceptance, reply);
        break;
    case AcceptanceStage::ReadLedger:
        onLedgerRead(acceptance, reply);
        break;
    case AcceptanceStage::WriteParts:
        // A conflict means that the store already contains the part.
        ++acceptance.index_;
        break;
    case AcceptanceStage::WriteHistory:
        acceptance.stage_ = AcceptanceStage::SwapHead;
        break;
    case AcceptanceStage::SwapHead:
        onSwapReply(acceptance, reply);
        break;
    case AcceptanceStage::ResolveHead:
        onHeadResolved(acceptance, reply);
        break;
    case AcceptanceStage::ResolveHistory:
        onHistoryResolved(acceptance, reply);
        break;
    case AcceptanceStage::Done:
        break;
    }
}

} // namespace

StoreKey bundleHeadKey(const std::string &prefix)
{
    return StoreKey {prefix + "/bundle/head"};
}

StoreKey bundlePartKey(const std::string &prefix, const std::string &sha256)
{
    return StoreKey {prefix + "/bundle/parts/" + sha256};
}

StoreKey bundleHistoryKey(const std::string &prefix, BundleVersion version)
{
    return StoreKey {fmt::format("{}/bundle/history/{}", prefix, version.value_)};
}

Acceptance startAcceptance(AcceptancePlan plan)
{
    Acceptance acceptance;
    acceptance.shards_ = shardsToRead(plan);
    acceptance.plan_ = std::move(plan);
    return acceptance;
}

StoreCall nextCall(const Acceptance &acceptance)
{
    const AcceptancePlan &plan = acceptance.plan_;
    switch (acceptance.stage_) {
    case AcceptanceStage::ReadLedger:
        return ReadCall {StoreKey {fmt::format("{}/ledger/{}", plan.prefix_,
                                               acceptance.shards_[acceptance.index_].value_)},
                         StoredKind::LedgerShard};
    case AcceptanceStage::WriteParts: {
        const PartToStore &part = plan.parts_[acceptance.index_];
        return CompareAndSwapCall {bundlePartKey(plan.prefix_, part.sha256_), Revision {},
                                   BundlePart {part.content_}, std::nullopt};
    }
    case AcceptanceStage::WriteHistory: {
        BundleHead entry = acceptance.current_;
        entry.manifest_.clear();
        return CompareAndSwapCall {bundleHistoryKey(plan.prefix_, entry.version_), Revision {},
                                   std::move(entry), std::nullopt};
    }
    case AcceptanceStage::SwapHead:
        return CompareAndSwapCall {bundleHeadKey(plan.prefix_), acceptance.headRevision_,
                                   plan.head_, std::nullopt};
    case AcceptanceStage::ResolveHistory:
        return ReadCall {bundleHistoryKey(plan.prefix_, plan.head_.version_),
                         StoredKind::BundleHead};
    case AcceptanceStage::ReadHead:
    case AcceptanceStage::ResolveHead:
    case AcceptanceStage::Done:
        break;
    }
    return ReadCall {bundleHeadKey(plan.prefix_), StoredKind::BundleHead};
}

void handleReply(Acceptance &acceptance, const StoreReply &reply)
{
    if (reply.status_ == StoreStatus::Ok || reply.status_ == StoreStatus::Conflict)
        processStageReply(acceptance, reply);
    else
        onCallFailed(acceptance, reply.status_);
    if (acceptance.stage_ != AcceptanceStage::Done && acceptance.failures_ >= maxAcceptanceFailures)
        finish(acceptance,
               acceptance.swapMayHaveSucceeded_ ? AcceptanceResult::Unknown
                                                : AcceptanceResult::StoreUnavailable);
    advanceStage(acceptance);
}

} // namespace tamarack
