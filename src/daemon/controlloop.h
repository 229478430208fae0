// The control thread of the router daemon, the only thread that accesses the control state.
#pragma once

#include "daemon/appliedversion.h"
#include "runtime/blockingqueue.h"
#include "runtime/storeworkers.h"
#include "traffic/traffic.h"

#include <functional>

namespace tamarack {

/// @brief Dependencies of the control thread for executing commands.
struct ControlLoop
{
    BlockingQueue<Event> &queue_;
    StoreWorkers &store_;
    TrafficContext &traffic_;
    LogPort log_;
    AppliedVersion &applied_;
    /// Called once, when a graceful shutdown is complete.
    std::function<void()> onStopped_;
    /// Sends messages to other daemons; empty if this daemon has no peer listener.
    PeerPort peers_ {};
    /// Called when a peer has a newer bundle. Must not block.
    std::function<void(BundleVersion)> refreshBundle_ {};
    /// Called when a peer has a different member list. Must not block.
    std::function<void()> refreshMembers_ {};
    MetricsPort metrics_ {};
};

/// @brief Handles events until a graceful shutdown is complete.
void runControlLoop(ControlLoop &loop, ControlState state);

} // namespace tamarack
