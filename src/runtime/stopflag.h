// A flag that ends pauses of threads at once when the daemon stops.
#pragma once

#include "core/time.h"

#include <condition_variable>
#include <mutex>

namespace tamarack {

/// @brief The flag. All functions are safe to call from any thread.
struct StopFlag
{
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
};

/// @brief Raises the flag and wakes all threads that pause.
void requestStop(StopFlag &flag);

bool isStopRequested(StopFlag &flag);

/// @brief Waits until the flag is raised or @a time has passed.
/// @return true if the flag is raised
bool waitForStop(StopFlag &flag, Millis time);

} // namespace tamarack
