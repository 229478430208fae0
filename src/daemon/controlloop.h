// The control thread: the only thread that touches the control state.
#pragma once

#include "daemon/appliedversion.h"
#include "runtime/blockingqueue.h"
#include "runtime/storeworkers.h"
#include "traffic/traffic.h"

#include <functional>

namespace tamarack {

/// @brief What the control thread needs to carry out commands.
struct ControlLoop
{
    BlockingQueue<Event> &queue_;
    StoreWorkers &store_;
    TrafficContext &traffic_;
    LogPort log_;
    AppliedVersion &applied_;
    /// Called once, when a planned stop is complete.
    std::function<void()> onStopped_;
    /// Sends to other daemons; empty if this daemon has no peer listener.
    PeerPort peers_ {};
    /// Called when a peer holds a newer bundle. Must not block.
    std::function<void(BundleVersion)> refreshBundle_ {};
    /// Called when a peer knows other members. Must not block.
    std::function<void()> refreshMembers_ {};
    MetricsPort metrics_ {};
};

/// @brief Runs until a planned stop is complete.
void runControlLoop(ControlLoop &loop, ControlState state);

} // namespace tamarack
