// Verdicts about other daemons, choice of home daemons and targets of heartbeats.
#include "core/membership.h"

#include "core/hash.h"
#include "core/peermessage.h"

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

/// A member is suspect after this many missed heartbeats.
constexpr int missedHeartbeats = 3;
constexpr std::uint32_t maxDoublings = 5;
/// Live for this many hold-downs, a member counts as steady again.
constexpr int steadyHoldDowns = 16;
/// A change of the registrations needs this long to reach every watch.
constexpr Millis watchLag {5000};

/// What the states of all members depend on.
struct Overview
{
    std::map<HostId, Revision> latestRun_;
    std::map<ZoneId, std::size_t> zoneSizes_;
};

Overview overviewOf(const Membership &membership)
{
    Overview overview;
    for (const auto &[holder, member] : membership.members_) {
        const Registration &registration = member.registration_;
        ++overview.zoneSizes_[registration.zone_];
        Revision &latest = overview.latestRun_[registration.host_];
        if (member.registered_)
            latest = std::max(latest, member.created_);
    }
    return overview;
}

/// @param zoneSize members of @a zone without this daemon
Millis gapFor(const Membership &membership, const ZoneId &zone, std::size_t zoneSize)
{
    const bool ownZone = zone == membership.self_.zone_;
    const std::size_t peers = ownZone ? zoneSize : membership.members_.size() + 1 - zoneSize;
    const std::size_t fanout = std::max<std::size_t>(
        1, ownZone ? membership.settings_.zoneFanout_ : membership.settings_.remoteZoneFanout_);
    const std::size_t turns = std::max<std::size_t>(1, (peers + fanout - 1) / fanout);
    return membership.settings_.heartbeatInterval_ * turns;
}

/// A holder may be heard seldom in a large fleet, so the grace covers two of its turns.
Millis graceOf(const Membership &membership, const Member &member)
{
    return std::max(membership.settings_.deadGracePeriod_,
                    2 * heartbeatGap(membership, member.registration_.zone_));
}

bool isDead(const Membership &membership, const Member &member, MonoTime now)
{
    if (member.registered_)
        return false;
    const Millis grace = graceOf(membership, member);
    return now - *member.lapsedAt_ >= grace && now - member.lastHeardAt_ >= grace;
}

MemberState stateIn(const Membership &membership, const Overview &overview, const Member &member,
                    MonoTime now)
{
    const Registration &registration = member.registration_;
    if (isDead(membership, member, now))
        return MemberState::Dead;
    if (registration.leaving_ || member.hostLeaving_)
        return MemberState::Leaving;
    const Millis gap
        = gapFor(membership, registration.zone_, overview.zoneSizes_.at(registration.zone_));
    const bool silent = now - member.lastHeardAt_ > missedHeartbeats * gap;
    const bool replaced = overview.latestRun_.at(registration.host_) > member.created_;
    const bool suspect = !member.registered_ || member.hostUnlisted_ || now < member.suspectUntil_
        || silent || replaced;
    return suspect ? MemberState::Suspect : MemberState::Live;
}

/// Appends up to @a count members after @a cursor in the order of their ids, in a ring.
void appendTargets(const Membership &membership, bool ownZone, std::uint32_t count,
                   HolderId &cursor, std::vector<HolderId> &targets)
{
    std::vector<HolderId> ring;
    for (const auto &[holder, member] : membership.members_) {
        const bool same = member.registration_.zone_ == membership.self_.zone_;
        if (same == ownZone && !member.registration_.peerAddress_.empty())
            ring.push_back(holder);
    }
    if (ring.empty())
        return;
    // The ring starts after the own id, so that the daemons do not all send to the same member.
    const HolderId &after = cursor.isEmpty() ? membership.self_.holder_ : cursor;
    auto next = std::upper_bound(ring.begin(), ring.end(), after);
    const std::size_t wanted = std::min<std::size_t>(count, ring.size());
    for (std::size_t i = 0; i < wanted; ++i) {
        if (next == ring.end())
            next = ring.begin();
        targets.push_back(*next);
        cursor = *next;
        ++next;
    }
}

} // namespace

