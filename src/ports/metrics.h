// The port to the metrics.
#pragma once

#include "core/core.h"

#include <functional>

namespace tamarack {

/// @brief Gauge values of the control state after an event.
struct ControlGauges
{
    std::size_t requestsInFlight_ = 0;
    std::size_t grantsHeld_ = 0;
    std::size_t queuedEvents_ = 0;
    BundleVersion bundle_;
};

/// @brief Records decisions and store calls of the control thread. Empty functions record nothing.
struct MetricsPort
{
    std::function<void(const Decision &)> onDecision_;
    std::function<void(const StoreCall &)> onStoreCall_;
    std::function<void(StoreStatus)> onStoreReply_;
    /// Called after an event with the time that it took.
    std::function<void(Micros time, const ControlGauges &)> onEventHandled_;
};

} // namespace tamarack
