// Permits for cold instances: keeps the requests of all daemons together within a bound that holds
// for any second, whichever of the daemons are in touch with each other.
//
// The bound is divided before anything is sent. The daemon that is first in rank for an instance
// and has been so for longer than daemons may disagree grants most of it. A few others grant one
// permit within any second: those that are first or second in rank by what they know. All other
// daemons grant nothing, to themselves neither. docs/design/cold-instances.md has the arithmetic.
#pragma once

#include "core/relay/instancelimits.h"
#include "core/relay/permitbucket.h"

#include <cstddef>
#include <map>
#include <optional>

namespace tamarack {

struct ColdPermitSettings
{
    /// All daemons together may send a cold instance its rate times overrun_ plus slack_ requests
    /// in any second.
    double overrun_ = 1.0;
    double slack_ = 0.0;
    /// A permit is used at most this long after it was granted: the time for the reply, and that
    /// for establishing a connection.
    Millis useWithin_ {450};
    /// Daemons besides the one with the full rate that may grant in the same second. Two are enough
    /// while all know the same fleet; the others are daemons that lost contact at different times.
    std::size_t partialGranters_ = 4;
    /// The bound must be this many times partialGranters_ for these to grant anything.
    double minShareOfFull_ = 3.0;
    /// Permits that the daemon with the full rate may grant at once.
    double fullBurst_ = 2.0;
    /// Daemons that are tried as coordinators of a cold instance.
    std::size_t coordinators_ = 2;
    /// A daemon that has known the fleet for less than this grants nothing. Longer than the
    /// listing of the fleet takes to be complete while many daemons start.
    Millis startDelay_ {4000};
    /// A daemon that can't read the fleet from the store knows it as it was. It grants at the full
    /// rate for this long, which is longer than the interval of 6 s between two reads;
    /// RequestLimitSettings::fullRateAfter_ must be longer, by the time in which the loss of
    /// contact is noticed.
    Millis contactGrace_ {7000};
    /// A daemon that handled no event for this long may have been suspended.
    Millis stallLimit_ {2000};
    /// Buckets that were not used for this long are forgotten.
    Millis lifetime_ {60'000};
};

/// @brief What one daemon knows about its own right to grant, and its buckets.
struct ColdPermits
{
    std::map<UpstreamId, TokenBucket> buckets_;
    /// Until when the reply to this daemon's request for a permit may arrive.
    std::map<UpstreamId, MonoTime> awaited_;
    /// When noteColdPermitTime() was last called.
    std::optional<MonoTime> notedAt_;
    /// When the store last listed the fleet, with this daemon.
    std::optional<MonoTime> contactAt_;
    /// When the daemon resumed after it was suspended or without contact; what it knows of the
    /// fleet may be outdated then.
    std::optional<MonoTime> resumedAt_;
    MonoTime prunedAt_ {};
};

/// @brief How the bound of one cold instance is divided. Permits granted within
/// ColdPermitSettings::useWithin_ plus one second stay within the bound:
/// one daemon with full_, and ColdPermitSettings::partialGranters_ with partial_.
struct ColdBudget
{
    /// Nothing if the bound has no room.
    std::optional<PermitAllowance> full_;
    std::optional<PermitAllowance> partial_;
};

/// @brief Divides the bound for an instance that accepts @a perSecond requests while it is cold.
ColdBudget coldBudget(const ColdPermitSettings &settings, double perSecond);

/// @brief Records that this daemon handles events. Called before each event, and at least each
/// ColdPermitSettings::stallLimit_ / 2.
/// @param fleetListed the store has just listed the fleet, with this daemon
void noteColdPermitTime(ColdPermits &permits, const InstanceLimits &limits,
                        const ColdPermitSettings &settings, bool fleetListed, MonoTime now);

/// @brief A cold instance.
struct ColdTarget
{
    InstanceProcess process_;
    ZoneId zone_;
    /// Requests per second that it accepts while it is cold.
    double perSecond_ = 0.0;
};

/// @brief Decides about a permit if this daemon coordinates the instance, or returns the request to
/// send to the coordinator. A denial is recorded, also if no coordinator replies: the instance gets
/// no request from this daemon then.
/// @note O(daemons)
PermitAnswer askForColdPermit(ColdPermits &permits, InstanceLimits &limits,
                              const ColdPermitSettings &settings,
                              const RequestLimitSettings &limitSettings, const ColdTarget &target,
                              MonoTime now);

/// @brief Handles another daemon's request for a permit for a cold instance.
PermitReply handleColdPermitRequest(ColdPermits &permits, const InstanceLimits &limits,
                                    const ColdPermitSettings &settings,
                                    const RequestLimitSettings &limitSettings,
                                    const PermitRequest &request, const ColdTarget &target,
                                    MonoTime now);

/// @brief Returns true while a reply to this daemon's request for a permit is awaited. Its other
/// requests use other instances meanwhile instead of waiting as well.
bool isColdPermitAwaited(const ColdPermits &permits, const UpstreamId &instance, MonoTime now);

} // namespace tamarack
