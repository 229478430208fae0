// Event dispatch and timers of the relay's state machine.
#include "core/relay/relaycontrol.h"

#include "core/relay/grantreports.h"
#include "core/relay/homes.h"
#include "core/relay/loans.h"
#include "core/relay/relayinternal.h"
#include "core/relay/relaystreams.h"
#include "core/relay/relaytakeovers.h"
#include "core/relay/urgency.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

using namespace relaydetail;

constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusServiceUnavailable = 503;

/// Maximum number of remembered removals. Far more instances than this would have to be removed
/// before an outdated message could restore one.
constexpr std::size_t maxTombstones = 2000;

/// Returns the status code of a refusal, or 0 if access is granted.
int checkAccess(RelayedRequest &active)
{
    const RelayConfig &config = *active.config_;
    active.route_ = findRoute(config, active.request_.host_, active.request_.path_);
    if (!active.route_)
        return statusNotFound;
    if (config.accountByKey_.empty() && config.accounts_.empty())
        return 0;
    const auto account = config.accountByKey_.find(active.request_.key_);
    if (account != config.accountByKey_.end())
        active.account_ = account->second;
    else if (!active.route_->public_)
        return statusUnauthorized;
    return 0;
}

void creditRetryBudget(RelayState &state, const RelayedRequest &active, MonoTime now)
{
    const std::vector<ServiceId> services = servicesInOrder(*active.route_, splitId(active));
    if (!services.empty())
        creditRequest(state.retries_[services.front()], retrySettings(state), now);
}

/// Returns whether the stop of this daemon might interrupt a new request. One that may be repeated
/// is served during the first part of the stop, because most requests end long before their
/// deadline.
bool mayOutlastStop(const RelayState &state, const RelayedRequest &active)
{
    if (!state.stopRequestedAt_ || active.deadline_ <= state.stopDeadline_)
        return false;
    return state.idleConnectionsClosed_ || active.route_->retryPolicy_ == RetryPolicy::AtMostOnce;
}

void onEvent(RelayState &state, const RequestRead &event, MonoTime now, RelayCommands &out)
{
    RelayedRequest &active = state.active_[event.request_.id_];
    active.request_ = event.request_;
    active.config_ = state.config_;
    active.deadline_
        = event.request_.arrivedAt_ + event.request_.clientTimeout_.value_or(Millis {Seconds {60}});
    if (!state.config_) {
        refuseUnable(state, active, "no_configuration", now, out);
        return;
    }
    if (const int status = checkAccess(active)) {
        if (!isConfigCurrent(state.sync_, state.settings_.sync_, now)) {
            // A newer configuration may have the route or the key.
            refuse(state, active, statusServiceUnavailable, "configuration_outdated", now, out);
            return;
        }
        refuse(state, active, status, status == statusNotFound ? "no_route" : "unknown_key", now,
               out);
        return;
    }
    const auto account = active.config_->accounts_.find(active.account_);
    const RelayAccount *known
        = account == active.config_->accounts_.end() ? nullptr : &account->second;
    active.urgency_ = urgencyOf(*active.route_, known);
    active.allowedRegions_ = allowedRegions(*active.route_, known);
    if (active.route_->timeout_ > Millis {})
        active.deadline_
            = std::min(active.deadline_, event.request_.arrivedAt_ + active.route_->timeout_);
    if (mayOutlastStop(state, active)) {
        // It has not run, so another daemon can serve it.
        refuseUnable(state, active, "stopping", now, out);
        return;
    }
    active.identity_ = requestIdentity(active);
    // The daemon that takes a request over credits it.
    if (!state.reachability_.isCutOff_)
        creditRetryBudget(state, active, now);
    if (active.request_.handedOver_)
        ++state.takeovers_.takenOver_;
    admit(state, active, now, out);
}

