// Membership and failure detection, based on registrations in the store, heartbeats and the host
// list of the platform. A wrong decision can make tokens unusable or add a hop to a request, but it
// can never cause overspending.
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

/// @brief A registration read from the store.
struct RegisteredMember
{
    Registration registration_;
    /// Creation revision of the registration. A later daemon process of the same host has a higher
    /// one.
    Revision created_;
};

/// @brief An entry of the host list of the platform. The list is updated with a delay.
struct ListedHost
{
    HostId host_;
    ZoneId zone_;
    std::string address_;
    bool leaving_ = false;
};

enum class MemberState {
    Live,
    /// Not used for new requests: missed heartbeats, recent timeouts, no registration, missing from
    /// the host list, or replaced by a later process of its host.
    Suspect,
    /// Shutting down: it finishes its requests and accepts no new ones.
    Leaving,
    /// Unregistered and without any message for the grace period.
    Dead,
};

struct MembershipSettings
{
    Millis heartbeatInterval_ {1000};
    /// Number of heartbeats sent per interval to daemons of the local zone.
    std::uint32_t zoneFanout_ = 2;
    /// Number of heartbeats sent per interval to daemons of other zones.
    std::uint32_t remoteZoneFanout_ = 1;
    /// Minimum time without registration and messages after which a daemon is declared dead.
    Millis deadGracePeriod_ {10'000};
    /// How long a daemon stays suspect after a timeout. The time doubles with each further timeout.
    Millis holdDown_ {2000};
    /// Minimum interval between two reads of all registrations that are caused by differing
    /// digests.
    Millis refreshInterval_ {30'000};
};

/// @brief What this daemon knows about another daemon.
///
/// Invariant: unregisteredAt_ is set if and only if registered_ is false.
struct Member
{
    Registration registration_;
    Revision created_;
    bool registered_ = false;
    std::optional<MonoTime> unregisteredAt_;
    /// When the last message was received or the registration appeared in the store.
    MonoTime lastHeardAt_ {};
    /// The member is suspect until this time because of a timeout.
    MonoTime suspectUntil_ {};
    /// Number of timeouts since the member was last reachable for a long time.
    std::uint32_t failures_ = 0;
    /// The host list marks the host of the member as leaving.
    bool hostLeaving_ = false;
    /// The host of the member has disappeared from the host list.
    bool hostUnlisted_ = false;
    bool hostListedBefore_ = false;
    /// State as of the last call of updateStates().
    MemberState state_ = MemberState::Suspect;
};

/// @brief What this daemon knows about all other daemons.
struct Membership
{
    MembershipSettings settings_;
    Registration self_;
    /// All other daemons that are not dead.
    std::map<HolderId, Member> members_;
    /// When the registrations were read for the first time.
    std::optional<MonoTime> firstReadAt_;
    MonoTime lastReadAt_ {};
    MonoTime lastRefreshAt_ {};
    MonoTime lastDeathCheckAt_ {};
    /// No member is declared dead before this time, because this daemon may have been paused
    /// itself.
    MonoTime noDeathsBefore_ {};
    std::optional<MonoTime> nextHeartbeat_;
    /// Last members to which heartbeats were sent; the next heartbeats go to their successors.
    HolderId ownZoneCursor_;
    HolderId remoteZoneCursor_;
};

/// @brief Number and hash of the registered holders, including this daemon.
struct MembersDigest
{
    std::uint32_t count_ = 0;
    std::uint64_t hash_ = 0;

    bool operator==(const MembersDigest &) const = default;
};

/// @brief Updates the members from a complete read of the registrations.
/// @note O(members log(members))
void updateRegistrations(Membership &membership, const std::vector<RegisteredMember> &members,
                         MonoTime now);

/// @brief Updates the members from the host list.
///
/// The list is updated with a delay, so it never makes a daemon count as live.
void updateHostList(Membership &membership, const std::vector<ListedHost> &hosts);

/// @brief Processes a heartbeat.
/// @return true if the registrations should be read again because the digest of the sender differs
bool recordHeartbeat(Membership &membership, const HostId &from, const Heartbeat &heartbeat,
                     MonoTime now);

/// @brief Records that a message from the holder was received.
void recordContact(Membership &membership, const HolderId &holder, MonoTime now);

/// @brief Records that a member has announced its shutdown.
void markLeaving(Membership &membership, const HolderId &holder);

/// @brief Records that a member did not reply in time.
void recordTimeout(Membership &membership, const HolderId &holder, MonoTime now);

/// @brief Computes the state of a member.
/// @note O(members log(members)); use updateStates() for all members
MemberState stateOf(const Membership &membership, const Member &member, MonoTime now);

/// @brief Updates the state of every member.
/// @return the members whose state changed
/// @note O(members log(members)), plus O(members) for each unregistered member
std::vector<HolderId> updateStates(Membership &membership, MonoTime now);

/// @brief Removes all dead members and returns their holder ids.
std::vector<HolderId> removeDeadMembers(Membership &membership, MonoTime now);

/// @brief Returns true if a holder is not a member and enough time has passed since the first read
/// of the registrations that it cannot be a member that is not known yet.
bool isDeparted(const Membership &membership, const HolderId &holder, MonoTime now);

/// @brief Returns the member, or null if it is unknown or has been removed as dead.
const Member *findMember(const Membership &membership, const HolderId &holder);

/// @brief Selects the home daemon of a key in a zone by rendezvous hashing.
///
/// Candidates are the live members and, unless it is leaving, this daemon.
/// @return the holder id, or nothing if the zone has no live daemon
/// @note O(members)
std::optional<HolderId> homeOf(const Membership &membership, std::string_view key,
                               const ZoneId &zone);

/// @brief Returns the members to which the next heartbeats are sent.
///
/// The number of members is bounded by the fanouts; repeated calls cycle through all members.
/// @note O(members)
std::vector<HolderId> nextHeartbeatTargets(Membership &membership);

/// @brief Returns the expected maximum time between two heartbeats from a member in @a zone.
/// @note O(members)
Millis expectedHeartbeatInterval(const Membership &membership, const ZoneId &zone);

/// @brief Returns the digest of the registered members.
/// @note O(members)
MembersDigest digestOf(const Membership &membership);

/// @brief Returns the name of a state in logs.
std::string_view memberStateCode(MemberState state);

} // namespace tamarack
