// Combines two histories of a ledger shard.
#include "core/ledgerhistory.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Raises a total.
/// @return true if it changed
bool raise(Tokens &total, Tokens known)
{
    if (known <= total)
        return false;
    total = known;
    return true;
}

bool joinGrant(Grant &current, const Grant &known)
{
    bool changed = raise(current.authorized_, known.authorized_);
    changed |= raise(current.settled_, known.settled_);
    changed |= raise(current.returned_, known.returned_);
    if (known.state_ == GrantState::WrittenOff && current.state_ != known.state_) {
        current.state_ = known.state_;
        current.reserve_ = Tokens {};
        changed = true;
    }
    return changed;
}

Tokens settledTokens(const BudgetRecord &record)
{
    Tokens settled;
    for (const auto &[id, grant] : record.grants_)
        settled += grant.settled_;
    return settled;
}

/// Takes over the funding of the newer bundle version. The same version can only be lowered.
void joinFunding(BudgetRecord &current, const BudgetRecord &known)
{
    const bool newer = known.fundingVersion_ > current.fundingVersion_;
    const bool lowered
        = known.fundingVersion_ == current.fundingVersion_ && known.funded_ < current.funded_;
    if (!newer && !lowered)
        return;
    current.fundingVersion_ = known.fundingVersion_;
    current.funded_ = known.funded_;
}

bool joinRecord(BudgetRecord &current, const BudgetRecord &known)
{
    bool changed = false;
    const Tokens funded = current.funded_;
    const BundleVersion fundingVersion = current.fundingVersion_;
    joinFunding(current, known);
    // Charged from grants that were released since.
    const Tokens released = std::max(current.charged_ - settledTokens(current),
                                     known.charged_ - settledTokens(known));
    for (const auto &[id, grant] : known.grants_) {
        const auto [entry, added] = current.grants_.try_emplace(id, grant);
        changed |= added || joinGrant(entry->second, grant);
    }
    changed |= raise(current.charged_, released + settledTokens(current));
    // The copy may have granted tokens again before a holder told that it has them.
    raise(current.funded_, committedTokens(current));
    return changed || current.funded_ != funded || current.fundingVersion_ != fundingVersion;
}

} // namespace

bool joinHistories(LedgerShard &current, const LedgerShard &known)
{
    bool changed = false;
    for (const auto &[budget, record] : known.budgets_) {
        const auto [entry, added] = current.budgets_.try_emplace(budget, record);
        changed |= added || joinRecord(entry->second, record);
    }
    return changed;
}

} // namespace tamarack
