// The members of the fleet.
#include "core/relay/fleetmembers.h"

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

using MemberEntry = std::map<HostId, FleetMember>::iterator;

/// Moves a member to the departed ones.
/// @return the member after it
MemberEntry depart(FleetMembers &members, MemberEntry member, bool presumed, MonoTime now)
{
    members.departed_[member->first]
        = Departure {member->second.peer_, member->second.holder_, now, presumed};
    return members.others_.erase(member);
}

HolderId listedHolder(const FleetView &listing, const HostId &host)
{
    const auto holder = listing.holders_.find(host);
    return holder == listing.holders_.end() ? HolderId {} : holder->second;
}

/// Returns true if a listing shows the process that has said that it is leaving. The copy from
/// which a store returns may not know it.
bool hasLeft(const FleetMembers &members, const HostId &host, const HolderId &holder)
{
    const auto departure = members.departed_.find(host);
    return departure != members.departed_.end() && !departure->second.presumed_
        && departure->second.holder_ == holder;
}

void addListed(FleetMembers &members, const FleetView &listing)
{
    for (const PeerAddress &peer : listing.peers_) {
        const HolderId holder = listedHolder(listing, peer.host_);
        if (hasLeft(members, peer.host_, holder))
            continue;
        members.departed_.erase(peer.host_);
        FleetMember &member = members.others_[peer.host_];
        member.peer_ = peer;
        member.holder_ = holder;
        member.state_ = FleetMemberState::Listed;
        member.unanswered_ = 0;
    }
}

void removeLeaving(FleetMembers &members, const FleetView &listing, MonoTime now)
{
    for (const auto &[host, holder] : listing.leaving_) {
        const auto member = members.others_.find(host);
        // The registration of the process that runs now may have been lost.
        if (member != members.others_.end()
            && (member->second.holder_.isEmpty() || member->second.holder_ == holder)) {
            member->second.holder_ = holder;
            depart(members, member, false, now);
        }
    }
}

void markMissing(FleetMembers &members, const FleetView &listing, MonoTime now)
{
    std::set<HostId> listed;
    for (const PeerAddress &peer : listing.peers_)
        listed.insert(peer.host_);
    for (auto &[host, member] : members.others_) {
        if (member.state_ != FleetMemberState::Listed || listed.contains(host))
            continue;
        member.state_ = FleetMemberState::Missing;
        members.nextProbeAt_ = std::min(members.nextProbeAt_, now);
    }
}

bool isSilent(const FleetMember &member, const FleetMemberSettings &settings, MonoTime now)
{
    return member.state_ == FleetMemberState::Missing
        && member.unanswered_ >= settings.minUnanswered_
        && now >= member.unansweredSince_ + settings.silenceLimit_;
}

bool isForgotten(const FleetMember &member, const FleetMemberSettings &settings, MonoTime now)
{
    return member.state_ == FleetMemberState::Introduced
        && now >= *member.heardAt_ + settings.contactLifetime_;
}

/// Records since when the listings have had this daemon.
void confirm(FleetMembers &members, const FleetMemberSettings &settings, const FleetView &listing,
             MonoTime now)
{
    const bool isContinuous = members.listedAt_
        && now <= *members.listedAt_ + settings.maxListingGap_ && members.era_ == listing.era_;
    if (!listing.listsSelf_)
        members.confirmedSince_.reset();
    else if (!members.confirmedSince_ || !isContinuous)
        members.confirmedSince_ = now;
    members.isComplete_ = members.isComplete_
        || (members.confirmedSince_ && now >= *members.confirmedSince_ + settings.settleTime_);
}

/// Returns the missing members that are due to be asked, those first that have been asked before,
/// so that a few are decided on at a time.
std::vector<FleetMember *> membersToAsk(FleetMembers &members, const FleetMemberSettings &settings,
                                        MonoTime now)
{
    std::vector<FleetMember *> due;
    for (auto &[host, member] : members.others_) {
        const bool isHeard = member.heardAt_ && now < *member.heardAt_ + settings.probeInterval_;
        if (member.state_ == FleetMemberState::Missing && !isHeard)
            due.push_back(&member);
    }
    std::stable_sort(due.begin(), due.end(), [](const FleetMember *a, const FleetMember *b) {
        return std::pair(a->unanswered_ == 0, a->askedAt_)
            < std::pair(b->unanswered_ == 0, b->askedAt_);
    });
    if (due.size() > settings.maxProbes_)
        due.resize(settings.maxProbes_);
    return due;
}

/// Returns a few daemons that may know the size of the fleet.
std::vector<PeerAddress> daemonsToAskForSize(const FleetMembers &members)
{
    constexpr std::size_t maxAsked = 3;
    std::vector<PeerAddress> asked;
    for (const auto &[host, member] : members.others_) {
        if (member.state_ == FleetMemberState::Listed && asked.size() < maxAsked)
            asked.push_back(member.peer_);
    }
    for (const PeerAddress &seed : members.seeds_) {
        if (asked.size() < maxAsked)
            asked.push_back(seed);
    }
    return asked;
}

} // namespace

