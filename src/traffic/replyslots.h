// Slots in which traffic threads wait for decisions of the control thread.
#pragma once

#include "core/core.h"

#include <map>
#include <mutex>
#include <optional>

namespace tamarack {

/// @brief One waiting traffic thread.
struct ReplySlot
{
    /// Event descriptor that wakes this thread only, and that is waited for beside the caller's
    /// connection.
    int wakeFd_ = -1;
    std::optional<Decision> decision_;
};

/// @brief The waiting traffic threads. All functions are safe to call from any thread.
///
/// Invariant: the wakeFd_ of each slot is open until its thread closes the slot.
struct ReplySlots
{
    std::mutex mutex_;
    std::map<WaiterId, ReplySlot> slots_;
    std::uint64_t lastId_ = 0;
};

/// @brief How waiting for a decision ended.
struct AwaitResult
{
    /// Empty if no decision arrived before the deadline or the caller went away.
    std::optional<Decision> decision_;
    bool callerGone_ = false;
};

/// @brief Opens a slot for a thread that is about to wait.
/// @throw std::system_error if no descriptor is left
WaiterId openSlot(ReplySlots &slots);

/// @brief Waits for the decision and closes the slot.
/// @param callerSocket descriptor whose hang-up ends the wait; -1 for none
AwaitResult awaitDecision(ReplySlots &slots, WaiterId waiter, MonoTime deadline,
                          int callerSocket = -1);

/// @brief Fills a slot. Does nothing if its thread has given up.
void fillSlot(ReplySlots &slots, WaiterId waiter, Decision decision);

} // namespace tamarack