void updateRegistrations(Membership &membership, const std::vector<RegisteredMember> &members,
                         MonoTime now)
{
    if (!membership.firstSeenAt_)
        membership.firstSeenAt_ = now;
    membership.lastSeenAt_ = now;
    std::set<HolderId> present;
    for (const RegisteredMember &read : members) {
        const HolderId &holder = read.registration_.holder_;
        if (holder == membership.self_.holder_)
            continue;
        present.insert(holder);
        const auto [it, created] = membership.members_.try_emplace(holder);
        Member &member = it->second;
        if (created || !member.registered_)
            member.lastHeardAt_ = now;
        const bool wasLeaving = !created && member.registration_.leaving_;
        member.registration_ = read.registration_;
        member.registration_.leaving_ |= wasLeaving;
        member.created_ = read.created_;
        member.registered_ = true;
        member.lapsedAt_.reset();
    }
    for (auto &[holder, member] : membership.members_) {
        if (present.contains(holder) || !member.registered_)
            continue;
        member.registered_ = false;
        member.lapsedAt_ = now;
    }
}

void updateHostList(Membership &membership, const std::vector<ListedHost> &hosts)
{
    std::map<HostId, bool> leavingByHost;
    for (const ListedHost &host : hosts)
        leavingByHost[host.host_] |= host.leaving_;
    for (auto &entry : membership.members_) {
        Member &member = entry.second;
        const auto it = leavingByHost.find(member.registration_.host_);
        const bool listed = it != leavingByHost.end();
        member.hostLeaving_ = listed && it->second;
        member.hostUnlisted_ = !listed && member.hostWasListed_;
        member.hostWasListed_ |= listed;
    }
}

bool recordHeartbeat(Membership &membership, const HostId &from, const Heartbeat &heartbeat,
                     MonoTime now)
{
    if (heartbeat.holder_ == membership.self_.holder_)
        return false;
    const auto [it, created] = membership.members_.try_emplace(heartbeat.holder_);
    Member &member = it->second;
    if (created) {
        // It lives, but nothing shows yet that the store knows it.
        member.registration_ = Registration {from, heartbeat.holder_, heartbeat.zone_,
                                             heartbeat.peerAddress_, heartbeat.leaving_};
        member.lapsedAt_ = now;
    }
    member.registration_.leaving_ |= heartbeat.leaving_;
    recordContact(membership, heartbeat.holder_, now);
    const MembersDigest theirs {heartbeat.members_, heartbeat.membersDigest_};
    const bool differs = membership.firstSeenAt_ && !(theirs == digestOf(membership));
    if (!differs || now - membership.lastSeenAt_ < watchLag
        || now - membership.lastRefreshAt_ < membership.settings_.refreshInterval_)
        return false;
    membership.lastRefreshAt_ = now;
    return true;
}

void recordContact(Membership &membership, const HolderId &holder, MonoTime now)
{
    const auto it = membership.members_.find(holder);
    if (it == membership.members_.end())
        return;
    Member &member = it->second;
    member.lastHeardAt_ = std::max(member.lastHeardAt_, now);
    if (now - member.suspectUntil_ > steadyHoldDowns * membership.settings_.holdDown_)
        member.failures_ = 0;
}

void markLeaving(Membership &membership, const HolderId &holder)
{
    const auto it = membership.members_.find(holder);
    if (it == membership.members_.end())
        return;
    it->second.registration_.leaving_ = true;
    it->second.state_ = MemberState::Leaving;
}

