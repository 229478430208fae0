// The queue between all threads and the control thread.
#include "daemon/eventqueue.h"

namespace tamarack {

void post(EventQueue &queue, Event event)
{
    {
        const std::lock_guard lock(queue.mutex_);
        queue.events_.push_back(std::move(event));
    }
    queue.posted_.notify_one();
}

std::optional<Event> take(EventQueue &queue, std::optional<MonoTime> deadline)
{
    std::unique_lock lock(queue.mutex_);
    const auto hasEvent = [&queue] {
        return !queue.events_.empty();
    };
    if (!deadline)
        queue.posted_.wait(lock, hasEvent);
    else if (!queue.posted_.wait_until(lock, *deadline, hasEvent))
        return std::nullopt;
    Event event = std::move(queue.events_.front());
    queue.events_.pop_front();
    return event;
}

} // namespace tamarack
