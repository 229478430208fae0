// Acceptance of a bundle version: which calls to the store are made in which order and what each
// reply means. The caller carries out the calls, so that tests can interleave two operators.
#pragma once

#include "core/bundle.h"
#include "core/ledger.h"
#include "core/store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

StoreKey bundleHeadKey(const std::string &prefix);
StoreKey bundlePartKey(const std::string &prefix, const std::string &sha256);
/// @brief Key of the create-only record of an accepted version: its head without the manifest.
StoreKey bundleHistoryKey(const std::string &prefix, BundleVersion version);

/// @brief A budget whose ledger record must be looked at before a version is accepted.
struct FundingCheck
{
    BudgetId budget_;
    Tokens funded_;
    /// The new version no longer has the budget.
    bool removed_ = false;
};

/// @brief Budgets that are new, removed or funded lower than before, by ledger shard.
/// @param previous null if there is no earlier version
/// @note O(budgets of the segments that differ)
std::map<ShardNumber, std::vector<FundingCheck>> fundingChecks(const Bundle *previous,
                                                               const Bundle &next);

/// @brief Why the ledger does not allow a version.
struct FundingViolation
{
    FundingCheck check_;
    Tokens charged_;
    Tokens lost_;
    Tokens outstanding_;
};

/// @brief Checks one shard.
///
/// Funding must cover what is committed; a budget is removed only when no grant is outstanding.
std::vector<FundingViolation> checkFunding(const LedgerShard &shard,
                                           const std::vector<FundingCheck> &checks);

/// @brief A part that the store may not have yet.
struct PartToStore
{
    std::string sha256_;
    std::string content_;
};

/// @brief What is to be accepted.
struct AcceptancePlan
{
    std::string prefix_;
    BundleHead head_;
    std::vector<PartToStore> parts_;
    /// Ledger checks against the version before head_.
    std::map<ShardNumber, std::vector<FundingCheck>> checks_;
    /// Number of ledger shards that must be unused because a shard count changes; else 0.
    std::uint32_t unusedShards_ = 0;
};

enum class AcceptanceStage {
    ReadHead,
    ReadLedger,
    WriteParts,
    WriteHistory,
    SwapHead,
    /// The swap's answer is lost; the head tells what happened.
    ResolveHead,
    /// A later version is accepted already; the history tells who won ours.
    ResolveHistory,
    Done,
};

enum class AcceptanceResult {
    Accepted,
    /// Another version is in force; winner_ names it.
    Superseded,
    /// The ledger does not allow it; fundingViolations_ or budgetInUse_ say why.
    Refused,
    /// The store does not answer; the version was not accepted.
    StoreUnavailable,
    /// It is not known whether the version was accepted.
    Unknown,
};

/// @brief The state of one acceptance.
///
/// Invariant: headRevision_ and current_ are valid from stage ReadLedger on; maySwap_ is true from
/// the first swap that was sent without a clear answer.
struct Acceptance
{
    AcceptancePlan plan_;
    AcceptanceStage stage_ = AcceptanceStage::ReadHead;
    /// Ledger shards that remain to be read, in ascending order.
    std::vector<ShardNumber> shards_;
    std::size_t index_ = 0;
    Revision headRevision_;
    BundleHead current_;
    bool maySwap_ = false;
    std::uint32_t failures_ = 0;
    AcceptanceResult result_ = AcceptanceResult::Unknown;
    BundleHead winner_;
    std::vector<FundingViolation> fundingViolations_;
    /// A budget that was drawn on although a shard count changes.
    std::optional<BudgetId> budgetInUse_;
};

/// Calls without an answer after which an acceptance gives up.
inline constexpr std::uint32_t maxAcceptanceFailures = 10;
/// Pause after a call without an answer.
inline constexpr Millis acceptanceRetryDelay {200};

Acceptance startAcceptance(AcceptancePlan plan);

/// @brief Returns the next call.
/// @pre stage_ is not Done
StoreCall nextCall(const Acceptance &acceptance);

/// @brief Takes the reply to the call of nextCall().
void handleReply(Acceptance &acceptance, const StoreReply &reply);

} // namespace tamarack
