// Messages between daemons: dispatch, heartbeats and changes of member state.
#include "core/controlinternal.h"

#include <algorithm>

namespace tamarack::detail {

namespace {

Heartbeat ownHeartbeat(const ControlState &state)
{
    const Registration &self = state.membership_.self_;
    const MembersDigest digest = digestOf(state.membership_);
    Heartbeat heartbeat;
    heartbeat.holder_ = self.holder_;
    heartbeat.zone_ = self.zone_;
    heartbeat.peerAddress_ = self.peerAddress_;
    heartbeat.bundle_ = state.bundle_ ? state.bundle_->version_ : BundleVersion {};
    heartbeat.leaving_ = self.leaving_;
    heartbeat.members_ = digest.count_;
    heartbeat.membersDigest_ = digest.hash_;
    return heartbeat;
}

void requestNewerBundle(const ControlState &state, BundleVersion version, Commands &out)
{
    if (!state.bundle_ || version > state.bundle_->version_)
        out.emplace_back(RefreshBundle {version});
}

void refreshMemberStates(ControlState &state, Now now, Commands &out)
{
    for (const HolderId &holder : updateStates(state.membership_, now.mono_)) {
        const Member &member = state.membership_.members_.at(holder);
        log(out, LogLevel::Info, "member.state",
            {{"holder", holder.value_},
             {"zone", member.registration_.zone_.value_},
             {"state", std::string(memberStateCode(member.state_))}});
    }
    for (const HolderId &holder : removeDeadMembers(state.membership_, now.mono_)) {
        log(out, LogLevel::Warning, "member.dead", {{"holder", holder.value_}});
        handleEvent(state, HolderDeclaredDead {holder}, now, out);
    }
}

struct MessageHandler
{
    ControlState &state_;
    const HostId &from_;
    Now now_;
    Commands &out_;

    void operator()(const Heartbeat &message) const
    {
        if (recordHeartbeat(state_.membership_, from_, message, now_.mono_))
            out_.emplace_back(RefreshMembers {});
        requestNewerBundle(state_, message.bundle_, out_);
    }
    void operator()(const Reserve &message) const
    {
        recordContact(state_.membership_, message.entry_, now_.mono_);
        onReserve(state_, message, now_, out_);
    }
    void operator()(const Settle &message) const
    {
        recordContact(state_.membership_, message.entry_, now_.mono_);
        onSettle(state_, message, now_, out_);
    }
    void operator()(const ReserveQueued &message) const { answered(message); }
    void operator()(const Reserved &message) const { answered(message); }
    void operator()(const Refused &message) const { answered(message); }
    void operator()(const SettleAck &message) const
    {
        recordContact(state_.membership_, message.home_, now_.mono_);
        onSettleAck(state_, message, out_);
    }
    void operator()(const BundleOffer &message) const
    {
        requestNewerBundle(state_, message.version_, out_);
    }
    // The bundle store holds the bundle's bytes, outside the control state.
    void operator()(const BundleFetch &) const { }
    void operator()(const BundleParts &) const { }
    // Messages between relays. This daemon is configured by bundles and does not use them.
    void operator()(const DocumentsRequest &) const { }
    void operator()(const DocumentsReply &) const { }
    void operator()(const LoanRequest &) const { }
    void operator()(const LoanReply &) const { }
    void operator()(const GrantReport &) const { }
    void operator()(const QuarantineReport &) const { }
    void operator()(const PermitRequest &) const { }
    void operator()(const PermitReply &) const { }
    void operator()(const PresenceRequest &) const { }
    void operator()(const PresenceReply &) const { }
    void operator()(const StreamBegan &) const { }
    void operator()(const StreamOriginRequest &) const { }
    void operator()(const StreamOriginReply &) const { }
    void operator()(const ReleaseRequest &message) const
    {
        if (message.holder_ == state_.membership_.self_.holder_)
            handleEvent(state_, ReleaseRequested {message.budget_}, now_, out_);
    }
    void operator()(const Leaving &message) const
    {
        markLeaving(state_.membership_, message.holder_);
    }

    template <typename Answer>
    void answered(const Answer &message) const
    {
        recordContact(state_.membership_, message.home_, now_.mono_);
        onReserveReply(state_, message, now_, out_);
    }
};

} // namespace

void sendToPeer(const ControlState &state, const HolderId &holder, PeerMessage message,
                Commands &out)
{
    const Member *member = findMember(state.membership_, holder);
    if (!member || member->registration_.peerAddress_.empty())
        return;
    out.emplace_back(SendPeer {member->registration_.host_, member->registration_.peerAddress_,
                               std::move(message)});
}

void onPeerMessageReceived(ControlState &state, const PeerMessageReceived &event, Now now,
                           Commands &out)
{
    std::visit(MessageHandler {state, event.from_, now, out}, event.message_);
}

void onRegistrationsLoaded(ControlState &state, const RegistrationsLoaded &event, Now now,
                           Commands &out)
{
    updateRegistrations(state.membership_, event.members_, now.mono_);
    refreshMemberStates(state, now, out);
}

void onHostListLoaded(ControlState &state, const HostListLoaded &event, Now now, Commands &out)
{
    updateHostList(state.membership_, event.hosts_);
    for (const ListedHost &host : event.hosts_)
        setHostLeaving(state.routing_, host.host_, LeavingSource::HostList, host.leaving_,
                       now.mono_);
    refreshMemberStates(state, now, out);
}

void announceLeaving(ControlState &state, Commands &out)
{
    const Registration &self = state.membership_.self_;
    for (const auto &[holder, member] : state.membership_.members_) {
        if (member.registration_.zone_ == self.zone_)
            sendToPeer(state, holder, Leaving {self.holder_}, out);
    }
}

void runMembershipTimers(ControlState &state, Now now, Commands &out)
{
    Membership &membership = state.membership_;
    if (membership.self_.peerAddress_.empty()
        || (membership.nextHeartbeat_ && now.mono_ < *membership.nextHeartbeat_))
        return;
    membership.nextHeartbeat_ = now.mono_ + membership.settings_.heartbeatInterval_;
    refreshMemberStates(state, now, out);
    const Heartbeat heartbeat = ownHeartbeat(state);
    for (const HolderId &target : nextHeartbeatTargets(membership))
        sendToPeer(state, target, heartbeat, out);
}

void sendReleaseRequests(const ControlState &state, Commands &out)
{
    Commands messages;
    for (const Command &command : out) {
        if (const auto *release = std::get_if<RequestRelease>(&command))
            sendToPeer(state, release->holder_, ReleaseRequest {release->holder_, release->budget_},
                       messages);
    }
    std::erase_if(out, [](const Command &command) {
        return std::holds_alternative<RequestRelease>(command);
    });
    out.insert(out.end(), std::make_move_iterator(messages.begin()),
               std::make_move_iterator(messages.end()));
}

std::optional<MonoTime> nextMembershipWake(const ControlState &state)
{
    return state.membership_.nextHeartbeat_;
}

} // namespace tamarack::detail