void recordTimeout(Membership &membership, const HolderId &holder, MonoTime now)
{
    const auto it = membership.members_.find(holder);
    // Several requests that fail together are one failure.
    if (it == membership.members_.end() || now < it->second.suspectUntil_)
        return;
    Member &member = it->second;
    const std::uint32_t doublings = std::min(member.failures_, maxDoublings);
    member.suspectUntil_ = now + membership.settings_.holdDown_ * (1U << doublings);
    ++member.failures_;
    if (member.state_ == MemberState::Live)
        member.state_ = MemberState::Suspect;
}

MemberState stateOf(const Membership &membership, const Member &member, MonoTime now)
{
    return stateIn(membership, overviewOf(membership), member, now);
}

std::vector<HolderId> updateStates(Membership &membership, MonoTime now)
{
    const Overview overview = overviewOf(membership);
    std::vector<HolderId> changed;
    for (auto &[holder, member] : membership.members_) {
        const MemberState state = stateIn(membership, overview, member, now);
        if (state != member.state_)
            changed.push_back(holder);
        member.state_ = state;
    }
    return changed;
}

std::vector<HolderId> removeDeadMembers(Membership &membership, MonoTime now)
{
    // After a pause of this daemon, heartbeats of others may still wait in its queues.
    const Millis grace = membership.settings_.deadGracePeriod_;
    if (membership.checkedAt_ != MonoTime {} && now - membership.checkedAt_ > grace / 2)
        membership.noVerdictBefore_ = now + grace;
    membership.checkedAt_ = now;
    std::vector<HolderId> dead;
    if (now < membership.noVerdictBefore_)
        return dead;
    for (const auto &[holder, member] : membership.members_) {
        if (isDead(membership, member, now))
            dead.push_back(holder);
    }
    for (const HolderId &holder : dead)
        membership.members_.erase(holder);
    return dead;
}

bool isDeparted(const Membership &membership, const HolderId &holder, MonoTime now)
{
    return membership.firstSeenAt_ && holder != membership.self_.holder_
        && !membership.members_.contains(holder)
        && now - *membership.firstSeenAt_ >= membership.settings_.deadGracePeriod_;
}

const Member *findMember(const Membership &membership, const HolderId &holder)
{
    const auto it = membership.members_.find(holder);
    return it == membership.members_.end() ? nullptr : &it->second;
}

std::optional<HolderId> homeOf(const Membership &membership, std::string_view key,
                               const ZoneId &zone)
{
    std::optional<HolderId> home;
    std::uint64_t highest = 0;
    const auto consider = [&](const Registration &registration) {
        const std::uint64_t weight = rendezvousWeight(key, registration.host_.value_);
        if (home && weight <= highest)
            return;
        home = registration.holder_;
        highest = weight;
    };
    if (membership.self_.zone_ == zone && !membership.self_.leaving_)
        consider(membership.self_);
    for (const auto &[holder, member] : membership.members_) {
        if (member.registration_.zone_ == zone && member.state_ == MemberState::Live)
            consider(member.registration_);
    }
    return home;
}

std::vector<HolderId> nextHeartbeatTargets(Membership &membership)
{
    std::vector<HolderId> targets;
    appendTargets(membership, true, membership.settings_.zoneFanout_, membership.zoneCursor_,
                  targets);
    appendTargets(membership, false, membership.settings_.remoteZoneFanout_, membership.farCursor_,
                  targets);
    return targets;
}

Millis heartbeatGap(const Membership &membership, const ZoneId &zone)
{
    std::size_t zoneSize = 0;
    for (const auto &[holder, member] : membership.members_)
        zoneSize += member.registration_.zone_ == zone ? 1 : 0;
    return gapFor(membership, zone, zoneSize);
}

MembersDigest digestOf(const Membership &membership)
{
    // A sum does not depend on the order.
    MembersDigest digest {1, hash64(membership.self_.holder_.value_)};
    for (const auto &[holder, member] : membership.members_) {
        if (!member.registered_)
            continue;
        ++digest.count_;
        digest.hash_ += hash64(holder.value_);
    }
    return digest;
}

std::string_view memberStateCode(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        break;
    }
    return "dead";
}

} // namespace tamarack
