// Requests: admission, intents, attempts, refusals and bills.
#include "core/controlparts.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack::detail {

namespace {

void reply(const ActiveRequest &request, Decision decision, Commands &out)
{
    if (!request.peer_)
        out.emplace_back(ReplyTo {request.waiter_, std::move(decision)});
}

/// Withdraws the intent of a request that will never be sent.
void withdrawIntent(ControlState &state, const AdmissionId &admission, Now now)
{
    const ActiveRequest &request = state.active_.at(admission);
    const bool hasIntent = request.stage_ != RequestStage::AwaitingHome
        && request.stage_ != RequestStage::AwaitingTokens;
    if (request.ask_.idempotent_ || !hasIntent)
        return;
    submitOp(requestShard(state, request.ask_.request_),
             RequestOp {WithdrawIntentOp {request.ask_.request_, admission, now.wall_}}, now.mono_);
}

/// Ends a request that is not billed.
void dropUnbilled(ControlState &state, const AdmissionId &admission, Now now)
{
    const ActiveRequest &request = state.active_.at(admission);
    leaveAccount(state, admission, now);
    withdrawIntent(state, admission, now);
    endAtHome(state, admission, Tokens {}, now);
    if (request.reserved_ > Tokens {} && request.home_.isEmpty())
        settleReservation(state, request.ask_.budget_, request.grant_, request.reserved_, Tokens {},
                          now);
    removeRequest(state, admission);
}

/// The reservation is an upper bound of the cost, so an upstream that reports more is wrong.
Tokens boundedCost(const ActiveRequest &request, Tokens used, Commands &out)
{
    if (used > request.reserved_)
        log(out, LogLevel::Warning, "request.cost_above_bound",
            {{"request", request.ask_.request_.value_},
             {"upstream", request.upstream_.value_},
             {"used", std::to_string(used.count_)},
             {"reserved", std::to_string(request.reserved_.count_)}});
    return std::clamp(used, Tokens {}, request.reserved_);
}

void startBilling(ControlState &state, const AdmissionId &admission, Tokens used,
                  Completeness completeness, Now now, Commands &out)
{
    ActiveRequest &request = state.active_.at(admission);
    request.used_ = boundedCost(request, used, out);
    // A bill of nothing for nothing would make the caller's retry free of charge.
    const bool nothing = completeness == Completeness::None && request.used_ == Tokens {};
    if (nothing && request.ask_.idempotent_) {
        dropUnbilled(state, admission, now);
        return;
    }
    leaveAccount(state, admission, now);
    if (request.home_.isEmpty())
        settleReservation(state, request.ask_.budget_, request.grant_,
                          request.reserved_ - request.used_, Tokens {}, now);
    request.reserved_ = request.used_;
    request.stage_ = RequestStage::Billing;
    request.answered_ = completeness == Completeness::Complete;
    BillOp bill;
    bill.request_ = request.ask_.request_;
    // The holder whose grant pays; it alone charges the bill.
    bill.holder_ = request.home_.isEmpty() ? state.settings_.holder_ : request.home_;
    bill.admission_ = admission;
    bill.account_ = request.ask_.account_;
    bill.budget_ = request.ask_.budget_;
    bill.charged_ = request.used_;
    bill.completeness_ = completeness;
    bill.hasIdempotencyKey_ = request.ask_.hasIdempotencyKey_;
    bill.at_ = now.wall_;
    submitOp(requestShard(state, request.ask_.request_), RequestOp {std::move(bill)},
             now.mono_ + state.settings_.flushInterval_);
}

void closeAttempt(ControlState &state, ActiveRequest &request, const AttemptEnded &event, Now now)
{
    if (!request.attemptOpen_)
        return;
    request.attemptOpen_ = false;
    noteAttemptClosed(state, request, event, now);
}

bool mayRetry(ControlState &state, const ActiveRequest &request, AttemptResult result, Now now)
{
    // A non-idempotent request is never sent again once a byte has left.
    if (!request.ask_.idempotent_ && result != AttemptResult::NotSent)
        return false;
    return request.tried_.size() < state.settings_.maxAttempts_
        && now.mono_ < request.ask_.deadline_ && retryPermitted(state, request, result, now);
}

/// Refuses a non-idempotent request that another admission of the same request id precedes.
void refuseRepeated(ControlState &state, const AdmissionId &admission, Now now, Commands &out)
{
    const ActiveRequest &request = state.active_.at(admission);
    const RequestShard &shard = requestShard(state, request.ask_.request_).cached_;
    const auto record = shard.records_.find(request.ask_.request_);
    // A bill without an answer does not tell whether the upstream carried out the call.
    const bool billed = record != shard.records_.end()
        && record->second.phase_ == RequestPhase::Billed
        && record->second.completeness_ != Completeness::None;
    refuse(state, admission,
           Refusal {RefusalReason::OutcomeUnknown, billed ? Execution::Ran : Execution::Unknown,
                    billed ? "this idempotency key was used before and its request was billed; its "
                             "answer is not kept"
                           : "a request with this idempotency key was sent before and its outcome "
                             "is not known; check its effect before using a new key",
                    std::nullopt},
           now, out);
}

} // namespace

