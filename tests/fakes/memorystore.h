// In-memory key-value store behind StorePort, with a fault injected per call, for tests.
#pragma once

#include "ports/ports.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace tamarack::fakes {

enum class StoreFault {
    None,
    /// The call fails without effect, and the caller knows it.
    Unavailable,
    /// The call takes effect but its reply is lost.
    LostReply,
    /// The request is lost: the call has no effect, and its outcome is unknown to the caller.
    LostRequest,
};

/// @brief The store. If set, fault_ returns the fault to inject into each call.
struct MemoryStore
{
    std::mutex mutex_;
    std::map<StoreKey, VersionedValue> values_;
    std::uint64_t revision_ = 0;
    std::function<StoreFault(const StoreCall &)> fault_;
    /// Number of reads of bundle parts, whose keys contain "/parts/".
    std::size_t bundlePartReads_ = 0;
    std::size_t calls_ = 0;
};

inline const StoreKey &keyOf(const StoreCall &call)
{
    return std::visit([](const auto &concrete) -> const StoreKey & { return concrete.key_; }, call);
}

inline StoreReply applyCall(MemoryStore &store, const StoreCall &call)
{
    VersionedValue &current = store.values_[keyOf(call)];
    const auto *swap = std::get_if<CompareAndSwapCall>(&call);
    if (!swap)
        return StoreReply {{}, StoreStatus::Ok, current};
    if (current.revision_ != swap->expected_)
        return StoreReply {{}, StoreStatus::Conflict, current};
    current = VersionedValue {Revision {++store.revision_}, swap->value_};
    return StoreReply {{}, StoreStatus::Ok, VersionedValue {current.revision_, std::nullopt}};
}

inline StoreReply callStore(MemoryStore &store, const StoreCall &call)
{
    const std::lock_guard lock(store.mutex_);
    ++store.calls_;
    const StoreFault fault = store.fault_ ? store.fault_(call) : StoreFault::None;
    if (fault == StoreFault::Unavailable)
        return StoreReply {{}, StoreStatus::Unavailable, {}};
    if (fault == StoreFault::LostRequest)
        return StoreReply {{}, StoreStatus::Unknown, {}};
    if (keyOf(call).value_.find("/parts/") != std::string::npos
        && std::holds_alternative<ReadCall>(call))
        ++store.bundlePartReads_;
    StoreReply reply = applyCall(store, call);
    if (fault == StoreFault::LostReply)
        return StoreReply {{}, StoreStatus::Unknown, {}};
    return reply;
}

/// @brief Returns a port whose watches return at once without a change.
inline StorePort makeMemoryStorePort(MemoryStore &store)
{
    StorePort port;
    port.call_ = [&store](const StoreCall &call) {
        return callStore(store, call);
    };
    port.waitForChange_ = [](const StoreKey &, Revision, Millis) {
        return false;
    };
    port.cancelWaits_ = [] {
    };
    return port;
}

} // namespace tamarack::fakes
