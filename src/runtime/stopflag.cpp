// A flag that stops threads and interrupts their delays.
#include "runtime/stopflag.h"

namespace tamarack {

void requestStop(StopFlag &flag)
{
    {
        const std::lock_guard lock(flag.mutex_);
        flag.stopping_ = true;
    }
    flag.changed_.notify_all();
}

bool isStopRequested(StopFlag &flag)
{
    const std::lock_guard lock(flag.mutex_);
    return flag.stopping_;
}

bool waitForStop(StopFlag &flag, Millis time)
{
    std::unique_lock lock(flag.mutex_);
    return flag.changed_.wait_for(lock, time, [&flag] { return flag.stopping_; });
}

} // namespace tamarack
