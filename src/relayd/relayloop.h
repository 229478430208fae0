// The control thread of a relay daemon.
#pragma once

#include "core/relay/relay.h"
#include "ports/ports.h"
#include "ports/relay.h"
#include "relayd/eventmemory.h"
#include "runtime/runtime.h"

#include <atomic>
#include <functional>
#include <memory>

namespace tamarack {

/// @brief Dependencies of the control thread for executing commands.
struct RelayLoop
{
    BlockingQueue<RelayEvent> &queue_;
    StoreWorkers &store_;
    RelayFrontendPort frontend_;
    LogPort log_;
    std::atomic<bool> &ready_;
    std::function<void(RequestPeerDocuments)> requestPeerDocuments_;
    /// Replaces the load that replies to other daemons tell.
    std::function<void(std::shared_ptr<const LoadOffer>)> publishLoads_;
    /// Replaces the confirmed software versions that replies to other daemons tell.
    std::function<void(std::shared_ptr<const ConfirmedVersions>)> publishVersions_;
    std::function<void(bool)> setFollowsStore_;
    std::function<void()> forgetStoreContact_;
    std::function<void(bool)> setStoreContact_;
    std::function<void(SendPeer)> sendPeer_;
    std::function<TrafficTotals()> trafficTotals_;
    std::function<BufferUsage()> bufferUsage_;
    EventMemory &eventMemory_;
    std::function<std::uint64_t()> logBytes_;
    RelayMetricsPort metrics_;
    std::function<std::uint64_t()> droppedLogLines_;
    /// Logs the use of the store and of documents; called at intervals.
    std::function<void()> logUsage_;
    /// Called once, when the daemon may exit.
    std::function<void()> onStopped_;
};

/// @brief Handles events until a graceful shutdown is complete.
void runRelayLoop(RelayLoop &loop, RelayState state);

} // namespace tamarack
