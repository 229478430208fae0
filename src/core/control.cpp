// Event dispatch, timers and invariants of the control state machine.
#include "core/control.h"

#include "core/controlinternal.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack {

namespace detail {

std::uint64_t nextId(ControlState &state)
{
    return ++state.lastId_;
}

void log(Commands &out, LogLevel level, std::string name, std::vector<LogField> fields)
{
    out.emplace_back(WriteLog {LogEvent {level, std::move(name), std::move(fields)}});
}

namespace {

struct Handler
{
    ControlState &state_;
    Now now_;
    Commands &out_;

    void operator()(const AdmissionRequested &event) const { onAdmit(state_, event, now_, out_); }
    void operator()(const AdmissionAbandoned &event) const
    {
        onAbandoned(state_, event, now_, out_);
    }
    void operator()(const AttemptEnded &event) const { onAttemptEnded(state_, event, now_, out_); }
    void operator()(const RequestFinished &event) const { onFinished(state_, event, now_, out_); }
    void operator()(const StoreReplied &event) const
    {
        onStoreReply(state_, event.reply_, now_, out_);
    }
    void operator()(const BundleLoaded &event) const { onBundleLoaded(state_, event, now_, out_); }
    void operator()(const BundleConfirmed &event) const
    {
        onBundleConfirmed(state_, event, now_, out_);
    }
    void operator()(const PeerMessageReceived &event) const
    {
        onPeerMessageReceived(state_, event, now_, out_);
    }
    void operator()(const RegistrationsLoaded &event) const
    {
        onRegistrationsLoaded(state_, event, now_, out_);
    }
    void operator()(const HostListLoaded &event) const
    {
        onHostListLoaded(state_, event, now_, out_);
    }
    void operator()(const HolderDeclaredDead &event) const
    {
        requestWriteOff(state_, event, now_);
        billDeadEntry(state_, event, now_, out_);
    }
    void operator()(const ReleaseRequested &event) const
    {
        onReleaseRequested(state_, event, now_, out_);
    }
    void operator()(const StopRequested &) const { onStop(state_, out_); }
    void operator()(const StopForced &event) const { onStopForced(state_, event, now_, out_); }
    void operator()(const Tick &) const { }
    void operator()(const FirstTokenReceived &event) const { onFirstToken(state_, event, now_); }
    void operator()(const LoadReportReceived &event) const { onLoadReport(state_, event, now_); }
    void operator()(const UpstreamHealthReceived &event) const
    {
        onHealth(state_, event, now_, out_);
    }
    void operator()(const CacheEventsReceived &event) const { onCacheEvents(state_, event, now_); }
};

template <typename Shards>
void collectCallTimes(const Shards &shards, std::optional<MonoTime> &earliest)
{
    for (const auto &[number, shard] : shards) {
        const std::optional<MonoTime> time = nextCallTime(shard);
        if (time && (!earliest || *time < *earliest))
            earliest = time;
    }
}

} // namespace

void handleEvent(ControlState &state, const Event &event, Now now, Commands &out)
{
    std::visit(Handler {state, now, out}, event);
}

} // namespace detail

Commands handle(ControlState &state, const Event &event, Now now)
{
    Commands out;
    // After a pause of the daemon, requests expire before any event can dispatch them.
    detail::expireRequests(state, now, out);
    detail::handleEvent(state, event, now, out);
    detail::checkUnconfirmed(state, now, out);
    detail::expireRequests(state, now, out);
    detail::runMembershipTimers(state, now, out);
    detail::runEntryTimers(state, now, out);
    detail::runHomeTimers(state, now, out);
    detail::serveFreedBudgets(state, now, out);
    detail::dispatchQueued(state, now, out);
    detail::releaseIdleGrants(state, now);
    detail::finishStop(state, now, out);
    detail::archiveRequests(state, now, out);
    detail::startCalls(state, now, out);
    detail::sendReleaseRequests(state, out);
    return out;
}

std::optional<MonoTime> nextWake(const ControlState &state)
{
    std::optional<MonoTime> earliest = detail::unconfirmedDeadline(state);
    detail::collectCallTimes(state.ledger_, earliest);
    detail::collectCallTimes(state.requestShards_, earliest);
    const std::optional<MonoTime> idle = detail::nextIdleRelease(state);
    if (idle && (!earliest || *idle < *earliest))
        earliest = idle;
    for (const auto &[id, request] : state.active_) {
        const bool waits = waitsForDecision(request.stage_);
        if (waits && (!earliest || request.params_.deadline_ < *earliest))
            earliest = request.params_.deadline_;
    }
    for (const std::optional<MonoTime> &wake :
         {detail::nextMembershipWake(state), detail::nextHomeWake(state),
          nextAdmissionWake(state.admission_)}) {
        if (wake && (!earliest || *wake < *earliest))
            earliest = wake;
    }
    return earliest;
}

namespace {

Result<void> checkGrant(const ControlState &state, const HeldGrant &grant)
{
    BOOST_LEAF_CHECK(checkInvariants(grant));
    Tokens reserved;
    for (const auto &[id, request] : state.active_) {
        if (request.grant_ == grant.id_)
            reserved += request.reserved_;
    }
    if (reserved != grant.reserved_)
        return fail(ErrorKind::LedgerInvariant, "tamarack.control.101",
                    fmt::format("grant {}: requests hold {} tokens but the grant counts {} as "
                                "reserved; restart this daemon and report the error",
                                grant.id_.value_, reserved.count_, grant.reserved_.count_));
    return {};
}

} // namespace

Result<void> checkInvariants(const ControlState &state)
{
    for (const auto &[budget, grant] : state.grants_)
        BOOST_LEAF_CHECK(checkGrant(state, grant));
    for (const auto &[id, retired] : state.retired_)
        BOOST_LEAF_CHECK(checkGrant(state, retired.held_));
    for (const auto &[number, shard] : state.ledger_)
        BOOST_LEAF_CHECK(checkInvariants(shard.cached_));
    return {};
}

} // namespace tamarack
