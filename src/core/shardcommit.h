// Group commit of one shard. At most one call to the store is in flight for a shard; operations
// that arrive meanwhile join the next call. All operations are idempotent, so after a conflict or
// an unknown outcome they are applied again to the fresh copy.
#pragma once

#include "core/store.h"
#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace tamarack {

/// First back-off after a failed call; it doubles up to the limit of the shard.
inline constexpr Millis minCommitBackoff {20};
inline constexpr Millis maxCommitBackoff {2000};

/// @brief Commit state of one shard.
///
/// Invariants: inFlight_ is empty unless call_ is set; cached_ and revision_ are valid only if
/// loaded_ is true; next_ is valid only if swapping_ is true.
template <typename Shard, typename Op>
struct ShardCommit
{
    StoreKey key_;
    StoredKind kind_ = StoredKind::LedgerShard;
    bool loaded_ = false;
    Revision revision_;
    Shard cached_;
    /// The copy that the swap in flight writes.
    Shard next_;
    bool swapping_ = false;
    std::vector<Op> pending_;
    std::vector<Op> inFlight_;
    std::optional<CallId> call_;
    /// When the pending operations are due; later operations may bring it forward.
    std::optional<MonoTime> dueAt_;
    /// No call is started before this time (back-off after failures).
    MonoTime notBefore_ {};
    std::uint32_t failures_ = 0;
    Millis maxBackoff_ = maxCommitBackoff;
};

/// @brief Adds an operation that should be written by @a due at the latest.
template <typename Shard, typename Op>
void submitOp(ShardCommit<Shard, Op> &shard, Op op, MonoTime due)
{
    shard.pending_.push_back(std::move(op));
    shard.dueAt_ = shard.dueAt_ ? std::min(*shard.dueAt_, due) : due;
}

/// @brief Asks for a call by @a due even if no operation is pending; the call is a read then.
template <typename Shard, typename Op>
void scheduleCall(ShardCommit<Shard, Op> &shard, MonoTime due)
{
    shard.dueAt_ = shard.dueAt_ ? std::min(*shard.dueAt_, due) : due;
}

/// @brief Returns true if the store holds every submitted operation.
template <typename Shard, typename Op>
bool isIdle(const ShardCommit<Shard, Op> &shard)
{
    return !shard.call_ && shard.pending_.empty();
}

/// @brief Returns when the next call of the shard may start, or nothing if none is wanted.
template <typename Shard, typename Op>
std::optional<MonoTime> nextCallTime(const ShardCommit<Shard, Op> &shard)
{
    if (shard.call_ || !shard.dueAt_)
        return std::nullopt;
    return std::max(*shard.dueAt_, shard.notBefore_);
}

/// @brief Starts the next call of a shard if one is due.
///
/// Operations that change nothing are confirmed by a read, because the store serves more reads than
/// writes.
/// @param id the id the call gets
/// @note O(shard size), because the shard is copied for each write
template <typename Shard, typename Op>
std::optional<StoreCall> startCall(ShardCommit<Shard, Op> &shard, CallId id, MonoTime now)
{
    const std::optional<MonoTime> start = nextCallTime(shard);
    if (!start || now < *start)
        return std::nullopt;
    bool changed = false;
    if (shard.loaded_) {
        shard.next_ = shard.cached_;
        for (const Op &op : shard.pending_)
            changed |= applyOp(shard.next_, op);
    }
    shard.swapping_ = changed;
    shard.inFlight_ = std::exchange(shard.pending_, {});
    shard.dueAt_.reset();
    shard.call_ = id;
    if (!changed)
        return ReadCall {shard.key_, shard.kind_};
    return CompareAndSwapCall {shard.key_, shard.revision_, shard.next_, std::nullopt};
}

/// @brief Applies the reply to the call in flight.
///
/// @return the operations that are now reflected in the store; all others stay pending
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
        shard.cached_ = std::move(shard.next_);
        return std::exchange(shard.inFlight_, {});
    }
    if (answered) {
        const bool present = reply.current_.value_.has_value();
        shard.cached_ = present ? std::get<Shard>(*reply.current_.value_) : Shard {};
        Shard trial = shard.cached_;
        bool changed = false;
        for (const Op &op : shard.inFlight_)
            changed |= applyOp(trial, op);
        if (!changed)
            return std::exchange(shard.inFlight_, {});
    } else {
        // The value in the store is not known any more, so it is read before the next write.
        shard.loaded_ = false;
        const Millis backoff = minCommitBackoff * (1U << std::min(shard.failures_, 7U));
        shard.notBefore_ = now + std::min(backoff, shard.maxBackoff_);
        ++shard.failures_;
    }
    // Unfinished operations go first again, so that the order of submission is kept.
    shard.inFlight_.insert(shard.inFlight_.end(), std::make_move_iterator(shard.pending_.begin()),
                           std::make_move_iterator(shard.pending_.end()));
    shard.pending_ = std::exchange(shard.inFlight_, {});
    shard.dueAt_ = now;
    return {};
}

} // namespace tamarack