void removeRequest(ControlState &state, const AdmissionId &admission)
{
    const auto it = state.active_.find(admission);
    if (it->second.peer_)
        state.home_.reservations_.erase(it->second.peer_->admission_);
    const auto byRequest = state.byRequest_.find(it->second.ask_.request_);
    if (byRequest != state.byRequest_.end() && byRequest->second == admission)
        state.byRequest_.erase(byRequest);
    state.active_.erase(it);
}

std::optional<Refusal> admissionFault(const ControlState &state, const AdmissionRequested &ask)
{
    if (state.stopping_)
        return Refusal {RefusalReason::Stopping, Execution::NotRun,
                        "this daemon is stopping; send the request again", Millis {0}};
    if (!state.bundle_)
        return Refusal {RefusalReason::Stopping, Execution::NotRun,
                        "this daemon holds no bundle yet; retry later", Millis {1000}};
    if (std::optional<Refusal> refusal = unconfirmedRefusal(state))
        return refusal;
    const auto budget = state.bundle_->budgets_.find(ask.budget_);
    if (budget == state.bundle_->budgets_.end() || budget->second.account_ != ask.account_)
        return Refusal {RefusalReason::BudgetNotOwned, Execution::NotRun,
                        fmt::format("budget {} does not belong to client account {}; name one of "
                                    "its budgets",
                                    ask.budget_.value_, ask.account_.value_),
                        std::nullopt};
    const auto running = state.byRequest_.find(ask.request_);
    const bool repeated = running != state.byRequest_.end();
    if (!repeated || (ask.idempotent_ && state.active_.at(running->second).ask_.idempotent_))
        return std::nullopt;
    if (state.active_.at(running->second).answered_)
        return Refusal {RefusalReason::OutcomeUnknown, Execution::Ran,
                        "this idempotency key was used before and its request was answered; its "
                        "answer is not kept",
                        std::nullopt};
    return Refusal {RefusalReason::OutcomeUnknown, Execution::Unknown,
                    "a request with this idempotency key is running; wait for its answer",
                    Millis {1000}};
}

Refusal attemptsFailed(const ActiveRequest &request)
{
    if (!request.sent_)
        return Refusal {RefusalReason::UpstreamFailed, Execution::NotRun,
                        "no upstream could be reached; retry later", Millis {1000}};
    return Refusal {RefusalReason::UpstreamFailed, Execution::Unknown,
                    request.ask_.idempotent_
                        ? "all permitted attempts failed; retry with the same idempotency key"
                        : "the upstream did not confirm the call; check its effect before a retry",
                    std::nullopt};
}

void dispatch(ControlState &state, const AdmissionId &admission, Now now, Commands &out)
{
    ActiveRequest &request = state.active_.at(admission);
    RouteStep step = routeOrWait(state, admission, now);
    if (step.outcome_ == RouteOutcome::AllFull)
        return;
    if (step.outcome_ == RouteOutcome::NoUpstream) {
        refuse(state, admission, request.sent_ ? attemptsFailed(request) : std::move(step.refusal_),
               now, out);
        return;
    }
    const UpstreamId &chosen = step.choice_.upstream_;
    request.stage_ = RequestStage::Running;
    request.upstream_ = chosen;
    request.attempt_ = AttemptId {fmt::format("{}.{}", admission.value_, request.tried_.size())};
    request.attemptOpen_ = true;
    request.tried_.push_back(chosen);
    const Millis silence = noteDispatched(state, request, step.choice_, now);
    std::vector<LogField> fields {{"request", request.ask_.request_.value_},
                                  {"attempt", request.attempt_.value_},
                                  {"upstream", chosen.value_},
                                  {"account", request.ask_.account_.value_},
                                  {"reserved", std::to_string(request.reserved_.count_)},
                                  {"silence_limit_ms", std::to_string(silence.count())}};
    for (LogField &field : routeFields(step.choice_))
        fields.push_back(std::move(field));
    log(out, LogLevel::Info, "request.dispatch", std::move(fields));
    reply(request,
          Dispatch {admission, request.attempt_, chosen,
                    state.bundle_->upstreams_.at(chosen).address_, silence},
          out);
}

