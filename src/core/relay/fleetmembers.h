// The members of the fleet, as one daemon knows them from listings of the store and from contact
// between the daemons.
//
// A listing shows which registrations the store has, not which daemons run. All registrations
// lapse in a long outage of the store, a store that returns from a copy has lost the newest ones,
// and a daemon may read such a list and then not reach the store any more. So a member that a
// listing lacks is only missing. It has left if its registration or its reply said so, or if it is
// missing and does not reply to its peers either.
//
// All parts that divide a limit among the daemons, or that rank daemons, use these members. They
// count too many daemons rather than too few: the sum of the parts stays within the limit.
//
// A daemon that has left is noticed while the store is away, too, if the last listing lacked it.
// One that the last listing had is counted until the store can be read: a silent daemon may be on
// the other side of a network partition and use its part.
#pragma once

#include "core/presence.h"
#include "core/relay/fleet.h"
#include "core/relay/peerranking.h"
#include "core/store.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace tamarack {

struct FleetMemberSettings
{
    /// Interval at which a missing member is asked whether it runs.
    Millis probeInterval_ {1000};
    /// A missing member that replied to none of so many requests, over this time, has left.
    std::uint32_t minUnanswered_ = 3;
    Millis silenceLimit_ {4000};
    /// Members asked in one interval. Bounds the messages when a store returns empty to a large
    /// fleet.
    std::size_t maxProbes_ = 64;
    /// A daemon that has never been listed counts for this long after its last message.
    Millis contactLifetime_ {10'000};
    /// How many such daemons are remembered.
    std::size_t maxIntroduced_ = 1024;
    /// Listings that have this daemon must have come for this long until they are taken as
    /// complete. Longer than the registrations of a fleet take to return to the store.
    Millis settleTime_ {10'000};
    /// Without a listing for longer than this, that time starts again. Longer than the interval
    /// between two listings.
    Millis maxListingGap_ {9000};
    /// How long the number of daemons that a peer has told is used.
    Millis reportLifetime_ {30'000};
    /// How long a departure is remembered.
    Millis departureLifetime_ {30'000};
};

enum class FleetMemberState {
    /// The last listing has it.
    Listed,
    /// The last listing lacks it, and nothing shows that it has left.
    Missing,
    /// It sends messages and has never been listed.
    Introduced,
};

struct FleetMember
{
    /// Only the host is known of an introduced member.
    PeerAddress peer_;
    /// The process that was listed last.
    HolderId holder_;
    FleetMemberState state_ = FleetMemberState::Introduced;
    std::optional<MonoTime> heardAt_;
    std::optional<MonoTime> askedAt_;
    /// Requests since heardAt_ without a reply, and when the first of them was sent.
    std::uint32_t unanswered_ = 0;
    MonoTime unansweredSince_ {};
};

/// @brief A member that has left.
struct Departure
{
    PeerAddress peer_;
    HolderId holder_;
    MonoTime noticedAt_ {};
    /// It did not say so itself, and is a member again if it turns out to run.
    bool presumed_ = false;
};

/// @brief The members of the fleet besides this daemon.
///
/// Invariants: no host is in both others_ and departed_; the listed and missing members have a peer
/// address.
struct FleetMembers
{
    HostId self_;
    ZoneId zone_;
    /// Daemons that may be asked for the size of the fleet before it has been listed.
    std::vector<PeerAddress> seeds_;
    std::map<HostId, FleetMember> others_;
    std::map<HostId, Departure> departed_;
    /// Registered daemons without a peer address, in the last listing.
    std::uint32_t withoutAddress_ = 0;
    std::uint32_t withoutAddressInZone_ = 0;
    std::optional<MonoTime> listedAt_;
    /// Era of the store that sent the last listing.
    StoreEra era_;
    /// Since when all listings have had this daemon, without a gap and in the same era.
    std::optional<MonoTime> confirmedSince_;
    /// The listings have been complete once. Members that a later one lacks are missing.
    bool isComplete_ = false;
    /// Largest number of daemons that a peer has told, and when.
    std::uint32_t reportedDaemons_ = 0;
    MonoTime reportedAt_ {};
    MonoTime nextProbeAt_ {};
    /// Some members are not listed.
    bool hasUnlisted_ = false;
};

/// @brief What is logged of the members.
struct FleetCounts
{
    std::uint32_t daemons_ = 0;
    std::uint32_t zoneDaemons_ = 0;
    std::size_t listed_ = 0;
    std::size_t missing_ = 0;
    std::size_t introduced_ = 0;
    bool isComplete_ = false;

    bool operator==(const FleetCounts &) const = default;
};

/// @brief Applies a listing.
/// @note O(members x log members)
void applyListing(FleetMembers &members, const FleetMemberSettings &settings,
                  const FleetView &listing, MonoTime now);

/// @brief Records a message of another daemon.
/// @return true if it changes the members
bool recordFleetContact(FleetMembers &members, const FleetMemberSettings &settings,
                        const HostId &host, MonoTime now);

/// @brief Records that another daemon replied to a PresenceRequest.
/// @return true if it changes the members
bool recordPresence(FleetMembers &members, const FleetMemberSettings &settings, const HostId &host,
                    const PresenceReply &reply, MonoTime now);

/// @brief Removes the members that have left without a word, and outdated knowledge.
/// @return true if the members changed
bool removeSilentMembers(FleetMembers &members, const FleetMemberSettings &settings, MonoTime now);

/// @brief Returns the daemons to which a PresenceRequest is to be sent now.
std::vector<PeerAddress> dueProbes(FleetMembers &members, const FleetMemberSettings &settings,
                                   MonoTime now);

/// @brief Returns when removeSilentMembers() or dueProbes() have work to do next.
std::optional<MonoTime> nextFleetTime(const FleetMembers &members);

/// @brief Returns the daemons that count, and the peer addresses of the listed and missing members.
FleetView currentFleet(const FleetMembers &members, const FleetMemberSettings &settings,
                       MonoTime now);

/// @brief Returns the number of members in a state.
std::size_t countMembers(const FleetMembers &members, FleetMemberState state);

} // namespace tamarack
