// Remembers where streams began, so that a client can take one up at another daemon than before.
//
// A daemon remembers its own streams. While the record of the versions doesn't settle their origin,
// it also tells a few others, which rendezvous hashing selects for each stream. The daemon at which
// a client takes a stream up asks these.
#pragma once

#include "core/ids.h"
#include "core/relay/peerranking.h"
#include "core/streamorigin.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace tamarack {

struct StreamOriginSettings
{
    /// Number of daemons, including this one if it is among them, that remember a stream. With
    /// three, one is left in 96 of 100 cases if a third of the daemons fails at once.
    std::size_t copies_ = 3;
    /// A daemon that was asked and has not replied for this long is not waited for. As long as for
    /// a permit.
    Millis replyTimeout_ {150};
    /// How long a stream may be taken up if the client did not say how long it waits.
    Millis defaultLifetime_ {60'000};
    /// Longest time that a stream is remembered, whatever its client says.
    Millis maxLifetime_ {120'000};
    /// Streams that are remembered at most: about 2 MB.
    std::size_t maxStreams_ = 16'384;
};

struct RememberedStream
{
    ServedVersion origin_;
    /// Another version was told for the stream as well.
    bool contradictory_ = false;
    MonoTime until_ {};
    /// For streams that began at this daemon: the instance, and when.
    UpstreamId instance_ {};
    MonoTime begunAt_ {};
};

/// @brief The streams that this daemon knows.
/// Invariant: expiry_ has exactly one entry for each entry of streams_.
struct StreamOrigins
{
    std::map<StreamKey, RememberedStream> streams_;
    std::set<std::pair<MonoTime, StreamKey>> expiry_;
};

/// @brief Returns the key of the stream whose first event an attempt of a client brought.
StreamKey streamKey(const RequestId &begunBy);

/// @brief Remembers where a stream began. A different version than before makes it contradictory.
void rememberStream(StreamOrigins &origins, const StreamOriginSettings &settings,
                    const StreamBegan &began, MonoTime now);

/// @brief Like rememberStream(), for a stream that began at an instance of this daemon's choice.
void rememberOwnStream(StreamOrigins &origins, const StreamOriginSettings &settings,
                       const StreamBegan &began, const UpstreamId &instance, MonoTime now);

/// @brief Returns what is known of a stream, as the reply to another daemon.
StreamOriginReply findOrigin(const StreamOrigins &origins, StreamKey stream, MonoTime now);

/// @brief Makes the streams contradictory that this daemon began at an instance since a time:
/// another process than the expected one may have served them.
/// @return these streams, as they have to be told to other daemons
/// @note O(streams)
std::vector<StreamBegan> doubtStreams(StreamOrigins &origins, const UpstreamId &instance,
                                      MonoTime since, MonoTime now);

/// @brief Returns the streams of a service that this daemon began, as they are told to others.
/// @note O(streams)
std::vector<StreamBegan> ownStreams(const StreamOrigins &origins, const ServiceId &service,
                                    MonoTime now);

/// @brief Returns the daemons that remember a stream, without @a self.
/// @param peers all other daemons
/// @note O(peers x log peers)
std::vector<PeerAddress> keepersOf(StreamKey stream, const HostId &self,
                                   std::vector<PeerAddress> peers, std::size_t copies);

} // namespace tamarack
