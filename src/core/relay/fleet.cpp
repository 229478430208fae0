// Counts the live daemons.
#include "core/relay/fleet.h"

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
        if (registration.leaving_) {
            if (host != self)
                counted.leaving_[host] = registration.holder_;
            continue;
        }
        ++counted.daemons_;
        if (registration.zone_ == zone)
            ++counted.zoneDaemons_;
        if (host == self || registration.peerAddress_.empty())
            continue;
        counted.peers_.push_back(PeerAddress {host, registration.zone_, registration.peerAddress_,
                                              registration.capacity_,
                                              registration.handoverAddress_});
        counted.holders_[host] = registration.holder_;
    }
    const auto own = newest.find(self);
    counted.listsSelf_ = own != newest.end() && !own->second->registration_.leaving_;
    if (!counted.listsSelf_) {
        ++counted.daemons_;
        ++counted.zoneDaemons_;
    }
    counted.era_ = members.era_;
    return counted;
}

} // namespace tamarack
