// Decides whether a daemon has more load than its host can handle: its events wait for the
// processor, or its messages for the network link.
//
// Connections are spread by a hash of the client, so one host may get most of a zone's requests,
// and hosts differ in size. An overloaded daemon leaves the rotation until it has caught up.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <set>

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
    /// Peers reply to requests for documents at once. If this many replies in a row, not all from
    /// the same peer, take longer than maxReplyTime_, the messages wait at the link of this host.
    Millis maxReplyTime_ {60};
    std::uint32_t slowReplies_ = 3;
    /// Minimum duration of an overload. It doubles up to maxDuration_ when the next overload begins
    /// within relapseTime_ of the end of the last one, because the same clients come back.
    Millis minDuration_ {3000};
    Millis maxDuration_ {24'000};
    Millis relapseTime_ {10'000};
};

/// Invariant: overloadedUntil_ is set if and only if the daemon is overloaded.
struct Overload
{
    PreciseMicros delay_ {};
    MonoTime recordedAt_ {};
    /// Replies of peers that took too long since the last one that did not, and the newest of them.
    std::uint32_t slowReplies_ = 0;
    MonoTime slowReplyAt_ {};
    std::set<HostId> slowPeers_;
    /// Earliest end of the current overload.
    std::optional<MonoTime> overloadedUntil_;
    /// When the last overload ended, and how long it lasted at least.
    std::optional<MonoTime> endedAt_;
    Millis duration_ {};
};

/// @brief Records how long an event waited until it was handled; zero if none was waiting.
void recordEventDelay(Overload &overload, const OverloadSettings &settings, PreciseMicros delay,
                      MonoTime now);

/// @brief Records the time from a request for documents to the reply of a peer.
void recordPeerReply(Overload &overload, const OverloadSettings &settings, const HostId &from,
                     PreciseMicros time, MonoTime now);

/// @brief Returns true if the daemon has more load than its host can handle.
bool isOverloaded(const Overload &overload);

} // namespace tamarack