void refuse(ControlState &state, const AdmissionId &admission, Refusal refusal, Now now,
            Commands &out)
{
    ActiveRequest &request = state.active_.at(admission);
    log(out, LogLevel::Info, "request.refuse",
        {{"request", request.ask_.request_.value_},
         {"account", request.ask_.account_.value_},
         {"budget", request.ask_.budget_.value_},
         {"reason", std::string(refusalCode(refusal.reason_))},
         {"execution", std::string(executionCode(refusal.execution_))}});
    if (request.peer_)
        refuseToPeer(state, *request.peer_, refusal, out);
    reply(request, std::move(refusal), out);
    if (request.sent_)
        startBilling(state, admission, request.used_, Completeness::None, now, out);
    else
        dropUnbilled(state, admission, now);
}

void onAdmit(ControlState &state, const AdmissionRequested &ask, Now now, Commands &out)
{
    std::optional<Refusal> fault = admissionFault(state, ask);
    if (!fault)
        fault = limitFault(state, ask, now);
    if (fault) {
        log(out, LogLevel::Info, "request.refuse",
            {{"request", ask.request_.value_},
             {"account", ask.account_.value_},
             {"reason", std::string(refusalCode(fault->reason_))},
             {"execution", std::string(executionCode(fault->execution_))}});
        out.emplace_back(ReplyTo {ask.waiter_, std::move(*fault)});
        return;
    }
    // Padding keeps the order of the container equal to the order of arrival.
    const AdmissionId admission {
        fmt::format("{}.{:012}", state.settings_.holder_.value_, nextId(state))};
    ActiveRequest request;
    request.ask_ = ask;
    request.waiter_ = ask.waiter_;
    request.admittedAt_ = now.mono_;
    enterAccount(state, request, now);
    state.active_.emplace(admission, std::move(request));
    state.byRequest_.try_emplace(ask.request_, admission);
    placeRequest(state, admission, now, out);
}

void onReserved(ControlState &state, const AdmissionId &admission, Now now, Commands &out)
{
    ActiveRequest &request = state.active_.at(admission);
    if (request.peer_) {
        request.stage_ = RequestStage::HeldForPeer;
        confirmToPeer(state, admission, now, out);
        return;
    }
    if (request.ask_.idempotent_) {
        dispatch(state, admission, now, out);
        return;
    }
    request.stage_ = RequestStage::AwaitingIntent;
    submitOp(requestShard(state, request.ask_.request_),
             RequestOp {CreateIntentOp {request.ask_.request_, state.settings_.holder_, admission,
                                        request.ask_.account_, request.ask_.budget_, now.wall_}},
             now.mono_);
}

void onIntentCommitted(ControlState &state, const CreateIntentOp &op, Now now, Commands &out)
{
    const auto it = state.active_.find(op.admission_);
    if (it == state.active_.end() || it->second.stage_ != RequestStage::AwaitingIntent)
        return;
    if (ownsIntent(requestShard(state, op.request_).cached_, op.request_, op.admission_))
        dispatch(state, op.admission_, now, out);
    else
        refuseRepeated(state, op.admission_, now, out);
}

void onAttemptEnded(ControlState &state, const AttemptEnded &event, Now now, Commands &out)
{
    const auto it = state.active_.find(event.admission_);
    if (it == state.active_.end() || it->second.attempt_ != event.attempt_)
        return;
    ActiveRequest &request = it->second;
    closeAttempt(state, request, event, now);
    request.sent_ |= event.result_ != AttemptResult::NotSent;
    request.used_ = std::max(request.used_, event.used_);
    log(out, LogLevel::Info, "request.attempt_ended",
        {{"request", request.ask_.request_.value_},
         {"attempt", event.attempt_.value_},
         {"upstream", request.upstream_.value_},
         {"result", std::string(attemptResultCode(event.result_))}});
    if (!event.retryWaiter_)
        return;
    request.waiter_ = *event.retryWaiter_;
    if (mayRetry(state, request, event.result_, now))
        dispatch(state, event.admission_, now, out);
    else
        refuse(state, event.admission_, attemptsFailed(request), now, out);
}

