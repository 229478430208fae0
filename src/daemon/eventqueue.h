// The queue between all threads and the control thread.
#pragma once

#include "core/core.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace tamarack {

/// @brief Events that wait for the control thread. All functions are safe to call from any thread.
struct EventQueue
{
    std::mutex mutex_;
    std::condition_variable posted_;
    std::deque<Event> events_;
};

/// @brief Appends an event.
void post(EventQueue &queue, Event event);

/// @brief Takes the first event; blocks until there is one or @a deadline passes.
/// @param deadline nothing to wait without limit
/// @return nothing if the deadline passed
std::optional<Event> take(EventQueue &queue, std::optional<MonoTime> deadline);

} // namespace tamarack
