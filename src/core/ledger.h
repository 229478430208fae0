// The ledger: budgets in shards, each shard one value in the key-value store. The functions here
// change a copy of a shard; the caller writes it back with one compare-and-swap.
//
// Every operation is idempotent: totals are cumulative, so an operation may be applied again after
// an unknown outcome, on the old or on a newer copy of the shard.
#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/tokens.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// @brief Whether the holder of a grant is believed to be alive.
enum class GrantState {
    Active,
    /// The holder is believed dead; the unsettled armed part counts as lost until it settles.
    WrittenOff,
};

/// @brief The part of a budget that one holder may spend without asking the store again.
///
/// Invariant: settled_ >= 0, returned_ >= 0, settled_ + returned_ <= authorized_, reserve_ >= 0,
/// and reserve_ == 0 once written off.
struct Grant
{
    HolderId holder_;
    /// Cumulative tokens the holder was allowed to spend.
    Tokens authorized_;
    /// Tokens set aside for the holder; it may spend them only after a write has armed them.
    Tokens reserve_;
    /// Cumulative tokens that the holder reported as spent.
    Tokens settled_;
    GrantState state_ = GrantState::Active;
    /// Cumulative armed tokens that the holder handed back unspent.
    Tokens returned_ {};
};

/// @brief One prepaid budget.
///
/// Invariant: committed(record) <= funded_ (see committed()).
struct BudgetRecord
{
    /// Cumulative funding from the bundle.
    Tokens funded_;
    /// Version of the bundle that set funded_.
    BundleVersion fundingVersion_;
    /// Cumulative tokens billed, from all grants that ever existed.
    Tokens charged_;
    std::map<GrantId, Grant> grants_;
};

/// @brief The budgets of one shard; the unit of a compare-and-swap.
struct LedgerShard
{
    std::map<BudgetId, BudgetRecord> budgets_;
};

/// @brief Tokens that were armed for written-off holders and never settled.
Tokens lostTokens(const BudgetRecord &record);

/// @brief Tokens armed or reserved for live holders and not settled yet.
Tokens outstandingTokens(const BudgetRecord &record);

/// @brief charged + lost + outstanding: what can no longer be granted to anybody.
Tokens committedTokens(const BudgetRecord &record);

/// @brief Tokens that can still be granted; never negative.
Tokens unallocatedTokens(const BudgetRecord &record);

/// @brief Sets the cumulative funding if @a version_ is newer than the one recorded.
///
/// Funding never drops below what is already committed; an operation of the recorded version only
/// lowers it further, once less is committed.
struct FundOp
{
    BudgetId budget_;
    Tokens funded_;
    BundleVersion version_;
};

/// @brief Raises the armed total of a grant as far as unallocated tokens and its reserve allow.
///
/// The grant is created if it does not exist. The armed part is served first; the reserve gets
/// what is left. If the armed total cannot reach minAuthorizedTotal_, nothing changes: two holders
/// that each took a part too small to use would block each other.
struct DrawOp
{
    BudgetId budget_;
    GrantId grant_;
    HolderId holder_;
    /// Requested cumulative armed total.
    Tokens authorizedTotal_;
    /// Smallest cumulative armed total that is of use.
    Tokens minAuthorizedTotal_;
    /// Requested reserve in addition to the armed total.
    Tokens reserve_;
    /// False once the holder has seen the grant in the store. A draw that is applied again after
    /// the grant was released must not create it again, because its settlements would count twice.
    bool mayCreate_ = true;
};

/// @brief Reports the cumulative tokens spent from a grant. A smaller total has no effect.
struct SettleOp
{
    BudgetId budget_;
    GrantId grant_;
    Tokens settledTotal_;
};

/// @brief Hands back armed tokens that the holder will not spend. A smaller total has no effect.
struct ReturnOp
{
    BudgetId budget_;
    GrantId grant_;
    Tokens returnedTotal_;
};

/// @brief Last settlement of a grant by its holder; the unspent rest becomes unallocated.
struct ReleaseOp
{
    BudgetId budget_;
    GrantId grant_;
    Tokens settledTotal_;
};

/// @brief Takes back the reserve of a grant without its holder's consent.
struct RevokeReserveOp
{
    BudgetId budget_;
    GrantId grant_;
};

/// @brief Marks the holder of a grant as dead: the reserve is freed, the armed rest is lost.
struct WriteOffOp
{
    BudgetId budget_;
    GrantId grant_;
};

using LedgerOp
    = std::variant<FundOp, DrawOp, SettleOp, ReturnOp, ReleaseOp, RevokeReserveOp, WriteOffOp>;

/// @brief Applies one operation to a shard.
/// @return true if the shard changed
/// @note O(log budgets + grants of the budget)
bool applyOp(LedgerShard &shard, const LedgerOp &op);

/// @brief Returns the budget an operation belongs to.
const BudgetId &budgetOf(const LedgerOp &op);

/// @brief Checks the invariants of every budget in the shard.
/// @return an error that names the budget and the figures if an invariant is broken
Result<void> checkInvariants(const LedgerShard &shard);

/// @brief Returns the shard of a budget: a hash of its id modulo the number of shards.
ShardNumber ledgerShardOf(const BudgetId &budget, std::uint32_t shardCount);

} // namespace tamarack
