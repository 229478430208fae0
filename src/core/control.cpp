// Dispatch of events, adoption of bundles and planned stop.
#include "core/control.h"

#include "core/controlparts.h"

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

void publishSnapshot(const ControlState &state, Commands &out)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->bundle_ = state.bundle_;
    snapshot->stopping_ = state.stopping_;
    if (state.bundle_) {
        for (const auto &[id, account] : state.bundle_->accounts_) {
            for (const KeyHash &key : account.keys_)
                snapshot->keys_.emplace(key.sha256_, KeyOwner {id, key.defaultBudget_});
        }
    }
    out.emplace_back(PublishSnapshot {std::move(snapshot)});
}

void onBundle(ControlState &state, const BundleSeen &event, Now now, Commands &out)
{
    const BundleVersion version = event.bundle_->version_;
    if (state.bundle_ && version <= state.bundle_->version_)
        return;
    state.bundle_ = event.bundle_;
    log(out, LogLevel::Info, "bundle.applied", {{"version", std::to_string(version.value_)}});
    publishSnapshot(state, out);
    // A top-up may serve requests that wait for tokens.
    std::vector<BudgetId> waiting;
    for (const auto &[id, request] : state.active_) {
        if (request.stage_ == RequestStage::AwaitingTokens)
            waiting.push_back(request.ask_.budget_);
    }
    for (const BudgetId &budget : waiting)
        serveBudget(state, budget, false, now, out);
}

void onStop(ControlState &state, Commands &out)
{
    if (state.stopping_)
        return;
    state.stopping_ = true;
    log(out, LogLevel::Info, "daemon.stopping",
        {{"requests_in_flight", std::to_string(state.active_.size())}});
    publishSnapshot(state, out);
}

void finishStop(ControlState &state, Now now, Commands &out)
{
    if (!state.stopping_ || state.stopCompleted_ || !state.active_.empty())
        return;
    if (!state.grants_.empty()) {
        releaseGrants(state, now);
        return;
    }
    state.stopCompleted_ = true;
    log(out, LogLevel::Info, "daemon.stopped", {});
    out.emplace_back(StopCompleted {});
}

struct Handler
{
    ControlState &state_;
    Now now_;
    Commands &out_;

    void operator()(const AdmitRequested &event) const { onAdmit(state_, event, now_, out_); }
    void operator()(const AdmitAbandoned &event) const { onAbandoned(state_, event, now_, out_); }
    void operator()(const AttemptEnded &event) const { onAttemptEnded(state_, event, now_, out_); }
    void operator()(const RequestFinished &event) const { onFinished(state_, event, now_, out_); }
    void operator()(const StoreReplied &event) const
    {
        onStoreReply(state_, event.reply_, now_, out_);
    }
    void operator()(const BundleSeen &event) const { onBundle(state_, event, now_, out_); }
    void operator()(const StopRequested &) const { onStop(state_, out_); }
    void operator()(const Tick &) const { }
    void operator()(const FirstTokenSeen &event) const { onFirstToken(state_, event, now_); }
    void operator()(const LoadReported &event) const { onLoad(state_, event, now_); }
    void operator()(const UpstreamHealthSeen &event) const { onHealth(state_, event, now_, out_); }
    void operator()(const CacheEventsSeen &event) const { onCacheEvents(state_, event, now_); }
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

} // namespace detail

Commands handle(ControlState &state, const Event &event, Now now)
{
    Commands out;
    std::visit(detail::Handler {state, now, out}, event);
    detail::expireRequests(state, now, out);
    detail::serveWaiting(state, now, out);
    detail::finishStop(state, now, out);
    detail::startCalls(state, now, out);
    return out;
}

std::optional<MonoTime> nextWake(const ControlState &state)
{
    std::optional<MonoTime> earliest = nextAdmissionWake(state.admission_);
    detail::collectCallTimes(state.ledger_, earliest);
    detail::collectCallTimes(state.requestShards_, earliest);
    for (const auto &[id, request] : state.active_) {
        const bool waits = request.stage_ == RequestStage::AwaitingTokens
            || request.stage_ == RequestStage::AwaitingIntent;
        if (waits && (!earliest || request.ask_.deadline_ < *earliest))
            earliest = request.ask_.deadline_;
    }
    return earliest;
}

Result<void> checkInvariants(const ControlState &state)
{
    for (const auto &[budget, grant] : state.grants_) {
        BOOST_LEAF_CHECK(checkInvariants(grant));
        Tokens reserved;
        for (const auto &[id, request] : state.active_) {
            if (request.ask_.budget_ == budget)
                reserved += request.reserved_;
        }
        if (reserved != grant.reserved_)
            return fail(ErrorKind::LedgerInvariant, "tamarack.control.101",
                        fmt::format("budget {}: requests hold {} tokens but the grant counts {} as "
                                    "reserved; restart this daemon and report this",
                                    budget.value_, reserved.count_, grant.reserved_.count_));
    }
    for (const auto &[number, shard] : state.ledger_)
        BOOST_LEAF_CHECK(checkInvariants(shard.copy_));
    return {};
}

} // namespace tamarack
