// Chooses the daemon that takes over requests of one whose host is cut off from all instances.
//
// While it is cut off, a daemon asks others at intervals whether they can serve requests, so that
// no request is spent on finding out. The load is spread by the requests that this daemon has
// handed to each.
#pragma once

#include "core/ids.h"
#include "core/relay/peerranking.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

struct TakeoverSettings
{
    /// Daemons that one request is handed to, one after the other.
    std::size_t maxTries_ = 3;
    /// How long a daemon is left out that can serve no request, unless it says otherwise before.
    Millis unableTime_ {3000};
    /// The same for one that could not be reached.
    Millis unreachableTime_ {500};
    /// How long a daemon that has said so counts as able, and is preferred to those of which
    /// nothing is known.
    Millis ableTime_ {2000};
    /// Daemons that are asked at a time.
    std::size_t maxAsked_ = 16;
    /// A daemon of another availability zone is chosen if each one of the own zone has this many
    /// more requests: traffic between zones is charged.
    std::uint32_t otherZonePenalty_ = 4;
    /// Maximum number of connections to another daemon.
    std::uint32_t maxConnections_ = 256;
};

struct Takeovers
{
    /// Requests of this daemon that others are handling.
    std::map<HostId, std::uint32_t> running_;
    /// Daemons that are left out, and until when.
    ExcludedPeers excluded_;
    /// When each daemon last said that it can serve requests, or answered one.
    std::map<HostId, MonoTime> ableAt_;
    /// Counts the daemons that were asked, so that each gets its turn.
    std::size_t asked_ = 0;
    /// Requests handed over since the start, and those of other daemons that this one took over.
    std::uint64_t handedOver_ = 0;
    std::uint64_t takenOver_ = 0;
};

/// @brief Chooses a daemon for a request.
/// @param tried daemons that the request was handed to before
/// @param spread a hash of the request, which decides between equal ones
/// @return nullptr if there is none
/// @note O(peers)
const PeerAddress *chooseTakeover(const Takeovers &takeovers, const TakeoverSettings &settings,
                                  const std::vector<PeerAddress> &peers, const ZoneId &zone,
                                  const std::set<HostId> &tried, const std::string &spread,
                                  MonoTime now);

/// @brief Outcome of a request that another daemon was given.
enum class TakeoverOutcome {
    Answered,
    /// The daemon said that it can serve no request.
    Unable,
    Unreachable,
    /// The connection was lost, or the client left: says nothing of the daemon.
    Unknown,
};

void recordHandedOver(Takeovers &takeovers, const HostId &host);
void recordTakeoverEnd(Takeovers &takeovers, const TakeoverSettings &settings, const HostId &host,
                       TakeoverOutcome outcome, MonoTime now);

/// @brief Records whether a daemon has said that it can serve no request.
void recordAbility(Takeovers &takeovers, const TakeoverSettings &settings, const HostId &host,
                   bool unable, MonoTime now);

/// @brief Returns the daemons that are to be asked now whether they can serve requests.
std::vector<PeerAddress> daemonsToAsk(Takeovers &takeovers, const TakeoverSettings &settings,
                                      const std::vector<PeerAddress> &peers);

} // namespace tamarack
