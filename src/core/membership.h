// Membership: which daemons live, from registrations in the store, heartbeats and the platform's
// host list. A wrong verdict costs stranded tokens or a longer way, never an overspend.
#pragma once

#include "core/ids.h"
#include "core/store.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

struct Heartbeat;

/// @brief One registration as read from the store.
struct RegisteredMember
{
    Registration registration_;
    /// Revision that created the registration; a later run of a host has a higher one.
    Revision created_;
};

/// @brief One entry of the platform's lagging host list.
struct ListedHost
{
    HostId host_;
    ZoneId zone_;
    std::string address_;
    bool leaving_ = false;
};

enum class MemberState {
    Live,
    /// Not relied on: silent, unanswered, unregistered or replaced by a later run of its host.
    Suspect,
    /// Announced that it stops; it finishes its work and takes no more.
    Leaving,
    /// Its registration lapsed and it stayed silent for the grace time.
    Dead,
};

struct MembershipSettings
{
    Millis heartbeatInterval_ {1000};
    /// Heartbeats sent at each interval to daemons of the own zone.
    std::uint32_t zoneFanout_ = 2;
    /// Heartbeats sent at each interval to daemons of other zones.
    std::uint32_t remoteZoneFanout_ = 1;
    /// Silence after the lapse of a registration until the holder counts as dead.
    Millis deadGracePeriod_ {10'000};
    /// How long a daemon that did not answer is not relied on; doubled for each repetition.
    Millis holdDown_ {2000};
    /// Shortest time between two reads of all registrations that a peer's digest asks for.
    Millis refreshInterval_ {30'000};
};

/// @brief Another daemon.
///
/// Invariant: lapsedAt_ is set if and only if registered_ is false.
struct Member
{
    Registration registration_;
    Revision created_;
    bool registered_ = false;
    std::optional<MonoTime> lapsedAt_;
    /// Last sign of life.
    MonoTime lastHeardAt_ {};
    /// The member is not relied on before this time.
    MonoTime suspectUntil_ {};
    /// Times it failed to answer since it was last live for long.
    std::uint32_t failures_ = 0;
    /// The host list shows its host as leaving.
    bool hostLeaving_ = false;
    /// The host list showed its host before and does not any more.
    bool hostUnlisted_ = false;
    bool hostWasListed_ = false;
    /// State at the last updateStates().
    MemberState state_ = MemberState::Suspect;
};

/// @brief What one daemon knows about the others.
struct Membership
{
    MembershipSettings settings_;
    Registration self_;
    /// All other daemons that are not dead.
    std::map<HolderId, Member> members_;
    /// When the registrations were first read.
    std::optional<MonoTime> firstSeenAt_;
    MonoTime lastSeenAt_ {};
    MonoTime lastRefreshAt_ {};
    MonoTime checkedAt_ {};
    /// No verdict of death before this time, because this daemon itself may have been paused.
    MonoTime noVerdictBefore_ {};
    std::optional<MonoTime> nextHeartbeat_;
    /// The last members that heartbeats were sent to; the next ones in order come next.
    HolderId zoneCursor_;
    HolderId farCursor_;
};

/// @brief Number and hash of the registered holders, this daemon included.
struct MembersDigest
{
    std::uint32_t count_ = 0;
    std::uint64_t hash_ = 0;

    bool operator==(const MembersDigest &) const = default;
};

/// @brief Takes over a complete read of the registrations.
void updateRegistrations(Membership &membership, const std::vector<RegisteredMember> &members,
                         MonoTime now);

/// @brief Takes over the host list. It lags, so it never proves that a daemon lives.
void updateHostList(Membership &membership, const std::vector<ListedHost> &hosts);

/// @brief Takes over a heartbeat.
/// @return true if the registrations should be read again, because the sender knows other members
bool recordHeartbeat(Membership &membership, const HostId &from, const Heartbeat &heartbeat,
                     MonoTime now);

/// @brief Notes a sign of life.
void recordContact(Membership &membership, const HolderId &holder, MonoTime now);

/// @brief Notes the announcement of a planned stop.
void markLeaving(Membership &membership, const HolderId &holder);

/// @brief Notes that a member did not answer in time.
void recordTimeout(Membership &membership, const HolderId &holder, MonoTime now);

/// @brief Returns the state of a member.
/// @note O(members); updateStates() serves all members in one pass
MemberState stateOf(const Membership &membership, const Member &member, MonoTime now);

/// @brief Updates the state of every member.
/// @return the members whose state changed
/// @note O(members log members)
std::vector<HolderId> updateStates(Membership &membership, MonoTime now);

/// @brief Removes the members that are dead and returns their holders.
std::vector<HolderId> removeDeadMembers(Membership &membership, MonoTime now);

/// @brief Returns true if a holder is not among the members and can't be one that is yet unknown.
bool isDeparted(const Membership &membership, const HolderId &holder, MonoTime now);

/// @brief Returns the member, or nothing if it is unknown or dead.
const Member *findMember(const Membership &membership, const HolderId &holder);

/// @brief Returns the home of a key in a zone among the live members and this daemon.
/// @return nothing if the zone has no live daemon
/// @note O(members)
std::optional<HolderId> homeOf(const Membership &membership, std::string_view key,
                               const ZoneId &zone);

/// @brief Returns the members that the next heartbeats go to. The number is bounded; repeated calls
/// pass over all members in turn.
std::vector<HolderId> nextHeartbeatTargets(Membership &membership);

/// @brief Returns the longest usual time between two heartbeats of a member.
Millis heartbeatGap(const Membership &membership, const ZoneId &zone);

MembersDigest digestOf(const Membership &membership);

std::string_view memberStateCode(MemberState state);

} // namespace tamarack
