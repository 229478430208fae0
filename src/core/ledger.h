// The ledger of prepaid budgets. It is split into shards; each shard is one value in the key-value
// store. The functions here modify a copy of a shard, and the caller writes the copy back with one
// compare-and-swap.
//
// All operations are idempotent because they carry cumulative totals. After an unknown outcome, an
// operation may be applied again to the same or a newer version of the shard.
#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/storeposition.h"
#include "core/tokens.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// @brief Whether the holder of a grant is considered alive.
enum class GrantState {
    Active,
    /// The holder was declared dead. Its authorized but unsettled tokens count as lost until the
    /// holder settles them.
    WrittenOff,
};

/// @brief The part of a budget that one holder may spend without further access to the store.
///
/// Invariant: settled_ >= 0, returned_ >= 0, settled_ + returned_ <= authorized_, reserve_ >= 0,
/// and reserve_ == 0 once written off.
struct Grant
{
    HolderId holder_;
    /// Cumulative tokens that the holder is authorized to spend.
    Tokens authorized_;
    /// Tokens set aside for the holder, which may spend them only after another draw has authorized
    /// them.
    Tokens reserve_;
    /// Cumulative tokens that the holder has reported as spent.
    Tokens settled_;
    GrantState state_ = GrantState::Active;
    /// Cumulative authorized tokens that the holder has returned unspent.
    Tokens returned_ {};
};

/// @brief One prepaid budget.
///
/// Invariant: committedTokens(record) <= funded_.
struct BudgetRecord
{
    /// Cumulative funding according to the bundle.
    Tokens funded_;
    /// Version of the bundle that set funded_.
    BundleVersion fundingVersion_;
    /// Cumulative tokens billed from all present and released grants.
    Tokens charged_;
    std::map<GrantId, Grant> grants_;
};

/// @brief The budgets of one shard, which a compare-and-swap writes as one value.
struct LedgerShard
{
    std::map<BudgetId, BudgetRecord> budgets_;
    /// Era of the store in which the shard was last written; 0 if its writer did not know eras.
    StoreEra writtenEra_ {};
};

/// @brief Returns the tokens authorized to written-off holders and not settled or returned.
/// @note O(grants)
Tokens lostTokens(const BudgetRecord &record);

/// @brief Returns the tokens authorized to or set aside for live holders and not settled or
/// returned.
/// @note O(grants)
Tokens outstandingTokens(const BudgetRecord &record);

/// @brief Returns charged + lost + outstanding tokens, which cannot be granted again.
/// @note O(grants)
Tokens committedTokens(const BudgetRecord &record);

/// @brief Returns the tokens that can still be granted; never negative.
/// @note O(grants)
Tokens unallocatedTokens(const BudgetRecord &record);

/// @brief Sets the cumulative funding if @a version_ is newer than the recorded version.
///
/// Funding is never set below the committed tokens. Applying an operation of the recorded version
/// again can only lower the funding further, after tokens have been returned or released.
struct FundOp
{
    BudgetId budget_;
    Tokens funded_;
    BundleVersion version_;
};

/// @brief Raises the authorized total of a grant, limited by the unallocated tokens and its
/// reserve.
///
/// The grant is created if it does not exist. Tokens are allocated to the authorized total first
/// and then to the reserve. If the authorized total cannot reach minAuthorizedTotal_, nothing
/// changes; otherwise two holders could each draw a part too small for their requests and block
/// each other.
struct DrawOp
{
    BudgetId budget_;
    GrantId grant_;
    HolderId holder_;
    /// Requested cumulative authorized total.
    Tokens authorizedTotal_;
    /// Smallest cumulative authorized total that lets the holder serve a request.
    Tokens minAuthorizedTotal_;
    /// Requested reserve in addition to the authorized total.
    Tokens reserve_;
    /// False once the holder has seen the grant in the store. Otherwise a draw that is applied
    /// again after the release of the grant would create it again, and its settlements would be
    /// counted twice.
    bool mayCreate_ = true;
};

/// @brief Records the cumulative tokens spent from a grant. A smaller total has no effect.
struct SettleOp
{
    BudgetId budget_;
    GrantId grant_;
    Tokens settledTotal_;
};

/// @brief Records the cumulative authorized tokens that the holder returns unspent. A smaller total
/// has no effect.
struct ReturnOp
{
    BudgetId budget_;
    GrantId grant_;
    Tokens returnedTotal_;
};

/// @brief Settles a grant for the last time and deletes it; unspent tokens become unallocated.
struct ReleaseOp
{
    BudgetId budget_;
    GrantId grant_;
    Tokens settledTotal_;
};

/// @brief Removes the reserve of a grant. The holder need not agree, since it cannot spend the
/// reserve.
struct RevokeReserveOp
{
    BudgetId budget_;
    GrantId grant_;
};

/// @brief Marks the holder of a grant as dead. The reserve becomes unallocated, and authorized
/// tokens that are neither settled nor returned count as lost.
struct WriteOffOp
{
    BudgetId budget_;
    GrantId grant_;
};

using LedgerOp
    = std::variant<FundOp, DrawOp, SettleOp, ReturnOp, ReleaseOp, RevokeReserveOp, WriteOffOp>;

/// @brief Applies one operation to a shard.
/// @return true if the shard changed
/// @note O(log(budgets) + grants of the budget)
bool applyOp(LedgerShard &shard, const LedgerOp &op);

/// @brief Returns the budget that an operation applies to.
const BudgetId &budgetOf(const LedgerOp &op);

/// @brief Checks the invariants of every budget and grant in the shard.
/// @return an error with the id of the budget and its totals if an invariant is violated
Result<void> checkInvariants(const LedgerShard &shard);

/// @brief Returns the shard of a budget: a hash of its id modulo the number of shards.
ShardNumber ledgerShardOf(const BudgetId &budget, std::uint32_t shardCount);

} // namespace tamarack
