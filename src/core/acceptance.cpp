// Acceptance of a bundle version.
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

void lose(Acceptance &acceptance, BundleHead winner)
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

/// Moves on from a stage that has no calls left.
void skipFinishedStages(Acceptance &acceptance)
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
    const BundleHead &wanted = acceptance.plan_.head_;
    if (isSameHead(acceptance.current_, wanted))
        finish(acceptance, AcceptanceResult::Accepted);
    else if (acceptance.current_.version_.value_ + 1 != wanted.version_.value_)
        lose(acceptance, acceptance.current_);
    else
        acceptance.stage_ = AcceptanceStage::ReadLedger;
}

bool isDrawnOn(const BudgetRecord &record)
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
            if (isDrawnOn(record))
                acceptance.budgetInUse_ = id;
        }
    } else {
        const auto &checks = plan.checks_.at(acceptance.shards_[acceptance.index_]);
        for (FundingViolation &fault : checkFunding(shard, checks))
            acceptance.fundingViolations_.push_back(std::move(fault));
    }
    ++acceptance.index_;
}

/// Judges the head that stands in place of the expected one.
void onHeadChanged(Acceptance &acceptance, const BundleHead &head)
{
    const BundleHead &wanted = acceptance.plan_.head_;
    if (isSameHead(head, wanted)) {
        finish(acceptance, AcceptanceResult::Accepted);
    } else if (acceptance.maySwap_ && head.version_ > wanted.version_) {
        acceptance.winner_ = head;
        acceptance.stage_ = AcceptanceStage::ResolveHistory;
    } else {
        lose(acceptance, head);
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
    // The lost swap may still arrive, so an unchanged head proves nothing. The same swap is sent
    // again: only one of the two can succeed, and both write the same value.
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

void onNoAnswer(Acceptance &acceptance, StoreStatus status)
{
    ++acceptance.failures_;
    if (acceptance.stage_ == AcceptanceStage::SwapHead) {
        acceptance.maySwap_ |= status == StoreStatus::Unknown;
        if (acceptance.maySwap_)
            acceptance.stage_ = AcceptanceStage::ResolveHead;
    }
}

void onAnswer(Acceptance &acceptance, const StoreReply &reply)
{
    switch (acceptance.stage_) {
    case AcceptanceStage::ReadHead:
        onHeadRead(acceptance, reply);
        break;
    case AcceptanceStage::ReadLedger:
        onLedgerRead(acceptance, reply);
        break;
    case AcceptanceStage::WriteParts:
        // A conflict means that the same content is there already.
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
        onAnswer(acceptance, reply);
    else
        onNoAnswer(acceptance, reply.status_);
    if (acceptance.stage_ != AcceptanceStage::Done && acceptance.failures_ >= maxAcceptanceFailures)
        finish(acceptance,
               acceptance.maySwap_ ? AcceptanceResult::Unknown
                                   : AcceptanceResult::StoreUnavailable);
    skipFinishedStages(acceptance);
}

} // namespace tamarack
