// Group commit for one shard. At most one store call per shard is in flight; operations submitted
// in the meantime are batched into the next call. All operations are idempotent, so after a
// conflict or an unknown outcome they are applied again to a freshly read copy.
#pragma once

#include "core/ledgerhistory.h"
#include "core/store.h"
#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace tamarack {

/// Backoff after the first failed call. It doubles with each further failure, up to the limit of
/// the shard.
inline constexpr Millis minCommitBackoff {20};
inline constexpr Millis maxCommitBackoff {2000};

/// @brief Group commit state of one shard.
/// @tparam Shard value type stored under the key of the shard
/// @tparam Op operation type, for which applyOp(Shard &, const Op &) returns true on a change
///
/// Invariants: inFlight_ is empty unless call_ is set; revision_ is valid only if loaded_ is true;
/// cached_ is the last value that is known of the store if loaded_ is true or era_ is set;
/// proposed_ is valid only if swapping_ is true.
template <typename Shard, typename Op>
struct ShardCommit
{
    StoreKey key_;
    StoredKind kind_ = StoredKind::LedgerShard;
    bool loaded_ = false;
    Revision revision_;
    Shard cached_;
    /// The value that the compare-and-swap in flight writes.
    Shard proposed_;
    bool swapping_ = false;
    /// Era of the last reply; 0 if there was none, or if the store does not count eras.
    StoreEra era_ {};
    /// cached_ contains changes that the store has lost and that must be written again.
    bool joinPending_ = false;
    /// What other daemons reported in earlier eras and the store may have lost. The next reply
    /// joins it with cached_.
    Shard reported_;
    std::vector<Op> pending_;
    std::vector<Op> inFlight_;
    std::optional<CallId> call_;
    /// When the next call should start. Later operations may move it to an earlier time.
    std::optional<MonoTime> startBy_;
    /// No call starts before this time (backoff after failed calls).
    MonoTime backoffUntil_ {};
    std::uint32_t failures_ = 0;
    Millis maxBackoff_ = maxCommitBackoff;
};

/// @brief Queues an operation for the next call, which should start no later than @a startBy.
template <typename Shard, typename Op>
void submitOp(ShardCommit<Shard, Op> &shard, Op op, MonoTime startBy)
{
    shard.pending_.push_back(std::move(op));
    shard.startBy_ = shard.startBy_ ? std::min(*shard.startBy_, startBy) : startBy;
}

/// @brief Schedules a call to start no later than @a startBy. If no operation is pending by then,
/// the call is a read.
template <typename Shard, typename Op>
void scheduleCall(ShardCommit<Shard, Op> &shard, MonoTime startBy)
{
    shard.startBy_ = shard.startBy_ ? std::min(*shard.startBy_, startBy) : startBy;
}

/// @brief Returns true if every submitted operation is committed and no call is in flight.
template <typename Shard, typename Op>
bool isIdle(const ShardCommit<Shard, Op> &shard)
{
    return !shard.call_ && shard.pending_.empty() && !shard.joinPending_;
}

/// @brief Returns when the next call may start, or nothing if a call is in flight or none is
/// scheduled.
template <typename Shard, typename Op>
std::optional<MonoTime> nextCallTime(const ShardCommit<Shard, Op> &shard)
{
    if (shard.call_ || !shard.startBy_)
        return std::nullopt;
    return std::max(*shard.startBy_, shard.backoffUntil_);
}

/// @brief Starts the next call of a shard if its start time has been reached.
///
/// If the pending operations do not change the cached copy, a read confirms them instead of a
/// write, because the store serves more reads than writes.
/// @param id the id of the new call
/// @return the call to make, or nothing if no call is to be made now
/// @note O(shard size), because the shard is copied for each write
template <typename Shard, typename Op>
std::optional<StoreCall> startCall(ShardCommit<Shard, Op> &shard, CallId id, MonoTime now)
{
    const std::optional<MonoTime> start = nextCallTime(shard);
    if (!start || now < *start)
        return std::nullopt;
    bool changed = false;
    if (shard.loaded_) {
        changed = shard.joinPending_;
        shard.proposed_ = shard.cached_;
        setWrittenEra(shard.proposed_, shard.era_);
        for (const Op &op : shard.pending_)
            changed |= applyOp(shard.proposed_, op);
    }
    shard.swapping_ = changed;
    shard.inFlight_ = std::exchange(shard.pending_, {});
    shard.startBy_.reset();
    shard.call_ = id;
    if (!changed)
        return ReadCall {shard.key_, shard.kind_};
    return CompareAndSwapCall {shard.key_, shard.revision_, shard.proposed_, std::nullopt};
}

/// @brief Processes the reply to the call in flight.
/// @return the operations that are committed now; all others stay pending
template <typename Shard, typename Op>
std::vector<Op> finishCall(ShardCommit<Shard, Op> &shard, const StoreReply &reply, MonoTime now)
{
    shard.call_.reset();
    const bool swapped = std::exchange(shard.swapping_, false);
    const bool answered
        = reply.status_ == StoreStatus::Ok || reply.status_ == StoreStatus::Conflict;
    if (answered) {
        shard.failures_ = 0;
        shard.loaded_ = true;
        shard.revision_ = reply.current_.revision_;
    }
    if (swapped && reply.status_ == StoreStatus::Ok) {
        shard.cached_ = std::move(shard.proposed_);
        shard.joinPending_ = joinHistories(shard.cached_, std::exchange(shard.reported_, {}));
        if (shard.joinPending_)
            shard.startBy_ = now;
        shard.era_ = std::max(shard.era_, reply.era_);
        return std::exchange(shard.inFlight_, {});
    }
    if (answered) {
        const bool present = reply.current_.value_.has_value();
        Shard current = present ? std::get<Shard>(*reply.current_.value_) : Shard {};
        // Totals never decrease in a store that has lost nothing.
        shard.joinPending_ = shard.era_ != StoreEra {} && joinHistories(current, shard.cached_);
        shard.joinPending_ |= joinHistories(current, std::exchange(shard.reported_, {}));
        shard.era_ = std::max(shard.era_, reply.era_);
        shard.cached_ = std::move(current);
        if (shard.joinPending_)
            shard.startBy_ = now;
        Shard trial = shard.cached_;
        bool changed = false;
        for (const Op &op : shard.inFlight_)
            changed |= applyOp(trial, op);
        if (!changed)
            return std::exchange(shard.inFlight_, {});
    } else {
        // The value in the store is unknown, so the shard is read before the next write.
        shard.loaded_ = false;
        const Millis backoff = minCommitBackoff * (1U << std::min(shard.failures_, 7U));
        shard.backoffUntil_ = now + std::min(backoff, shard.maxBackoff_);
        ++shard.failures_;
    }
    // Uncommitted operations go before newer ones to preserve the order of submission.
    shard.inFlight_.insert(shard.inFlight_.end(), std::make_move_iterator(shard.pending_.begin()),
                           std::make_move_iterator(shard.pending_.end()));
    shard.pending_ = std::exchange(shard.inFlight_, {});
    shard.startBy_ = now;
    return {};
}

} // namespace tamarack
