// State of a simulated fleet and its in-memory store, with faults on the path between a daemon and
// the store.
#pragma once

#include "core/core.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack::fixture {

inline const AccountId account {"acct"};
inline const BudgetId budget {"b"};

/// Fault on the path between a daemon and the store.
enum class StoreMode {
    Healthy,
    /// Calls take effect, but their outcome is reported as unknown.
    LosesReplies,
    /// Reads succeed; writes take effect, but their outcome is reported as unknown.
    LosesWriteReplies,
    /// The outcome is reported as unknown and writes take effect later, in applyDelayedWrites().
    DelaysWrites,
    /// Calls take effect, but their replies are delayed until the mode changes.
    DelaysReplies,
    /// Every reply is delivered twice.
    DuplicatesReplies,
    Down,
};

struct PendingReply
{
    StoreReply reply_;
    /// The budget's record in the store when the call was executed.
    BudgetRecord seen_;
};

struct Daemon
{
    ControlState state_;
    std::deque<SubmitStoreCall> calls_;
    std::deque<PendingReply> replies_;
    StoreMode mode_ = StoreMode::Healthy;
    bool alive_ = true;
    bool paused_ = false;
};

/// A request that a caller submitted to one daemon.
struct SubmittedRequest
{
    AdmissionRequested event_;
    std::size_t daemon_ = 0;
    std::vector<Dispatch> dispatches_;
    std::optional<Refusal> refusal_;
    /// Tokens that the upstream spends on the request if it is dispatched.
    Tokens actualCost_;
    /// A byte was sent to an upstream.
    bool sent_ = false;
    /// The upstream spent actualCost_; false if it rejected the request.
    bool spent_ = false;
    /// The caller has its response, or its daemon died.
    bool ended_ = false;
};

struct Fixture
{
    std::vector<Daemon> daemons_;
    std::map<StoreKey, VersionedValue> store_;
    std::vector<CompareAndSwapCall> delayedWrites_;
    std::uint64_t revision_ = 0;
    Now now_ {MonoTime {Seconds {1000}}, WallTime {Seconds {1000}}};
    std::map<WaiterId, SubmittedRequest> requests_;
    std::uint64_t lastWaiter_ = 0;
    std::shared_ptr<const Bundle> bundle_;
    std::vector<ReleaseRequest> releaseRequests_;
    std::vector<std::string> violations_;
    /// False in benchmarks, because the checks cost more than the code under test.
    bool checks_ = true;
    std::uint64_t storeReads_ = 0;
    std::uint64_t storeWrites_ = 0;
};

/// Returns the record of a budget in the store.
inline BudgetRecord record(const Fixture &fixture, const BudgetId &id = budget)
{
    for (const auto &[key, value] : fixture.store_) {
        const auto *shard = value.value_ ? std::get_if<LedgerShard>(&*value.value_) : nullptr;
        if (shard && shard->budgets_.contains(id))
            return shard->budgets_.at(id);
    }
    return {};
}

/// Returns false for a segment that its request shard does not count yet. The records of such a
/// segment are still in the shard, so readers ignore it.
inline bool isCounted(const Fixture &fixture, const StoreKey &key)
{
    const std::string separator = "/segments/";
    const std::size_t at = key.value_.find(separator);
    if (at == std::string::npos)
        return true;
    const auto shard = fixture.store_.find(StoreKey {key.value_.substr(0, at)});
    return shard != fixture.store_.end()
        && std::stoull(key.value_.substr(at + separator.size()))
        < std::get<RequestShard>(*shard->second.value_).segments_;
}

/// Returns all bills in the store, in shards and in archive segments. Adds their number to @a
/// count.
inline std::map<RequestId, RequestRecord> bills(const Fixture &fixture,
                                                std::size_t *count = nullptr)
{
    std::map<RequestId, RequestRecord> found;
    for (const auto &[key, value] : fixture.store_) {
        const auto *shard = value.value_ ? std::get_if<RequestShard>(&*value.value_) : nullptr;
        if (!shard || !isCounted(fixture, key))
            continue;
        for (const auto &[id, request] : shard->records_) {
            if (request.phase_ != RequestPhase::Billed)
                continue;
            found[id] = request;
            if (count)
                ++*count;
        }
    }
    return found;
}

inline StoreReply applyCall(Fixture &fixture, const SubmitStoreCall &call)
{
    StoreReply reply {call.id_, StoreStatus::Ok, {}};
    if (const auto *read = std::get_if<ReadCall>(&call.call_)) {
        ++fixture.storeReads_;
        reply.current_ = fixture.store_[read->key_];
        return reply;
    }
    ++fixture.storeWrites_;
    const auto &swap = std::get<CompareAndSwapCall>(call.call_);
    VersionedValue &current = fixture.store_[swap.key_];
    if (current.revision_ != swap.expected_) {
        reply.status_ = StoreStatus::Conflict;
        reply.current_ = current;
        return reply;
    }
    current = VersionedValue {Revision {++fixture.revision_}, swap.value_};
    reply.current_.revision_ = current.revision_;
    return reply;
}

/// Executes a call with the fault of the daemon's StoreMode and returns the reply.
inline StoreReply executeCall(Fixture &fixture, const Daemon &daemon, const SubmitStoreCall &call)
{
    if (daemon.mode_ == StoreMode::Down)
        return StoreReply {call.id_, StoreStatus::Unavailable, {}};
    if (daemon.mode_ == StoreMode::DelaysWrites) {
        if (const auto *swap = std::get_if<CompareAndSwapCall>(&call.call_))
            fixture.delayedWrites_.push_back(*swap);
        return StoreReply {call.id_, StoreStatus::Unknown, {}};
    }
    StoreReply reply = applyCall(fixture, call);
    const bool isWrite = std::holds_alternative<CompareAndSwapCall>(call.call_);
    const bool losesWrite = daemon.mode_ == StoreMode::LosesWriteReplies && isWrite;
    if (daemon.mode_ == StoreMode::LosesReplies || losesWrite)
        return StoreReply {call.id_, StoreStatus::Unknown, {}};
    return reply;
}

/// Executes the writes whose outcome was reported as unknown before.
inline void applyDelayedWrites(Fixture &fixture)
{
    for (const CompareAndSwapCall &swap : std::exchange(fixture.delayedWrites_, {}))
        applyCall(fixture, SubmitStoreCall {{}, swap});
}

} // namespace tamarack::fixture