void onEvent(RelayState &state, const OutputStarted &event, MonoTime now, RelayCommands &out)
{
    const auto it = state.active_.find(event.id_);
    if (it == state.active_.end() || it->second.attempts_ != event.attempt_)
        return;
    RelayedRequest &active = it->second;
    // The last attempt responds while the request waits for another instance or a permit.
    active.stage_ = RelayStage::Sent;
    active.awaitedPermit_.reset();
    active.outputStarted_ = true;
    active.mayHaveRun_ = true;
    if (!active.firstOutputAt_)
        active.firstOutputAt_ = event.at_;
    active.stageDeadline_.reset();
    rescheduleTimer(state, active);
    if (active.peer_) {
        active.beganAtPeer_ = isResumable(active);
        return;
    }
    if (event.connected_)
        recordInstanceReached(state, active.sentAt_, now, out);
    recordStreamBegan(state, active, event.attempt_, now, out);
    recordFirstOutput(state.choice_, state.settings_.choice_, *active.choice_,
                      event.at_ - active.sentAt_, engineObjective(active), now);
    recordResponse(state.cold_, active.choice_->instance_, active.sentAt_, now);
    recordOutputForQuarantine(state, active, now, out);
}

void onEvent(RelayState &state, const RelayAttemptEnded &event, MonoTime now, RelayCommands &out)
{
    const auto it = state.active_.find(event.id_);
    if (it == state.active_.end())
        return;
    // A completely delivered response ends the request, even if a retry was started meanwhile.
    const bool isCurrent
        = it->second.stage_ == RelayStage::Sent && it->second.attempts_ == event.attempt_;
    if (!isCurrent && event.end_ != AttemptEnd::Delivered) {
        // The request waits for an instance or a permit to be sent again.
        if (it->second.attempts_ == event.attempt_) {
            it->second.attemptRunning_ = false;
            if (!it->second.peer_)
                recordAttemptForCold(state, it->second, event, now);
        }
        return;
    }
    const ServiceId service = it->second.service_;
    onAttemptEnded(state, it->second, event, now, out);
    resumeForFreeConnection(state, service, now, out);
}

void onEvent(RelayState &state, const InstanceNoticeReceived &event, MonoTime now,
             RelayCommands &out)
{
    onInstanceNotice(state, event, now, out);
}

void onEvent(RelayState &state, const PermitRequestReceived &event, MonoTime now,
             RelayCommands &out)
{
    onPermitRequest(state, event, now, out);
}

void onEvent(RelayState &state, const PermitReplyReceived &event, MonoTime now, RelayCommands &out)
{
    onPermitReply(state, event, now, out);
}

void onEvent(RelayState &state, const ClientDisconnected &event, MonoTime now, RelayCommands &out)
{
    const auto it = state.active_.find(event.id_);
    if (it == state.active_.end())
        return;
    RelayedRequest &active = it->second;
    if (active.stage_ != RelayStage::Sent) {
        finish(state, active, "client_left", now, out);
        return;
    }
    RelayAttemptEnded ended;
    ended.id_ = event.id_;
    ended.attempt_ = active.attempts_;
    ended.end_ = AttemptEnd::ClientDisconnected;
    ended.events_ = event.events_;
    onAttemptEnded(state, active, ended, now, out);
}

void onEvent(RelayState &state, const DocumentsRequestReceived &event, MonoTime now,
             RelayCommands &)
{
    recordDocumentsRequest(state.sync_, now);
    recordLoadReport(state.loads_, state.settings_.load_, event.from_, event.loads_, now);
}

void onEvent(RelayState &state, const DocumentsReplyReceived &event, MonoTime now,
             RelayCommands &out)
{
    if (event.isTransfer_) {
        finishTransfer(state, event, now, out);
        return;
    }
    if (recordReply(state, event, now))
        resumeWaitingForInstance(state, now, out);
    requestAnnounced(state, event, now, out);
}

void onEvent(RelayState &state, const QuarantineReportReceived &event, MonoTime now,
             RelayCommands &out)
{
    mergeQuarantineReport(state, event, now, out);
}

void onEvent(RelayState &state, const LoanRequestReceived &event, MonoTime now, RelayCommands &)
{
    handleLoanRequest(state.prepaid_, state.settings_.prepaid_, event.request_, event.from_, now);
}

