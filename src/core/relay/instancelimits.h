// Keeps the requests of all daemons together within the limit that an instance states.
//
// One daemon coordinates each limited instance: it grants a permit for every request, from a token
// bucket with the stated rate. Rendezvous hashing selects it, so no agreement is needed. Where two
// daemons take themselves for the coordinator, at most one of them grants at the full rate.
#pragma once

#include "core/permitmessage.h"
#include "core/relay/peerranking.h"
#include "core/relay/permitbucket.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarack {

struct RequestLimitSettings
{
    /// A daemon grants at the full rate once it has been first in rank for this long. Longer than
    /// daemons may disagree about the members of the fleet.
    Millis fullRateAfter_ {10'000};
    /// Fraction of the rate at which other daemons grant.
    double partialShare_ = 0.25;
    /// A daemon whose knowledge of the fleet is not complete grants that fraction only if the fleet
    /// was listed within this time, which is longer than the interval between two listings, and no
    /// peer knows a larger one. Otherwise there may be any number of such daemons, and each grants
    /// its equal share.
    Millis contactGrace_ {9000};
    /// A permit that is not answered within this time is denied. Longer than a reply takes between
    /// availability zones, and short enough to use another instance.
    Millis replyTimeout_ {150};
    /// How long a coordinator that did not reply is left out.
    Millis unresponsiveExclusion_ {3000};
    /// Daemons that are tried as coordinators of an instance. Without a reply from any of them, a
    /// daemon takes its equal share of the limit.
    std::size_t coordinators_ = 4;
    /// A bucket holds one permit and those of this time.
    Millis burst_ {250};
    /// Lower bound of a rate in permits per second: an instance that gets no requests could never
    /// state that its limit has ended.
    double minRate_ = 0.25;
    /// Daemons that are denied a permit are told different times to come back, at most this long.
    Millis maxRetryAfter_ {1000};
    /// A response without a limit may have been on its way before the last one with it.
    Millis endTolerance_ {250};
    /// Statements and buckets that were not used for this long are forgotten.
    Millis lifetime_ {3'600'000};
};

/// @brief The limit that an instance last stated to this daemon.
struct StatedLimit
{
    double perSecond_ = 0.0;
    MonoTime statedAt_ {};
};

/// @brief The permits that this daemon may grant for an instance.
///
/// Invariant: tokens_ holds at most one more than the permits of RequestLimitSettings::burst_.
struct PermitBucket
{
    /// The newest statement known here.
    StatedLimit limit_;
    /// When the instance was last known to state no limit.
    std::optional<MonoTime> endedAt_;
    TokenBucket tokens_;
};

/// @brief What one daemon knows of request limits.
struct InstanceLimits
{
    HostId self_;
    /// "IP:port" of this daemon's peer listener.
    std::string address_;
    /// All daemons, including this one.
    std::vector<PeerAddress> daemons_;
    /// Number of daemons, including this one and those without a peer listener; 1 if unknown.
    std::uint32_t fleetSize_ = 1;
    /// When daemons_ was first known.
    std::optional<MonoTime> startedAt_;
    /// Daemons that left the fleet, and when this was noticed.
    std::vector<std::pair<PeerAddress, MonoTime>> departed_;
    /// No daemon is missing in daemons_: see FleetMembers.
    bool isComplete_ = false;
    /// When the store last listed the fleet.
    std::optional<MonoTime> listedAt_;
    std::map<InstanceProcess, StatedLimit> stated_;
    std::map<InstanceProcess, PermitBucket> buckets_;
    /// Until when no permit is requested for an instance.
    std::map<InstanceProcess, MonoTime> deniedUntil_;
    ExcludedPeers unresponsive_;
    std::uint64_t lastNumber_ = 0;
    /// This daemon is stopping and grants nothing to others.
    bool stopping_ = false;
};

/// @brief Returns the stable code of a PermitResult, such as "granted".
std::string_view permitResultCode(PermitResult result);

/// @brief The daemons that may coordinate limits.
struct FleetPeers
{
    PeerAddress self_;
    /// All other members.
    std::vector<PeerAddress> peers_;
    /// Daemons that have left, and when this was noticed.
    std::vector<std::pair<PeerAddress, MonoTime>> departed_;
    bool isComplete_ = false;
    std::optional<MonoTime> listedAt_;
};

/// @brief Updates the daemons that coordinate limits.
void updateLimitPeers(InstanceLimits &limits, const RequestLimitSettings &settings,
                      FleetPeers fleet, MonoTime now);

/// @brief Records the limit in a response of an instance, or that there was none.
/// @return true if the instance stated a limit before and does not any more
bool recordStatedLimit(InstanceLimits &limits, const RequestLimitSettings &settings,
                       const InstanceProcess &process, std::optional<double> perSecond,
                       MonoTime now);

/// @brief Returns true if a request to the instance needs a permit.
bool needsPermit(const InstanceLimits &limits, const InstanceProcess &process);

/// @brief Returns until when the instance accepts no request from this daemon, if it is limited and
/// a permit was denied.
std::optional<MonoTime> deniedUntil(const InstanceLimits &limits, const InstanceProcess &process,
                                    MonoTime now);

/// @brief Records that no permit is requested for an instance until @a until.
void recordDenial(InstanceLimits &limits, const InstanceProcess &process, MonoTime until);

/// @brief Outcome of askForPermit().
struct PermitAnswer
{
    /// Nothing if the coordinator is another daemon, to which request_ must be sent.
    std::optional<PermitResult> result_;
    PeerAddress coordinator_;
    PermitRequest request_;
};

/// @brief Decides about a permit if this daemon coordinates the instance, or returns the request to
/// send to the coordinator. A denial is recorded.
/// @param zone availability zone of the instance, whose daemons are preferred as coordinators
/// @note O(daemons)
PermitAnswer askForPermit(InstanceLimits &limits, const RequestLimitSettings &settings,
                          const InstanceProcess &process, const ZoneId &zone, MonoTime now);

/// @brief Returns the message that tells the coordinator that an instance has stopped stating a
/// limit, or nothing if this daemon is the coordinator.
std::optional<PermitAnswer> reportLimitEnded(InstanceLimits &limits,
                                             const RequestLimitSettings &settings,
                                             const InstanceProcess &process, const ZoneId &zone,
                                             MonoTime now);

/// @brief Handles another daemon's request for a permit.
/// @return nothing if it only reports the end of a limit
std::optional<PermitReply> handlePermitRequest(InstanceLimits &limits,
                                               const RequestLimitSettings &settings,
                                               const PermitRequest &request, const ZoneId &zone,
                                               MonoTime now);

/// @brief Records a coordinator's reply. Permits that were denied are not requested again for a
/// while.
/// @param askedAt when the request was sent
void handlePermitReply(InstanceLimits &limits, const RequestLimitSettings &settings,
                       const PermitReply &reply, const HostId &coordinator, MonoTime askedAt,
                       MonoTime now);

/// @brief Records that a coordinator did not reply in time.
void recordMissingPermitReply(InstanceLimits &limits, const RequestLimitSettings &settings,
                              const InstanceProcess &process, const HostId &coordinator,
                              MonoTime now);

} // namespace tamarack
