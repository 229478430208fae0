// Implementation of ledger operations and invariant checks.
#include "core/ledger.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack {

namespace {

Tokens unsettledTokens(const Grant &grant)
{
    return grant.authorized_ - grant.returned_ - grant.settled_;
}

BudgetRecord *findBudget(LedgerShard &shard, const BudgetId &budget)
{
    auto it = shard.budgets_.find(budget);
    return it == shard.budgets_.end() ? nullptr : &it->second;
}

Grant *findGrant(LedgerShard &shard, const BudgetId &budget, const GrantId &grant)
{
    BudgetRecord *record = findBudget(shard, budget);
    if (!record)
        return nullptr;
    auto it = record->grants_.find(grant);
    return it == record->grants_.end() ? nullptr : &it->second;
}

bool raiseSettledTotal(BudgetRecord &record, Grant &grant, Tokens settledTotal)
{
    const Tokens total = std::min(settledTotal, grant.authorized_ - grant.returned_);
    if (total <= grant.settled_)
        return false;
    record.charged_ += total - grant.settled_;
    grant.settled_ = total;
    return true;
}

bool apply(LedgerShard &shard, const FundOp &op)
{
    BudgetRecord &record = shard.budgets_[op.budget_];
    if (op.version_ < record.fundingVersion_)
        return false;
    const Tokens funded = std::max(op.funded_, committedTokens(record));
    // Funding below the committed tokens is lowered in steps, as holders return or release tokens.
    if (op.version_ == record.fundingVersion_ && funded >= record.funded_)
        return false;
    record.fundingVersion_ = op.version_;
    record.funded_ = funded;
    return true;
}

bool apply(LedgerShard &shard, const DrawOp &op)
{
    BudgetRecord *record = findBudget(shard, op.budget_);
    if (!record)
        return false;
    const auto it = record->grants_.find(op.grant_);
    const bool exists = it != record->grants_.end();
    if (!exists && !op.mayCreate_)
        return false;
    Grant grant = exists ? it->second : Grant {op.holder_, {}, {}, {}, GrantState::Active};
    // A written-off holder that returns may settle this grant, but must draw from a new one.
    if (grant.state_ == GrantState::WrittenOff)
        return false;
    const Tokens available = unallocatedTokens(*record) + grant.reserve_;
    if (grant.authorized_ + available < op.minAuthorizedTotal_)
        return false;
    const Tokens additional
        = std::clamp(op.authorizedTotal_ - grant.authorized_, Tokens {}, available);
    const Tokens reserve = std::min(op.reserve_, available - additional);
    const bool changed = additional != Tokens {} || reserve != grant.reserve_;
    if (!changed)
        return false;
    grant.authorized_ += additional;
    grant.reserve_ = reserve;
    record->grants_[op.grant_] = std::move(grant);
    return true;
}

bool apply(LedgerShard &shard, const SettleOp &op)
{
    Grant *grant = findGrant(shard, op.budget_, op.grant_);
    return grant && raiseSettledTotal(shard.budgets_[op.budget_], *grant, op.settledTotal_);
}

bool apply(LedgerShard &shard, const ReturnOp &op)
{
    Grant *grant = findGrant(shard, op.budget_, op.grant_);
    if (!grant)
        return false;
    const Tokens total = std::min(op.returnedTotal_, grant->authorized_ - grant->settled_);
    if (total <= grant->returned_)
        return false;
    grant->returned_ = total;
    return true;
}

bool apply(LedgerShard &shard, const ReleaseOp &op)
{
    Grant *grant = findGrant(shard, op.budget_, op.grant_);
    if (!grant)
        return false;
    BudgetRecord &record = shard.budgets_[op.budget_];
    raiseSettledTotal(record, *grant, op.settledTotal_);
    record.grants_.erase(op.grant_);
    return true;
}

bool apply(LedgerShard &shard, const RevokeReserveOp &op)
{
    Grant *grant = findGrant(shard, op.budget_, op.grant_);
    if (!grant || grant->reserve_ == Tokens {})
        return false;
    grant->reserve_ = Tokens {};
    return true;
}

bool apply(LedgerShard &shard, const WriteOffOp &op)
{
    Grant *grant = findGrant(shard, op.budget_, op.grant_);
    if (!grant || grant->state_ == GrantState::WrittenOff)
        return false;
    grant->state_ = GrantState::WrittenOff;
    grant->reserve_ = Tokens {};
    return true;
}

} // namespace

Tokens lostTokens(const BudgetRecord &record)
{
    Tokens sum;
    for (const auto &[id, grant] : record.grants_) {
        if (grant.state_ == GrantState::WrittenOff)
            sum += unsettledTokens(grant);
    }
    return sum;
}

Tokens outstandingTokens(const BudgetRecord &record)
{
    Tokens sum;
    for (const auto &[id, grant] : record.grants_) {
        if (grant.state_ == GrantState::Active)
            sum += unsettledTokens(grant) + grant.reserve_;
    }
    return sum;
}

Tokens committedTokens(const BudgetRecord &record)
{
    return record.charged_ + lostTokens(record) + outstandingTokens(record);
}

Tokens unallocatedTokens(const BudgetRecord &record)
{
    return std::max(record.funded_ - committedTokens(record), Tokens {});
}

bool applyOp(LedgerShard &shard, const LedgerOp &op)
{
    return std::visit([&shard](const auto &concrete) { return apply(shard, concrete); }, op);
}

const BudgetId &budgetOf(const LedgerOp &op)
{
    return std::visit([](const auto &concrete) -> const BudgetId & { return concrete.budget_; },
                      op);
}

Result<void> checkInvariants(const LedgerShard &shard)
{
    for (const auto &[id, record] : shard.budgets_) {
        if (committedTokens(record) > record.funded_)
            return fail(
                ErrorKind::LedgerInvariant, "tamarack.ledger.101",
                fmt::format("budget {}: charged {} + lost {} + outstanding {} exceeds funded "
                            "{}; stop the daemons and report the error",
                            id.value_, record.charged_.count_, lostTokens(record).count_,
                            outstandingTokens(record).count_, record.funded_.count_));
        for (const auto &[grantId, grant] : record.grants_) {
            const bool settledInRange = grant.settled_ >= Tokens {} && grant.returned_ >= Tokens {}
                && unsettledTokens(grant) >= Tokens {};
            const bool reserveValid = grant.reserve_ == Tokens {}
                || (grant.reserve_ > Tokens {} && grant.state_ == GrantState::Active);
            if (!settledInRange || !reserveValid)
                return fail(ErrorKind::LedgerInvariant, "tamarack.ledger.102",
                            fmt::format("budget {} grant {}: armed {}, reserve {}, settled {} are "
                                        "inconsistent; stop the daemons and report the error",
                                        id.value_, grantId.value_, grant.authorized_.count_,
                                        grant.reserve_.count_, grant.settled_.count_));
        }
    }
    return {};
}

ShardNumber ledgerShardOf(const BudgetId &budget, std::uint32_t shardCount)
{
    return ShardNumber {hash64(budget.value_) % shardCount};
}

} // namespace tamarack