void onEvent(RelayState &state, const LoanReplyReceived &event, MonoTime now, RelayCommands &out)
{
    const LoanReply &lent = event.lent_;
    logLoanReply(state, event, now, out);
    handleLoanReply(state.prepaid_, state.settings_.prepaid_, lent, event.from_, now);
    resumeWaitingForTokens(state, lent.account_, now, out);
    returnRecalledLoan(state.prepaid_, lent);
}

void onEvent(RelayState &state, const GrantReportReceived &event, MonoTime now, RelayCommands &)
{
    recordGrantReport(state.prepaid_, state.settings_.prepaid_, event.report_, now);
}

void onEvent(RelayState &state, const StoreReplied &event, MonoTime now, RelayCommands &out)
{
    if (onVersionReply(state, event, now, out))
        return;
    if (event.reply_.status_ == StoreStatus::Unknown
        || event.reply_.status_ == StoreStatus::Unavailable)
        logLine(out, LogLevel::Warning, "ledger.call_failed",
                {{"call", std::to_string(event.reply_.call_.value_)},
                 {"outcome",
                  event.reply_.status_ == StoreStatus::Unknown ? "unknown" : "unavailable"}});
    const std::set<AccountId> accounts
        = finishPrepaidCall(state.prepaid_, state.settings_.prepaid_, event.reply_, now);
    for (const AccountId &account : accounts)
        resumeWaitingForTokens(state, account, now, out);
    serveBorrowers(state.prepaid_, state.settings_.prepaid_, now);
}

void onEvent(RelayState &state, const RelayStopRequested &event, MonoTime now, RelayCommands &out)
{
    if (state.stopRequestedAt_)
        return;
    state.stopRequestedAt_ = now;
    state.stopDeadline_ = event.deadline_ - state.settings_.stopMargin_;
    logLine(out, LogLevel::Info, "daemon.stopping",
            {{"active", std::to_string(state.active_.size())}});
    stopLending(state.prepaid_, state.settings_.prepaid_, now);
    state.limits_.stopping_ = true;
    updateReadiness(state, out);
}

void onEvent(RelayState &state, const AcceptingChanged &event, MonoTime now, RelayCommands &)
{
    if (event.accepts_)
        state.notAcceptingSince_.reset();
    else if (!state.notAcceptingSince_)
        state.notAcceptingSince_ = now;
}

void onEvent(RelayState &state, const ClientsClosed &, MonoTime, RelayCommands &)
{
    state.clientsClosed_ = true;
}

/// Ends the requests that would outlast the stop, so that their clients get a response.
void endRemainingRequests(RelayState &state, MonoTime now, RelayCommands &out)
{
    logLine(out, LogLevel::Warning, "daemon.ending_requests",
            {{"active", std::to_string(state.active_.size())}});
    while (!state.active_.empty()) {
        RelayedRequest &active = state.active_.begin()->second;
        if (active.stage_ == RelayStage::Sent)
            giveUpAttempt(state, active, "stopping", now, out);
        else
            failWithoutInstance(state, active, "stopping", std::nullopt, now, out);
    }
}

void advanceStop(RelayState &state, MonoTime now, RelayCommands &out)
{
    if (!state.stopRequestedAt_ || state.stopCompleted_)
        return;
    const bool acceptPeriodOver
        = now >= *state.stopRequestedAt_ + state.settings_.stopAcceptPeriod_;
    if (acceptPeriodOver && !state.idleConnectionsClosed_) {
        state.idleConnectionsClosed_ = true;
        out.emplace_back(CloseIdleConnections {});
        releaseGrants(state.prepaid_, state.settings_.prepaid_, now);
    }
    const bool deadlinePassed = now >= state.stopDeadline_;
    if (deadlinePassed && !state.active_.empty())
        endRemainingRequests(state, now, out);
    const bool idle
        = state.idleConnectionsClosed_ && state.active_.empty() && isPrepaidIdle(state.prepaid_);
    if (!idle && !deadlinePassed)
        return;
    // The front end may still be sending the last responses.
    if (!std::exchange(state.clientsClosing_, true))
        out.emplace_back(CloseClients {});
    if (!state.clientsClosed_ && now < state.stopDeadline_ + state.settings_.stopDeliveryTime_)
        return;
    state.stopCompleted_ = true;
    logLine(out, state.clientsClosed_ ? LogLevel::Info : LogLevel::Warning, "daemon.stopped",
            {{"clients_closed", state.clientsClosed_ ? "yes" : "no"},
             {"ledger_settled", isPrepaidIdle(state.prepaid_) ? "yes" : "no"}});
    out.emplace_back(RelayStopCompleted {});
}

