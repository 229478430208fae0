// The ports between a relay's control thread and its front end.
#pragma once

#include "core/relay/relay.h"

#include <cstdint>
#include <functional>

namespace tamarack {

/// @brief Posts events to the relay's control thread. Safe to call from any thread.
struct RelayEventPort
{
    std::function<void(RelayEvent)> post_;
    /// Returns the memory of the posted events that the control thread has not handled yet. May be
    /// empty.
    std::function<std::uint64_t()> queuedBytes_ = {};
};

/// @brief Submits commands to the traffic thread of the front end. Safe to call from any thread;
/// never blocks.
struct RelayFrontendPort
{
    std::function<void(RelayCommand)> submit_;
};

/// @brief Memory that the front end uses for requests and responses.
struct BufferUsage
{
    std::uint64_t bytes_ = 0;
    /// 0 if there is no limit.
    std::uint64_t limitBytes_ = 0;
    /// Requests refused since the start because no memory was available for them.
    std::uint64_t refusals_ = 0;
    /// Parts of bytes_.
    std::uint64_t connectionBytes_ = 0;
    std::uint64_t requestBytes_ = 0;
    std::uint64_t responseBytes_ = 0;
    /// Idle connections closed since the start to make room for new ones.
    std::uint64_t idleClosed_ = 0;
    /// Connections closed since the start because the client did not read its response.
    std::uint64_t unreadClosed_ = 0;
};

/// @brief Gauge values of the control state after an event.
struct RelayGauges
{
    std::size_t active_ = 0;
    std::size_t instances_ = 0;
    ConfigVersion config_;
    std::uint32_t daemons_ = 0;
    Tokens tokensAvailable_;
    /// Instances that state a request limit.
    std::size_t limitedInstances_ = 0;
    std::size_t evacuatedZones_ = 0;
    /// Requests since the start whose best instance was in an evacuated zone.
    std::uint64_t evacuationSkips_ = 0;
    std::size_t coldInstances_ = 0;
    ResumedStreamCounts resumedStreams_ {};
    /// This host reaches no instance.
    bool isCutOff_ = false;
    /// Requests since the start that other daemons were given, and that this one took over.
    std::uint64_t handedOver_ = 0;
    std::uint64_t takenOver_ = 0;
    std::uint64_t droppedLogLines_ = 0;
    /// Smoothed time that events wait for the control thread.
    PreciseMicros eventDelay_ {};
    /// Smoothed share of the network link that requests and responses take.
    double linkUse_ = 0.0;
    /// Daemons whose load at the instances is known, and the age of that knowledge.
    std::uint32_t loadReports_ = 0;
    PreciseMicros loadAge_ {};
    BufferUsage buffers_;
    /// Memory of the events that wait for the control thread.
    std::uint64_t eventBytes_ = 0;
    /// Memory of the log lines that wait for output.
    std::uint64_t logBytes_ = 0;
};

/// @brief Records the events and commands of the control thread. All functions must be set.
struct RelayMetricsPort
{
    /// Called after an event has been handled, before its commands are executed.
    std::function<void(const RelayEvent &)> event_;
    /// Called before a command is executed.
    std::function<void(const RelayCommand &)> command_;
    /// Called after an event with the time that it took.
    std::function<void(Micros time, const RelayGauges &)> onEventHandled_;
};

} // namespace tamarack
