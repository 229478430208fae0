// Request records: intents, outcomes and billing, in shards of the key-value store.
//
// A record makes a non-idempotent request run at most once and every request be billed once. The
// operations are idempotent, because each names the admission that asks for it. The holder alone
// would not do: a caller's retry at the same daemon must not be taken for the creator.
#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/tokens.h"

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace tamarack {

/// @brief How far a request has come.
enum class RequestPhase {
    /// The creator may send it to an upstream; nobody else may.
    Intent,
    /// The creator promised never to send it. A retry may create a new intent.
    Withdrawn,
    /// It is finished and billed.
    Billed,
};

/// @brief How complete the answer was that the caller received.
enum class Completeness {
    Complete,
    Truncated,
    /// The upstream refused or never answered; nothing was delivered.
    None,
};

/// @brief One request that must not run or be billed twice.
///
/// Invariant: admission_ never changes while phase_ is Intent; charged_ is set once, with Billed.
struct RequestRecord
{
    RequestPhase phase_ = RequestPhase::Intent;
    HolderId holder_;
    /// The admission that wrote the phase.
    AdmissionId admission_;
    AccountId account_;
    BudgetId budget_;
    Tokens charged_;
    Completeness completeness_ = Completeness::None;
    /// The charge is the worst case, because the daemon that knew the real cost died.
    bool estimated_ = false;
    /// The caller gave an idempotency key, so the same request id may arrive again.
    bool hasIdempotencyKey_ = false;
    WallTime updated_;
};

/// @brief The request records of one shard; the unit of a compare-and-swap.
struct RequestShard
{
    std::map<RequestId, RequestRecord> records_;
    /// Number of create-only segments that records were moved to.
    std::uint64_t segments_ = 0;
};

/// @brief Creates the intent unless another admission has one or the request is billed.
struct CreateIntentOp
{
    RequestId request_;
    HolderId holder_;
    AdmissionId admission_;
    AccountId account_;
    BudgetId budget_;
    WallTime at_;
};

/// @brief Withdraws the intent of an admission that has sent nothing to an upstream.
struct WithdrawIntentOp
{
    RequestId request_;
    AdmissionId admission_;
    WallTime at_;
};

/// @brief Records the bill of a request unless it has one.
struct BillOp
{
    RequestId request_;
    HolderId holder_;
    AdmissionId admission_;
    AccountId account_;
    BudgetId budget_;
    Tokens charged_;
    Completeness completeness_ = Completeness::Complete;
    bool estimated_ = false;
    bool hasIdempotencyKey_ = false;
    WallTime at_;
};

/// @brief Removes the billed records that a stored segment holds. Has no effect for any but the
/// next segment, so that it can be repeated.
struct ArchiveOp
{
    std::uint64_t segment_ = 0;
    std::vector<RequestId> requests_;
};

using RequestOp = std::variant<CreateIntentOp, WithdrawIntentOp, BillOp, ArchiveOp>;

/// @brief Applies one operation to a shard.
/// @return true if the shard changed
/// @note O(log records) for each request the operation names
bool applyOp(RequestShard &shard, const RequestOp &op);

/// @brief Returns true if @a admission created the intent and may send the request.
bool ownsIntent(const RequestShard &shard, const RequestId &request, const AdmissionId &admission);

/// @brief Returns true if @a admission recorded the bill of @a request.
bool ownsBill(const RequestShard &shard, const RequestId &request, const AdmissionId &admission);

/// @brief Returns the key of a create-only segment of a request shard.
StoreKey requestSegmentKey(const StoreKey &shard, std::uint64_t segment);

/// @brief Returns the shard of a request: a hash of its id modulo the number of shards.
ShardNumber requestShardOf(const RequestId &request, std::uint32_t shardCount);

} // namespace tamarack
