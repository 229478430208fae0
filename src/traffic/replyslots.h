// Hands decisions of the control thread to waiting traffic threads.
#pragma once

#include "core/core.h"

#include <map>
#include <mutex>
#include <optional>

namespace tamarack {

/// @brief The slot of one waiting traffic thread.
struct ReplySlot
{
    /// An eventfd: it wakes only this thread and can be polled together with the caller's socket.
    int wakeFd_ = -1;
    std::optional<Decision> decision_;
};

/// @brief The slots of all waiting traffic threads. All functions are safe to call from any thread.
///
/// Invariant: the wakeFd_ of a slot stays open until awaitDecision() removes the slot.
struct ReplySlots
{
    std::mutex mutex_;
    std::map<WaiterId, ReplySlot> slots_;
    std::uint64_t lastId_ = 0;
};

/// @brief Result of waiting for a decision.
struct AwaitResult
{
    /// Empty if the deadline passed or the caller disconnected before a decision arrived.
    std::optional<Decision> decision_;
    bool callerDisconnected_ = false;
};

/// @brief Opens a slot for the calling thread.
/// @return the id under which the control thread fills the slot
/// @throw std::system_error if the process has no free file descriptor
WaiterId openSlot(ReplySlots &slots);

/// @brief Blocks until the decision arrives, the deadline passes or the caller disconnects, then
/// removes the slot.
/// @param callerSocket descriptor that is polled for a disconnect; -1 for none
AwaitResult awaitDecision(ReplySlots &slots, WaiterId waiter, MonoTime deadline,
                          int callerSocket = -1);

/// @brief Stores a decision and wakes the waiting thread. Does nothing if the slot was removed.
void fillSlot(ReplySlots &slots, WaiterId waiter, Decision decision);

} // namespace tamarack
