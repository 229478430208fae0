// Checks of a new bundle version against the ledger.
#include "core/acceptance.h"

namespace tamarack {

namespace {

using ChecksByShard = std::map<ShardNumber, std::vector<FundingCheck>>;

void addCheck(ChecksByShard &checks, FundingCheck check, std::uint32_t shards)
{
    checks[ledgerShardOf(check.budget_, shards)].push_back(std::move(check));
}

bool isSharedSegment(const BudgetTable &a, const BudgetTable &b, std::size_t segment)
{
    return a.segments().size() == b.segments().size()
        && a.segments()[segment] == b.segments()[segment];
}

/// Calls visit for each budget of a segment that the two tables do not share.
template <typename Visit>
void visitChanged(const BudgetTable &table, const BudgetTable &other, const Visit &visit)
{
    for (std::size_t i = 0; i < table.segments().size(); ++i) {
        if (isSharedSegment(table, other, i))
            continue;
        for (const BudgetEntry &entry : table.segments()[i]->entries_)
            visit(entry.second);
    }
}

} // namespace

ChecksByShard fundingChecks(const Bundle *previous, const Bundle &next)
{
    ChecksByShard checks;
    const std::uint32_t shards = next.policies_.ledgerShards_;
    const BudgetTable none;
    const BudgetTable &before = previous ? previous->budgets_ : none;
    visitChanged(next.budgets_, before, [&](const Budget &budget) {
        const auto old = before.find(budget.id_);
        if (old == before.end() || budget.funded_ < old->second.funded_)
            addCheck(checks, FundingCheck {budget.id_, budget.funded_, false}, shards);
    });
    visitChanged(before, next.budgets_, [&](const Budget &budget) {
        if (!next.budgets_.contains(budget.id_))
            addCheck(checks, FundingCheck {budget.id_, Tokens {}, true}, shards);
    });
    return checks;
}

std::vector<FundingViolation> checkFunding(const LedgerShard &shard,
                                           const std::vector<FundingCheck> &checks)
{
    std::vector<FundingViolation> faults;
    for (const FundingCheck &check : checks) {
        const auto found = shard.budgets_.find(check.budget_);
        if (found == shard.budgets_.end())
            continue;
        const BudgetRecord &record = found->second;
        const bool allowed = check.removed_ ? outstandingTokens(record) == Tokens {}
                                            : check.funded_ >= committedTokens(record);
        if (!allowed)
            faults.push_back(FundingViolation {check, record.charged_, lostTokens(record),
                                               outstandingTokens(record)});
    }
    return faults;
}

} // namespace tamarack
