// Counts the live daemons.
#include "core/relay/fleet.h"

#include <algorithm>
#include <map>

namespace tamarack {

FleetView countFleet(const RegistrationsLoaded &members, const HostId &self, const ZoneId &zone)
{
    std::map<HostId, const RegisteredMember *> newest;
    for (const RegisteredMember &member : members.members_) {
        const RegisteredMember *&known = newest[member.registration_.host_];
        if (!known || known->created_ < member.created_)
            known = &member;
    }
    FleetView counted {0, 0, {}};
    for (const auto &[host, member] : newest) {
        const Registration &registration = member->registration_;
        if (registration.leaving_)
            continue;
        ++counted.daemons_;
        if (registration.zone_ == zone)
            ++counted.zoneDaemons_;
        if (host != self && !registration.peerAddress_.empty())
            counted.peers_.push_back(PeerAddress {
                host, registration.zone_, registration.peerAddress_, registration.capacity_});
    }
    const auto own = newest.find(self);
    counted.listsSelf_ = own != newest.end() && !own->second->registration_.leaving_;
    counted.daemons_ = std::max(counted.daemons_, 1U);
    counted.zoneDaemons_ = std::max(counted.zoneDaemons_, 1U);
    return counted;
}

} // namespace tamarack
