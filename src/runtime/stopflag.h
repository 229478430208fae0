// A flag that stops threads and interrupts their delays.
#pragma once

#include "core/time.h"

#include <condition_variable>
#include <mutex>

namespace tamarack {

/// @brief Tells threads to stop. All functions are safe to call from any thread.
struct StopFlag
{
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
};

/// @brief Sets the flag and wakes all threads in waitForStop().
void requestStop(StopFlag &flag);

bool isStopRequested(StopFlag &flag);

/// @brief Blocks until the flag is set or @a time has passed.
/// @return true if the flag is set
bool waitForStop(StopFlag &flag, Millis time);

} // namespace tamarack
