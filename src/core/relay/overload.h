// Decides whether a daemon has more load than its host can handle: its events wait for the
// processor, or its requests and responses fill the network link.
//
// Connections are spread by a hash of the client, so one host may get most of a zone's requests,
// and hosts differ in size. An overloaded daemon leaves the rotation until it has caught up. Only
// signs that concern this host alone count: late replies of peers may have a cause that all daemons
// share, such as a large document, and then most of the fleet would leave at once.
#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace tamarack {

struct OverloadSettings
{
    /// The daemon is overloaded once the smoothed delay of its events exceeds this. Peers wait for
    /// replies, and requests for a connection, a few times as long.
    Millis maxDelay_ {50};
    /// An overloaded daemon has caught up once the smoothed delay is below this.
    Millis recoveredDelay_ {15};
    /// Time constant of the smoothing. Shorter bursts don't count.
    Millis smoothingTime_ {500};
    /// Limits on one event: a single long pause, such as a suspended host, is no overload.
    Millis maxSample_ {200};
    Millis maxSampleTime_ {50};
    /// Capacity of the network link in each direction, in bytes per second; 0 if unknown.
    double linkBytesPerSecond_ = 0.0;
    /// The daemon is overloaded once requests and responses take this share of the link. The rest
    /// is for messages between daemons, calls to the store and packet headers.
    double maxLinkUse_ = 0.7;
    /// An overloaded daemon has caught up once the smoothed share is below this.
    double recoveredLinkUse_ = 0.4;
    /// Time constant of the smoothing of the traffic. A single large body takes the whole link for
    /// a shorter time.
    Millis linkSmoothingTime_ {1000};
    /// Minimum time between two samples of the traffic.
    Millis minTrafficInterval_ {50};
    /// Minimum duration of an overload. It doubles up to maxDuration_ when the next overload begins
    /// within relapseTime_ of the end of the last one, because the same clients come back.
    Millis minDuration_ {3000};
    Millis maxDuration_ {24'000};
    Millis relapseTime_ {10'000};
};

/// @brief Bytes of requests and responses since the start, on all client and upstream connections.
struct TrafficTotals
{
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;
};

/// Invariant: overloadedUntil_ is set if and only if the daemon is overloaded.
struct Overload
{
    PreciseMicros delay_ {};
    MonoTime recordedAt_ {};
    /// The last sample of the traffic, and the smoothed share of the link that it takes in the
    /// direction with more traffic.
    std::optional<MonoTime> trafficAt_;
    TrafficTotals traffic_;
    double linkUse_ = 0.0;
    /// Earliest end of the current overload.
    std::optional<MonoTime> overloadedUntil_;
    /// When the last overload ended, and how long it lasted at least.
    std::optional<MonoTime> endedAt_;
    Millis duration_ {};
};

/// @brief Records how long an event waited until it was handled; zero if none was waiting.
void recordEventDelay(Overload &overload, const OverloadSettings &settings, PreciseMicros delay,
                      MonoTime now);

/// @brief Records the traffic of requests and responses since the start.
void recordTraffic(Overload &overload, const OverloadSettings &settings,
                   const TrafficTotals &totals, MonoTime now);

/// @brief Returns true if the daemon has more load than its host can handle.
bool isOverloaded(const Overload &overload);

} // namespace tamarack
