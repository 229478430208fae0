// Hands decisions of the control thread to waiting traffic threads.
#include "traffic/replyslots.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace tamarack {

namespace {

/// Waits until the slot is filled, the caller disconnects or the deadline passes.
/// @return true if the caller disconnected first
bool waitForWake(int wakeFd, MonoTime deadline, int callerSocket)
{
    while (true) {
        std::array<pollfd, 2> waits {pollfd {wakeFd, POLLIN, 0},
                                     pollfd {callerSocket, POLLRDHUP, 0}};
        const auto remaining
            = std::chrono::ceil<Millis>(deadline - std::chrono::steady_clock::now());
        const int ready = ::poll(waits.data(), waits.size(),
                                 static_cast<int>(std::max(remaining, Millis {0}).count()));
        if (waits[0].revents != 0)
            return false;
        if (ready > 0)
            return true;
        const bool interrupted = ready < 0 && errno == EINTR;
        if (!interrupted && std::chrono::steady_clock::now() >= deadline)
            return false;
    }
}

} // namespace

WaiterId openSlot(ReplySlots &slots)
{
    const int wakeFd = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (wakeFd < 0)
        throw std::system_error(errno, std::generic_category(), "cannot create an eventfd");
    const std::lock_guard lock(slots.mutex_);
    const WaiterId waiter {++slots.lastId_};
    slots.slots_.emplace(waiter, ReplySlot {wakeFd, std::nullopt});
    return waiter;
}

AwaitResult awaitDecision(ReplySlots &slots, WaiterId waiter, MonoTime deadline, int callerSocket)
{
    int wakeFd = -1;
    {
        const std::lock_guard lock(slots.mutex_);
        wakeFd = slots.slots_.at(waiter).wakeFd_;
    }
    AwaitResult result;
    result.callerDisconnected_ = waitForWake(wakeFd, deadline, callerSocket);
    const std::lock_guard lock(slots.mutex_);
    const auto slot = slots.slots_.find(waiter);
    if (!result.callerDisconnected_)
        result.decision_ = std::move(slot->second.decision_);
    slots.slots_.erase(slot);
    ::close(wakeFd);
    return result;
}

void fillSlot(ReplySlots &slots, WaiterId waiter, Decision decision)
{
    const std::lock_guard lock(slots.mutex_);
    const auto slot = slots.slots_.find(waiter);
    if (slot == slots.slots_.end())
        return;
    slot->second.decision_ = std::move(decision);
    ::eventfd_write(slot->second.wakeFd_, 1);
}

} // namespace tamarack
