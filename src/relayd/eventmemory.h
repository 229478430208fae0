// The memory of the front end's events that wait for the control thread.
#pragma once

#include "core/relay/relay.h"

#include <atomic>
#include <cstdint>

namespace tamarack {

/// @brief Sum of the events that were posted and not taken yet. Safe to use from any thread.
struct EventMemory
{
    std::atomic<std::uint64_t> bytes_ = 0;
};

/// @brief Records that an event of the front end is posted. Others are not counted.
void countPosted(EventMemory &memory, const RelayEvent &event);

/// @brief Records that an event was taken from the queue.
void countTaken(EventMemory &memory, const RelayEvent &event);

} // namespace tamarack
