// The members of the fleet: tells them to the parts of the relay that depend on them.
#include "core/relay/relayinternal.h"
#include "core/relay/relaytakeovers.h"

#include <string>
#include <utility>

namespace tamarack::relaydetail {

namespace {

/// Logs the counts if they have changed, and the members that have just left.
void logFleet(RelayState &state, MonoTime now, RelayCommands &out)
{
    const FleetMembers &members = state.members_;
    for (const auto &[host, departure] : members.departed_) {
        if (departure.noticedAt_ == now)
            logLine(
                out, LogLevel::Info, "fleet.member_left",
                {{"host", host.value_}, {"cause", departure.presumed_ ? "silent" : "stopping"}});
    }
    const FleetCounts counts {state.fleet_.daemons_,
                              state.fleet_.zoneDaemons_,
                              countMembers(members, FleetMemberState::Listed),
                              countMembers(members, FleetMemberState::Missing),
                              countMembers(members, FleetMemberState::Introduced),
                              members.isComplete_};
    if (std::exchange(state.loggedFleet_, counts) == counts)
        return;
    logLine(out, LogLevel::Info, "fleet.counted",
            {{"daemons", std::to_string(counts.daemons_)},
             {"zone_daemons", std::to_string(counts.zoneDaemons_)},
             {"listed", std::to_string(counts.listed_)},
             {"missing", std::to_string(counts.missing_)},
             {"introduced", std::to_string(counts.introduced_)},
             {"complete", counts.isComplete_ ? "yes" : "no"},
             {"era", std::to_string(members.era_.value_)}});
}

FleetPeers limitPeers(const RelayState &state, const PeerAddress &self)
{
    FleetPeers peers {
        self, state.fleet_.peers_, {}, state.members_.isComplete_, state.members_.listedAt_};
    for (const auto &[host, departure] : state.members_.departed_) {
        if (!departure.peer_.address_.empty())
            peers.departed_.emplace_back(departure.peer_, departure.noticedAt_);
    }
    return peers;
}

/// Tells the members to all parts.
void updateParts(RelayState &state, MonoTime now, RelayCommands &out)
{
    state.fleet_ = currentFleet(state.members_, state.settings_.members_, now);
    const std::vector<PeerAddress> &peers = state.fleet_.peers_;
    const PeerAddress self {
        state.settings_.host_, state.settings_.zone_, {}, state.settings_.capacity_};
    state.limits_.fleetSize_ = state.fleet_.daemons_;
    state.prepaid_.daemons_ = state.fleet_.daemons_;
    logFleet(state, now, out);
    // Before the first listing, the seeds are the only peers that are known.
    if (!state.members_.listedAt_)
        return;
    if (!peers.empty()) {
        state.sync_.peersSeen_ = true;
        updateSyncPeers(state.sync_, self, peers);
    }
    updateLenders(state.prepaid_.lenders_, self, peers);
    scheduleFirstGrants(state.prepaid_, state.settings_.prepaid_, now);
    updateQuarantinePeers(state.quarantine_, self, peers, now);
    updateQuarantinePeers(state.requestQuarantine_, self, peers, now);
    updateLoadPeers(state.loads_, self, peers);
    updateLimitPeers(state.limits_, state.settings_.limits_, limitPeers(state, self), now);
}

} // namespace

void onEvent(RelayState &state, const FleetView &event, MonoTime now, RelayCommands &out)
{
    applyListing(state.members_, state.settings_.members_, event, now);
    noteFleetListed(state, event, now);
    updateParts(state, now, out);
}

void onEvent(RelayState &state, const PresenceRequestReceived &event, MonoTime, RelayCommands &out)
{
    out.emplace_back(SendPeer {event.from_, event.request_.replyAddress_,
                               PresenceReply {state.stopRequestedAt_.has_value(),
                                              state.fleet_.daemons_, isUnable(state)}});
}

void onEvent(RelayState &state, const PresenceReplyReceived &event, MonoTime now,
             RelayCommands &out)
{
    // A daemon without a configuration is unable too. It would be left out for long after its
    // start, because only a daemon that may be cut off asks again.
    if (!event.reply_.unable_
        || mayBeCutOff(state.reachability_, state.settings_.reachability_, now))
        recordAbility(state.takeovers_, state.settings_.takeovers_, event.from_,
                      event.reply_.unable_, now);
    const std::uint32_t reported = state.members_.reportedDaemons_;
    const bool changed
        = recordPresence(state.members_, state.settings_.members_, event.from_, event.reply_, now);
    if (changed || reported != state.members_.reportedDaemons_)
        updateParts(state, now, out);
}

void noteFleetContact(RelayState &state, const HostId &host, MonoTime now, RelayCommands &out)
{
    if (recordFleetContact(state.members_, state.settings_.members_, host, now))
        updateParts(state, now, out);
}

void runFleet(RelayState &state, MonoTime now, RelayCommands &out)
{
    const std::optional<MonoTime> due = nextFleetTime(state.members_);
    if (!due || now < *due)
        return;
    if (removeSilentMembers(state.members_, state.settings_.members_, now))
        updateParts(state, now, out);
    for (const PeerAddress &peer : dueProbes(state.members_, state.settings_.members_, now))
        out.emplace_back(
            SendPeer {peer.host_, peer.address_, PresenceRequest {state.limits_.address_}});
}

} // namespace tamarack::relaydetail
