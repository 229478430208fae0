// Time types. The core never reads a clock: callers pass the current time with each event.
#pragma once

#include <chrono>

namespace tamarack {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;
/// Smoothed durations, which need fractions.
using PreciseMicros = std::chrono::duration<double, std::micro>;
/// Monotonic time for deadlines and intervals within one process.
using MonoTime = std::chrono::time_point<std::chrono::steady_clock>;
/// Wall-clock time for stored records. It is never used to decide who may spend.
using WallTime = std::chrono::time_point<std::chrono::system_clock>;

/// @brief The current time on both clocks, read once for each event.
struct Now
{
    MonoTime mono_;
    WallTime wall_;
};

} // namespace tamarack
