// The clock that also counts the time during which the machine was suspended.
#include "adapters/relayhttp/boottime.h"

#include "core/time.h"

#include <ctime>

namespace tamarack {

std::chrono::nanoseconds bootTime()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Seconds {time.tv_sec} + std::chrono::nanoseconds {time.tv_nsec};
}

} // namespace tamarack
