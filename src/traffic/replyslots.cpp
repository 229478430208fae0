// Slots in which traffic threads wait for decisions of the control thread.
#include "traffic/replyslots.h"

namespace tamarack {

WaiterId openSlot(ReplySlots &slots)
{
    const std::lock_guard lock(slots.mutex_);
    const WaiterId waiter {++slots.lastId_};
    slots.slots_.emplace(waiter, std::nullopt);
    return waiter;
}

std::optional<Decision> awaitDecision(ReplySlots &slots, WaiterId waiter, MonoTime deadline)
{
    std::unique_lock lock(slots.mutex_);
    const auto slot = slots.slots_.find(waiter);
    slots.filled_.wait_until(lock, deadline, [&slot] { return slot->second.has_value(); });
    std::optional<Decision> decision = std::move(slot->second);
    slots.slots_.erase(slot);
    return decision;
}

void fillSlot(ReplySlots &slots, WaiterId waiter, Decision decision)
{
    const std::lock_guard lock(slots.mutex_);
    const auto slot = slots.slots_.find(waiter);
    if (slot == slots.slots_.end())
        return;
    slot->second = std::move(decision);
    slots.filled_.notify_all();
}

} // namespace tamarack