void onFinished(ControlState &state, const RequestFinished &event, Now now, Commands &out)
{
    const auto it = state.active_.find(event.admission_);
    if (it == state.active_.end() || it->second.stage_ != RequestStage::Running)
        return;
    closeAttempt(state, it->second, AttemptEnded {}, now);
    log(out, LogLevel::Info, "request.finished",
        {{"request", it->second.ask_.request_.value_},
         {"account", it->second.ask_.account_.value_},
         {"budget", it->second.ask_.budget_.value_},
         {"used", std::to_string(event.used_.count_)},
         {"reserved", std::to_string(it->second.reserved_.count_)},
         {"whole", event.completeness_ == Completeness::Complete ? "true" : "false"}});
    startBilling(state, event.admission_, event.used_, event.completeness_, now, out);
}

void onBillCommitted(ControlState &state, const BillOp &op, Now now, Commands &out)
{
    if (onEstimateCommitted(state, op, now, out))
        return;
    const auto it = state.active_.find(op.admission_);
    if (it == state.active_.end())
        return;
    const RequestShard &shard = requestShard(state, op.request_).cached_;
    const bool own = ownsBill(shard, op.request_, op.admission_);
    const Tokens charged = chargeOf(shard, op, op.holder_);
    log(out, LogLevel::Info, own ? "request.billed" : "request.bill_dropped",
        {{"request", op.request_.value_},
         {"budget", op.budget_.value_},
         {"charged", std::to_string(charged.count_)}});
    endAtHome(state, op.admission_, charged, now);
    if (it->second.home_.isEmpty())
        settleReservation(state, op.budget_, it->second.grant_, it->second.reserved_, charged, now);
    removeRequest(state, op.admission_);
}

void onAbandoned(ControlState &state, const AdmissionAbandoned &event, Now now, Commands &out)
{
    const auto it
        = std::find_if(state.active_.begin(), state.active_.end(),
                       [&](const auto &entry) { return entry.second.waiter_ == event.waiter_; });
    if (it == state.active_.end() || it->second.stage_ == RequestStage::Billing)
        return;
    const AdmissionId admission = it->first;
    AttemptEnded cancelled;
    cancelled.result_ = AttemptResult::Cancelled;
    closeAttempt(state, it->second, cancelled, now);
    log(out, LogLevel::Warning, "request.abandoned",
        {{"request", it->second.ask_.request_.value_}});
    if (it->second.sent_)
        startBilling(state, admission, it->second.used_, Completeness::None, now, out);
    else
        dropUnbilled(state, admission, now);
}

namespace {

/// Returns true if a recent look at the ledger showed that others hold the tokens.
bool heldElsewhere(const ControlState &state, const ActiveRequest &request, Now now)
{
    // A blocked request looks at the ledger once for each redraw interval; a store that is slower
    // than a few of them has not confirmed anything about this moment.
    return request.blockedAt_
        && now.mono_ - *request.blockedAt_ <= 4 * state.settings_.redrawInterval_;
}

} // namespace

void expireRequests(ControlState &state, Now now, Commands &out)
{
    std::vector<AdmissionId> expired;
    for (const auto &[id, request] : state.active_) {
        const bool waits = waitsForDecision(request.stage_);
        if (waits && request.ask_.deadline_ <= now.mono_)
            expired.push_back(id);
    }
    for (const AdmissionId &id : expired) {
        const ActiveRequest &request = state.active_.at(id);
        const std::string &budget = request.ask_.budget_.value_;
        if (request.stage_ == RequestStage::AwaitingIntent)
            refuse(state, id,
                   Refusal {RefusalReason::DeadlineExceeded, Execution::NotRun,
                            "the intent could not be recorded before the deadline; the request was "
                            "not sent, retry later",
                            Millis {1000}},
                   now, out);
        else if (request.stage_ == RequestStage::AwaitingTokens
                 && heldElsewhere(state, request, now))
            refuse(
                state, id,
                Refusal {RefusalReason::BudgetHeldElsewhere, Execution::NotRun,
                         fmt::format("the unspent tokens of budget {} are held by other requests "
                                     "or daemons; retry later",
                                     budget),
                         Millis {1000}},
                now, out);
        else
            refuse(state, id,
                   Refusal {RefusalReason::BudgetUnconfirmed, Execution::NotRun,
                            fmt::format(
                                "tokens of budget {} could not be confirmed before the deadline; "
                                "retry later",
                                budget),
                            Millis {1000}},
                   now, out);
    }
}

} // namespace tamarack::detail
