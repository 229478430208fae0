// The clock that also counts the time during which the machine was suspended.
#pragma once

#include <chrono>

namespace tamarack {

/// @brief Returns the time of CLOCK_BOOTTIME.
std::chrono::nanoseconds bootTime();

} // namespace tamarack