void applyListing(FleetMembers &members, const FleetMemberSettings &settings,
                  const FleetView &listing, MonoTime now)
{
    removeLeaving(members, listing, now);
    addListed(members, listing);
    markMissing(members, listing, now);
    // This daemon is always counted.
    const auto listed = static_cast<std::uint32_t>(listing.peers_.size()) + 1;
    const auto inZone = static_cast<std::uint32_t>(
        std::count_if(listing.peers_.begin(), listing.peers_.end(),
                      [&](const PeerAddress &peer) { return peer.zone_ == members.zone_; }));
    members.withoutAddress_ = listing.daemons_ - std::min(listing.daemons_, listed);
    members.withoutAddressInZone_
        = listing.zoneDaemons_ - std::min(listing.zoneDaemons_, inZone + 1);
    confirm(members, settings, listing, now);
    members.listedAt_ = now;
    members.era_ = listing.era_;
    removeSilentMembers(members, settings, now);
}

bool recordFleetContact(FleetMembers &members, const FleetMemberSettings &settings,
                        const HostId &host, MonoTime now)
{
    if (host.isEmpty() || host == members.self_)
        return false;
    const auto known = members.others_.find(host);
    if (known != members.others_.end()) {
        known->second.heardAt_ = now;
        known->second.unanswered_ = 0;
        return false;
    }
    const auto departure = members.departed_.find(host);
    if (departure == members.departed_.end()) {
        if (countMembers(members, FleetMemberState::Introduced) >= settings.maxIntroduced_)
            return false;
        FleetMember &introduced = members.others_[host];
        introduced.peer_.host_ = host;
        introduced.heardAt_ = now;
        members.hasUnlisted_ = true;
        return true;
    }
    if (!departure->second.presumed_)
        return false;
    FleetMember &returned = members.others_[host];
    returned.peer_ = departure->second.peer_;
    returned.holder_ = departure->second.holder_;
    returned.state_ = FleetMemberState::Missing;
    returned.heardAt_ = now;
    members.departed_.erase(departure);
    members.hasUnlisted_ = true;
    return true;
}

bool recordPresence(FleetMembers &members, const FleetMemberSettings &settings, const HostId &host,
                    const PresenceReply &reply, MonoTime now)
{
    const bool isOutdated = now >= members.reportedAt_ + settings.reportLifetime_;
    if (isOutdated || reply.daemons_ >= members.reportedDaemons_) {
        members.reportedDaemons_ = reply.daemons_;
        members.reportedAt_ = now;
    }
    const bool changed = recordFleetContact(members, settings, host, now);
    const auto known = members.others_.find(host);
    if (!reply.leaving_ || known == members.others_.end())
        return changed;
    depart(members, known, false, now);
    return true;
}

bool removeSilentMembers(FleetMembers &members, const FleetMemberSettings &settings, MonoTime now)
{
    bool changed = false;
    for (auto member = members.others_.begin(); member != members.others_.end();) {
        if (isSilent(member->second, settings, now)) {
            member = depart(members, member, true, now);
            changed = true;
        } else if (isForgotten(member->second, settings, now)) {
            member = members.others_.erase(member);
            changed = true;
        } else {
            ++member;
        }
    }
    std::erase_if(members.departed_, [&](const auto &entry) {
        return now >= entry.second.noticedAt_ + settings.departureLifetime_;
    });
    members.hasUnlisted_
        = std::any_of(members.others_.begin(), members.others_.end(), [](const auto &entry) {
              return entry.second.state_ != FleetMemberState::Listed;
          });
    return changed;
}

std::vector<PeerAddress> dueProbes(FleetMembers &members, const FleetMemberSettings &settings,
                                   MonoTime now)
{
    std::vector<PeerAddress> due;
    if (now < members.nextProbeAt_)
        return due;
    members.nextProbeAt_ = now + settings.probeInterval_;
    for (FleetMember *member : membersToAsk(members, settings, now)) {
        member->askedAt_ = now;
        if (member->unanswered_++ == 0)
            member->unansweredSince_ = now;
        due.push_back(member->peer_);
    }
    if (!members.isComplete_) {
        const std::vector<PeerAddress> asked = daemonsToAskForSize(members);
        due.insert(due.end(), asked.begin(), asked.end());
    }
    return due;
}

std::optional<MonoTime> nextFleetTime(const FleetMembers &members)
{
    const bool asksForSize = !members.isComplete_ && !daemonsToAskForSize(members).empty();
    return members.hasUnlisted_ || asksForSize ? std::optional(members.nextProbeAt_) : std::nullopt;
}

FleetView currentFleet(const FleetMembers &members, const FleetMemberSettings &settings,
                       MonoTime now)
{
    FleetView fleet;
    fleet.daemons_
        = 1 + members.withoutAddress_ + static_cast<std::uint32_t>(members.others_.size());
    fleet.zoneDaemons_ = 1 + members.withoutAddressInZone_;
    for (const auto &[host, member] : members.others_) {
        if (member.state_ == FleetMemberState::Introduced)
            continue;
        fleet.peers_.push_back(member.peer_);
        fleet.zoneDaemons_ += member.peer_.zone_ == members.zone_ ? 1 : 0;
    }
    const bool isReported = now < members.reportedAt_ + settings.reportLifetime_;
    if (isReported && !members.isComplete_)
        fleet.daemons_ = std::max(fleet.daemons_, members.reportedDaemons_);
    fleet.era_ = members.era_;
    return fleet;
}

std::size_t countMembers(const FleetMembers &members, FleetMemberState state)
{
    return static_cast<std::size_t>(
        std::count_if(members.others_.begin(), members.others_.end(),
                      [state](const auto &entry) { return entry.second.state_ == state; }));
}

} // namespace tamarack
