// Time types. The core does not read any clock: callers pass the current time with each event.
#pragma once

#include <chrono>

namespace tamarack {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;
/// Fractional microseconds, for smoothed averages of durations.
using PreciseMicros = std::chrono::duration<double, std::micro>;
/// Monotonic time, for deadlines and intervals within one process.
using MonoTime = std::chrono::time_point<std::chrono::steady_clock>;
/// Wall-clock time, for timestamps in stored records. Spending decisions never depend on it,
/// because the clocks of different hosts may disagree.
using WallTime = std::chrono::time_point<std::chrono::system_clock>;

/// @brief The current time of both clocks, sampled once per event.
struct Now
{
    MonoTime mono_;
    WallTime wall_;
};

} // namespace tamarack
