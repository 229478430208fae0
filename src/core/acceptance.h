// State machine that accepts a bundle version in the store. It returns the next store call and
// processes the reply; the caller executes the calls, so that tests can interleave the calls of two
// operators.
#pragma once

#include "core/bundle.h"
#include "core/ledger.h"
#include "core/store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Returns the key of the bundle head.
StoreKey bundleHeadKey(const std::string &prefix);
/// @brief Returns the key of the bundle part with the digest @a sha256.
StoreKey bundlePartKey(const std::string &prefix, const std::string &sha256);
/// @brief Returns the key of the immutable history entry of an accepted version, which contains the
/// bundle head without the manifest.
StoreKey bundleHistoryKey(const std::string &prefix, BundleVersion version);

/// @brief A budget whose ledger record must be checked before a version is accepted.
struct FundingCheck
{
    BudgetId budget_;
    Tokens funded_;
    /// The new version does not contain the budget.
    bool removed_ = false;
};

/// @brief Returns the budgets that are new, removed or have lower funding, grouped by ledger shard.
/// @param previous the currently accepted version, or null if there is none
/// @note O(budgets of the segments that differ)
std::map<ShardNumber, std::vector<FundingCheck>> fundingChecks(const Bundle *previous,
                                                               const Bundle &next);

/// @brief A failed funding check, with the ledger totals of the budget.
struct FundingViolation
{
    FundingCheck check_;
    Tokens charged_;
    Tokens lost_;
    Tokens outstanding_;
};

/// @brief Checks the budgets of one ledger shard.
///
/// Funding must cover the committed tokens, and a budget can be removed only if it has no
/// outstanding tokens.
/// @return the checks that failed
std::vector<FundingViolation> checkFunding(const LedgerShard &shard,
                                           const std::vector<FundingCheck> &checks);

/// @brief A bundle part that the store may not contain yet.
struct PartToStore
{
    std::string sha256_;
    std::string content_;
};

/// @brief The bundle version to accept and the ledger checks that it must pass.
struct AcceptancePlan
{
    std::string prefix_;
    BundleHead head_;
    std::vector<PartToStore> parts_;
    /// Checks derived from the differences to the version before head_.
    std::map<ShardNumber, std::vector<FundingCheck>> checks_;
    /// If a shard count changes: the number of ledger shards, none of which may be in use.
    /// Otherwise 0.
    std::uint32_t unusedShards_ = 0;
};

enum class AcceptanceStage {
    ReadHead,
    ReadLedger,
    WriteParts,
    WriteHistory,
    SwapHead,
    /// The reply to the swap was lost; reads the head to determine the outcome.
    ResolveHead,
    /// A later version is accepted; reads the history to determine who published this version.
    ResolveHistory,
    Done,
};

enum class AcceptanceResult {
    Accepted,
    /// Another version was accepted; see winner_.
    Superseded,
    /// A ledger check failed; see fundingViolations_ and budgetInUse_.
    Refused,
    /// The store did not reply; the version was not accepted.
    StoreUnavailable,
    /// The store did not reply; the version may have been accepted.
    Unknown,
};

/// @brief State of one acceptance attempt.
///
/// Invariant: headRevision_ and current_ are valid from stage ReadLedger on; swapMayHaveSucceeded_
/// is true from the first swap with an unknown outcome on.
struct Acceptance
{
    AcceptancePlan plan_;
    AcceptanceStage stage_ = AcceptanceStage::ReadHead;
    /// Ledger shards to read, in ascending order.
    std::vector<ShardNumber> shards_;
    /// Position in shards_ (stage ReadLedger) or in the parts of the plan (stage WriteParts).
    std::size_t index_ = 0;
    Revision headRevision_;
    /// The accepted head before this acceptance.
    BundleHead current_;
    bool swapMayHaveSucceeded_ = false;
    std::uint32_t failures_ = 0;
    AcceptanceResult result_ = AcceptanceResult::Unknown;
    BundleHead winner_;
    std::vector<FundingViolation> fundingViolations_;
    /// If a shard count changes: a budget that is in use and therefore prevents the change.
    std::optional<BudgetId> budgetInUse_;
};

/// Number of failed store calls after which the acceptance is aborted.
inline constexpr std::uint32_t maxAcceptanceFailures = 10;
/// Delay before the next call after a failed store call.
inline constexpr Millis acceptanceRetryDelay {200};

/// @brief Creates an acceptance in its first stage.
Acceptance startAcceptance(AcceptancePlan plan);

/// @brief Returns the next store call to execute.
/// @pre stage_ is not Done
StoreCall nextCall(const Acceptance &acceptance);

/// @brief Processes the reply to the call returned by nextCall().
void handleReply(Acceptance &acceptance, const StoreReply &reply);

} // namespace tamarack
