// Slots in which traffic threads wait for decisions of the control thread.
#pragma once

#include "core/core.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

namespace tamarack {

/// @brief The waiting traffic threads. All functions are safe to call from any thread.
struct ReplySlots
{
    std::mutex mutex_;
    std::condition_variable filled_;
    /// An empty value marks a thread that waits.
    std::map<WaiterId, std::optional<Decision>> slots_;
    std::uint64_t lastId_ = 0;
};

/// @brief Opens a slot for a thread that is about to wait.
WaiterId openSlot(ReplySlots &slots);

/// @brief Waits for the decision and closes the slot.
/// @return nothing if no decision arrived before @a deadline
std::optional<Decision> awaitDecision(ReplySlots &slots, WaiterId waiter, MonoTime deadline);

/// @brief Fills a slot. Does nothing if its thread has given up.
void fillSlot(ReplySlots &slots, WaiterId waiter, Decision decision);

} // namespace tamarack
