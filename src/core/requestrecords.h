// Request records: the intents, outcomes and bills of requests, stored in shards of the key-value
// store. An intent is written before a request is sent and states which admission may send it.
//
// Records ensure that a non-idempotent request runs at most once and that every request is billed
// at most once. The operations are idempotent because each carries the id of the admission that
// submits it. The holder id is not sufficient: a retry by the caller at the same daemon has the
// same holder but does not own the intent of the first attempt.
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

/// @brief Processing phase of a request.
enum class RequestPhase {
    /// Only the admission that created the intent may send the request to an upstream.
    Intent,
    /// The admission that created the intent will never send the request. A retry may create a new
    /// intent.
    Withdrawn,
    /// The request is finished and billed.
    Billed,
};

/// @brief Completeness of the response that the caller received.
enum class Completeness {
    Complete,
    /// The response ended before it was complete.
    Truncated,
    /// The upstream rejected the request or did not respond; nothing was delivered.
    None,
};

/// @brief The record of one request, which must not run twice or be billed twice.
///
/// Invariant: admission_ does not change while phase_ is Intent; charged_ is set once, together
/// with phase Billed.
struct RequestRecord
{
    RequestPhase phase_ = RequestPhase::Intent;
    HolderId holder_;
    /// The admission that last set the phase.
    AdmissionId admission_;
    AccountId account_;
    BudgetId budget_;
    Tokens charged_;
    Completeness completeness_ = Completeness::None;
    /// The charge is the worst-case cost, because the daemon that knew the actual cost died.
    bool estimated_ = false;
    /// The caller sent an idempotency key, so the same request id may be received again.
    bool hasIdempotencyKey_ = false;
    WallTime updated_;
};

/// @brief The request records of one shard, which a compare-and-swap writes as one value.
struct RequestShard
{
    std::map<RequestId, RequestRecord> records_;
    /// Number of immutable archive segments that records have been moved to.
    std::uint64_t segments_ = 0;
};

/// @brief Creates an intent unless one exists already or the request is billed.
struct CreateIntentOp
{
    RequestId request_;
    HolderId holder_;
    AdmissionId admission_;
    AccountId account_;
    BudgetId budget_;
    WallTime at_;
};

/// @brief Withdraws the intent of an admission that has not sent the request to an upstream.
struct WithdrawIntentOp
{
    RequestId request_;
    AdmissionId admission_;
    WallTime at_;
};

/// @brief Records the bill of a request unless the request is billed already.
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

/// @brief Removes the billed records that a stored archive segment contains.
///
/// The operation has no effect unless segment_ is the next segment, so it can be repeated safely.
struct ArchiveOp
{
    std::uint64_t segment_ = 0;
    std::vector<RequestId> requests_;
};

using RequestOp = std::variant<CreateIntentOp, WithdrawIntentOp, BillOp, ArchiveOp>;

/// @brief Applies one operation to a shard.
/// @return true if the shard changed
/// @note O(log(records)) for each request that the operation names
bool applyOp(RequestShard &shard, const RequestOp &op);

/// @brief Returns true if @a admission owns the current intent and may send the request.
bool ownsIntent(const RequestShard &shard, const RequestId &request, const AdmissionId &admission);

/// @brief Returns true if @a admission recorded the bill of @a request.
bool ownsBill(const RequestShard &shard, const RequestId &request, const AdmissionId &admission);

/// @brief Returns the key of an archive segment of a request shard.
StoreKey requestSegmentKey(const StoreKey &shard, std::uint64_t segment);

/// @brief Returns the shard of a request: a hash of its id modulo the number of shards.
ShardNumber requestShardOf(const RequestId &request, std::uint32_t shardCount);

} // namespace tamarack