void startCalls(RelayState &state, MonoTime now, RelayCommands &out)
{
    for (SubmitStoreCall &call : startPrepaidCalls(state.prepaid_, state.settings_.prepaid_, now)) {
        const ShardNumber shard = state.prepaid_.calls_.at(call.id_);
        const bool writes = std::holds_alternative<CompareAndSwapCall>(call.call_);
        logLine(
            out, LogLevel::Info, "ledger.call",
            {{"call", std::to_string(call.id_.value_)},
             {"kind", writes ? "swap" : "read"},
             {"shard", std::to_string(shard.value_)},
             {"operations", std::to_string(state.prepaid_.shards_.at(shard).inFlight_.size())}});
        out.emplace_back(std::move(call));
    }
}

void takeEarlier(std::optional<MonoTime> &next, std::optional<MonoTime> time)
{
    if (time && (!next || *time < *next))
        next = time;
}

} // namespace

namespace relaydetail {

void updateReadiness(RelayState &state, RelayCommands &out)
{
    const bool overloaded = isOverloaded(state.overload_);
    const bool unready = state.stopRequestedAt_ || overloaded || state.refusesConnections_;
    const bool keepsConnections = !unready;
    if (keepsConnections != state.keepsConnections_) {
        state.keepsConnections_ = keepsConnections;
        out.emplace_back(SetKeepAlive {keepsConnections});
    }
    const bool ready = state.config_ && state.instancesListed_ && !unready;
    if (ready == state.ready_)
        return;
    state.ready_ = ready;
    out.emplace_back(SetReady {ready});
    logLine(out, LogLevel::Info, "daemon.readiness",
            {{"ready", ready ? "yes" : "no"},
             {"overloaded", overloaded ? "yes" : "no"},
             {"accepting", state.refusesConnections_ ? "no" : "yes"},
             {"event_delay_ms", fmt::format("{:.0f}", state.overload_.delay_.count() / 1000.0)},
             {"link_use", fmt::format("{:.2f}", state.overload_.linkUse_)},
             {"active", std::to_string(state.active_.size())},
             {"config", std::to_string(state.config_ ? state.config_->version_.value_ : 0)},
             {"instances", std::to_string(state.directory_.known_.size())}});
}

} // namespace relaydetail

RelayCommands handleRelayEvent(RelayState &state, const RelayEvent &event, MonoTime now)
{
    RelayCommands out;
    noteColdTime(state, now);
    std::visit(
        [&](const auto &concrete) {
            if constexpr (requires { concrete.from_; })
                noteFleetContact(state, concrete.from_, now, out);
            onEvent(state, concrete, now, out);
        },
        event);
    RelayCommands dueCommands = runDueWork(state, now);
    std::move(dueCommands.begin(), dueCommands.end(), std::back_inserter(out));
    return out;
}

void recordEventDelay(RelayState &state, PreciseMicros delay, MonoTime now)
{
    recordEventDelay(state.overload_, state.settings_.overload_, delay, now);
}

void recordTraffic(RelayState &state, const TrafficTotals &totals, MonoTime now)
{
    recordTraffic(state.overload_, state.settings_.overload_, totals, now);
}

RelayCommands runDueWork(RelayState &state, MonoTime now)
{
    RelayCommands out;
    noteColdTime(state, now);
    state.refusesConnections_ = state.notAcceptingSince_
        && now - *state.notAcceptingSince_ >= state.settings_.maxAcceptPause_;
    updateReadiness(state, out);
    endLostEvacuations(state, now, out);
    while (!state.timers_.empty() && state.timers_.begin()->first <= now) {
        const ExchangeId id = state.timers_.begin()->second;
        RelayedRequest &active = state.active_.at(id);
        if (active.stage_ == RelayStage::AwaitingInstance && now < active.deadline_) {
            // An ejection may have ended meanwhile.
            dispatch(state, active, now, out);
            const auto left = state.active_.find(id);
            if (left == state.active_.end() || *left->second.timer_ > now)
                continue;
        }
        onTimer(state, active, now, out);
    }
    const std::vector<UpstreamId> removedIds
        = removeExpired(state.directory_, state.settings_.missingRetention_, now);
    for (const UpstreamId &id : removedIds) {
        state.choice_.instanceStats_.erase(id);
        logLine(out, LogLevel::Info, "instance.forgotten", {{"upstream", id.value_}});
    }
    if (state.directory_.tombstones_.size() > maxTombstones)
        state.directory_.tombstones_.clear();
    requestDocuments(state, now, out);
    updateLoads(state, now, out);
    updateStoreUse(state, now, out);
    if (!state.stopRequestedAt_)
        reconcileBalances(state.prepaid_, state.settings_.prepaid_, now);
    for (const AccountId &account :
         expireLoanRequests(state.prepaid_, state.settings_.prepaid_, now)) {
        logLine(out, LogLevel::Warning, "loan.unanswered", {{"account", account.value_}});
        resumeWaitingForTokens(state, account, now, out);
    }
    runQuarantine(state, now, out);
    runFleet(state, now, out);
    runColdInstances(state, now, out);
    advanceStop(state, now, out);
    startCalls(state, now, out);
    runVersions(state, now, out);
    runReachability(state, now, out);
    sendLoanMessages(state, out);
    return out;
}

std::optional<MonoTime> nextDueTime(const RelayState &state)
{
    std::optional<MonoTime> next;
    if (!state.timers_.empty())
        takeEarlier(next, state.timers_.begin()->first);
    takeEarlier(next, state.overload_.overloadedUntil_);
    if (state.notAcceptingSince_ && !state.refusesConnections_)
        takeEarlier(next, *state.notAcceptingSince_ + state.settings_.maxAcceptPause_);
    takeEarlier(next, nextExpiry(state.directory_, state.settings_.missingRetention_));
    takeEarlier(next, nextPrepaidTime(state.prepaid_));
    takeEarlier(next, nextSyncTime(state.sync_, state.settings_.sync_));
    takeEarlier(next, nextQuarantineTime(state));
    takeEarlier(next, nextEvacuationTime(state.evacuations_));
    takeEarlier(next, nextColdTime(state));
    takeEarlier(next, nextFleetTime(state.members_));
    takeEarlier(next, state.reachability_.nextProbeAt_);
    takeEarlier(next,
                nextVersionCall(state.versions_, state.settings_.versions_, state.followsStore_));
    if (state.stopRequestedAt_ && !state.stopCompleted_) {
        if (!state.idleConnectionsClosed_)
            takeEarlier(next, *state.stopRequestedAt_ + state.settings_.stopAcceptPeriod_);
        takeEarlier(next,
                    state.clientsClosing_ && state.active_.empty()
                        ? state.stopDeadline_ + state.settings_.stopDeliveryTime_
                        : state.stopDeadline_);
    }
    return next;
}

Result<void> checkInvariants(const RelayState &state)
{
    std::size_t timers = 0;
    for (const auto &[id, active] : state.active_) {
        if (active.timer_ && state.timers_.contains({*active.timer_, id}))
            ++timers;
    }
    if (timers != state.timers_.size())
        return fail(ErrorKind::Internal, "tamarack.relay.101",
                    fmt::format("{} timers for {} requests with a timer; restart this daemon and "
                                "report the error",
                                state.timers_.size(), timers));
    BOOST_LEAF_CHECK(checkInvariants(state.prepaid_));
    return checkInvariants(state.choice_);
}

} // namespace tamarack
