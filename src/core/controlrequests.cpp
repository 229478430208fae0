// Request lifecycle: admission, intents, attempts, refusals and bills.
#include "core/controlinternal.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack::detail {

namespace {

void reply(const ActiveRequest &request, Decision decision, Commands &out)
{
    if (!request.peer_)
        out.emplace_back(ReplyTo {request.waiter_, std::move(decision)});
}

/// Withdraws the intent of a request that will not be sent.
void withdrawIntent(ControlState &state, const AdmissionId &admission, Now now)
{
    const ActiveRequest &request = state.active_.at(admission);
    const bool hasIntent = request.stage_ != RequestStage::AwaitingHome
        && request.stage_ != RequestStage::AwaitingTokens;
    if (request.params_.idempotent_ || !hasIntent)
        return;
    submitOp(requestShard(state, request.params_.request_),
             RequestOp {WithdrawIntentOp {request.params_.request_, admission, now.wall_}},
             now.mono_);
}

/// Ends a request without a bill.
void dropUnbilled(ControlState &state, const AdmissionId &admission, Now now)
{
    const ActiveRequest &request = state.active_.at(admission);
    untrackInFlight(state, admission, now);
    withdrawIntent(state, admission, now);
    settleAtHome(state, admission, Tokens {}, now);
    if (request.reserved_ > Tokens {} && request.home_.isEmpty())
        settleReservation(state, request.params_.budget_, request.grant_, request.reserved_,
                          Tokens {}, now);
    removeRequest(state, admission);
}

/// Limits the reported cost to the reservation. The reservation is an upper bound of the cost, so a
/// higher report is wrong.
Tokens boundedCost(const ActiveRequest &request, Tokens used, Commands &out)
{
    if (used > request.reserved_)
        log(out, LogLevel::Warning, "request.cost_above_bound",
            {{"request", request.params_.request_.value_},
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
    // A bill of zero tokens would mark the request id as billed, so the bill of a retry would be
    // ignored.
    const bool nothing = completeness == Completeness::None && request.used_ == Tokens {};
    if (nothing && request.params_.idempotent_) {
        dropUnbilled(state, admission, now);
        return;
    }
    untrackInFlight(state, admission, now);
    if (request.home_.isEmpty())
        settleReservation(state, request.params_.budget_, request.grant_,
                          request.reserved_ - request.used_, Tokens {}, now);
    request.reserved_ = request.used_;
    request.stage_ = RequestStage::Billing;
    request.answered_ = completeness == Completeness::Complete;
    BillOp bill;
    bill.request_ = request.params_.request_;
    // The daemon from whose grant the tokens are deducted.
    bill.holder_ = request.home_.isEmpty() ? state.settings_.holder_ : request.home_;
    bill.admission_ = admission;
    bill.account_ = request.params_.account_;
    bill.budget_ = request.params_.budget_;
    bill.charged_ = request.used_;
    bill.completeness_ = completeness;
    bill.hasIdempotencyKey_ = request.params_.hasIdempotencyKey_;
    bill.at_ = now.wall_;
    submitOp(requestShard(state, request.params_.request_), RequestOp {std::move(bill)},
             now.mono_ + state.settings_.flushInterval_);
}

void closeAttempt(ControlState &state, ActiveRequest &request, const AttemptEnded &event, Now now)
{
    if (!request.attemptOpen_)
        return;
    request.attemptOpen_ = false;
    recordAttemptResult(state, request, event, now);
}

bool mayRetry(ControlState &state, const ActiveRequest &request, AttemptResult result, Now now)
{
    // A non-idempotent request is not retried once a byte was sent.
    if (!request.params_.idempotent_ && result != AttemptResult::NotSent)
        return false;
    return request.tried_.size() < state.settings_.maxAttempts_
        && now.mono_ < request.params_.deadline_
        && consumeRetryBudgets(state, request, result, now);
}

/// Refuses a non-idempotent request whose request id was already admitted before.
void refuseDuplicate(ControlState &state, const AdmissionId &admission, Now now, Commands &out)
{
    const ActiveRequest &request = state.active_.at(admission);
    const RequestShard &shard = requestShard(state, request.params_.request_).cached_;
    const auto record = shard.records_.find(request.params_.request_);
    // A bill without a response does not show whether the upstream executed the call.
    const bool billed = record != shard.records_.end()
        && record->second.phase_ == RequestPhase::Billed
        && record->second.completeness_ != Completeness::None;
    refuse(state, admission,
           Refusal {RefusalReason::OutcomeUnknown, billed ? Execution::Ran : Execution::Unknown,
                    billed ? "this idempotency key was used before and its request was billed; its "
                             "response is not stored"
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
    const auto byRequest = state.byRequest_.find(it->second.params_.request_);
    if (byRequest != state.byRequest_.end() && byRequest->second == admission)
        state.byRequest_.erase(byRequest);
    state.active_.erase(it);
}

std::optional<Refusal> admissionRefusal(const ControlState &state, const AdmissionRequested &params)
{
    if (state.stopping_)
        return Refusal {RefusalReason::Stopping, Execution::NotRun,
                        "this daemon is stopping; send the request again", Millis {0}};
    if (!state.bundle_)
        return Refusal {RefusalReason::Stopping, Execution::NotRun,
                        "this daemon has not loaded its configuration yet; retry later",
                        Millis {1000}};
    if (std::optional<Refusal> refusal = unconfirmedRefusal(state))
        return refusal;
    const auto budget = state.bundle_->budgets_.find(params.budget_);
    if (budget == state.bundle_->budgets_.end() || budget->second.account_ != params.account_)
        return Refusal {
            RefusalReason::BudgetNotOwned, Execution::NotRun,
            fmt::format("budget {} does not belong to client account {}; use one of its budgets",
                        params.budget_.value_, params.account_.value_),
            std::nullopt};
    const auto running = state.byRequest_.find(params.request_);
    const bool repeated = running != state.byRequest_.end();
    if (!repeated || (params.idempotent_ && state.active_.at(running->second).params_.idempotent_))
        return std::nullopt;
    if (state.active_.at(running->second).answered_)
        return Refusal {RefusalReason::OutcomeUnknown, Execution::Ran,
                        "this idempotency key was used before and its request was answered; its "
                        "response is not stored",
                        std::nullopt};
    return Refusal {RefusalReason::OutcomeUnknown, Execution::Unknown,
                    "a request with this idempotency key is running; wait for its response",
                    Millis {1000}};
}

Refusal attemptsFailedRefusal(const ActiveRequest &request)
{
    if (!request.sent_)
        return Refusal {RefusalReason::UpstreamFailed, Execution::NotRun,
                        "could not connect to an upstream; retry later", Millis {1000}};
    return Refusal {RefusalReason::UpstreamFailed, Execution::Unknown,
                    request.params_.idempotent_
                        ? "all permitted attempts failed; retry with the same idempotency key"
                        : "the upstream did not confirm the call; check its effect before retrying",
                    std::nullopt};
}

void dispatch(ControlState &state, const AdmissionId &admission, Now now, Commands &out)
{
    ActiveRequest &request = state.active_.at(admission);
    RouteStep step = routeOrWait(state, admission, now);
    if (step.outcome_ == RouteOutcome::AllFull)
        return;
    if (step.outcome_ == RouteOutcome::NoUpstream) {
        refuse(state, admission,
               request.sent_ ? attemptsFailedRefusal(request) : std::move(step.refusal_), now, out);
        return;
    }
    const UpstreamId &chosen = step.choice_.upstream_;
    request.stage_ = RequestStage::Running;
    request.upstream_ = chosen;
    const auto entry = state.bundle_->upstreams_.find(chosen);
    request.sentVersion_ = entry == state.bundle_->upstreams_.end()
        ? SoftwareVersion {}
        : entry->second.softwareVersion_;
    request.attempt_ = AttemptId {fmt::format("{}.{}", admission.value_, request.tried_.size())};
    request.attemptOpen_ = true;
    request.tried_.push_back(chosen);
    const Millis silenceLimit = recordAttemptStart(state, request, step.choice_, now);
    std::vector<LogField> fields {{"request", request.params_.request_.value_},
                                  {"attempt", request.attempt_.value_},
                                  {"upstream", chosen.value_},
                                  {"account", request.params_.account_.value_},
                                  {"reserved", std::to_string(request.reserved_.count_)},
                                  {"silence_limit_ms", std::to_string(silenceLimit.count())}};
    for (LogField &field : routeLogFields(step.choice_))
        fields.push_back(std::move(field));
    log(out, LogLevel::Info, "request.dispatch", std::move(fields));
    reply(request,
          Dispatch {admission, request.attempt_, chosen,
                    state.bundle_->upstreams_.at(chosen).address_, silenceLimit},
          out);
}

void refuse(ControlState &state, const AdmissionId &admission, Refusal refusal, Now now,
            Commands &out)
{
    ActiveRequest &request = state.active_.at(admission);
    log(out, LogLevel::Info, "request.refuse",
        {{"request", request.params_.request_.value_},
         {"account", request.params_.account_.value_},
         {"budget", request.params_.budget_.value_},
         {"reason", std::string(refusalCode(refusal.reason_))},
         {"execution", std::string(executionCode(refusal.execution_))}});
    if (request.peer_)
        sendRefused(state, *request.peer_, refusal, out);
    reply(request, std::move(refusal), out);
    if (request.sent_)
        startBilling(state, admission, request.used_, Completeness::None, now, out);
    else
        dropUnbilled(state, admission, now);
}

void onAdmit(ControlState &state, const AdmissionRequested &params, Now now, Commands &out)
{
    std::optional<Refusal> refusal = admissionRefusal(state, params);
    if (!refusal)
        refusal = accountLimitRefusal(state, params, now);
    if (refusal) {
        log(out, LogLevel::Info, "request.refuse",
            {{"request", params.request_.value_},
             {"account", params.account_.value_},
             {"reason", std::string(refusalCode(refusal->reason_))},
             {"execution", std::string(executionCode(refusal->execution_))}});
        out.emplace_back(ReplyTo {params.waiter_, std::move(*refusal)});
        return;
    }
    // Zero padding keeps state.active_, which is sorted by id, in order of arrival.
    const AdmissionId admission {
        fmt::format("{}.{:012}", state.settings_.holder_.value_, nextId(state))};
    ActiveRequest request;
    request.params_ = params;
    request.waiter_ = params.waiter_;
    request.admittedAt_ = now.mono_;
    trackInFlight(state, request, now);
    state.active_.emplace(admission, std::move(request));
    state.byRequest_.try_emplace(params.request_, admission);
    placeReservation(state, admission, now, out);
}

void onReserved(ControlState &state, const AdmissionId &admission, Now now, Commands &out)
{
    ActiveRequest &request = state.active_.at(admission);
    if (request.peer_) {
        request.stage_ = RequestStage::HeldForPeer;
        sendReserved(state, admission, now, out);
        return;
    }
    if (request.params_.idempotent_) {
        dispatch(state, admission, now, out);
        return;
    }
    request.stage_ = RequestStage::AwaitingIntent;
    submitOp(
        requestShard(state, request.params_.request_),
        RequestOp {CreateIntentOp {request.params_.request_, state.settings_.holder_, admission,
                                   request.params_.account_, request.params_.budget_, now.wall_}},
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
        refuseDuplicate(state, op.admission_, now, out);
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
    if (event.outputTokens_ > 0 && request.params_.stream_ && !request.streamVersion_)
        request.streamVersion_ = request.sentVersion_;
    log(out, LogLevel::Info, "request.attempt_ended",
        {{"request", request.params_.request_.value_},
         {"attempt", event.attempt_.value_},
         {"upstream", request.upstream_.value_},
         {"result", std::string(attemptResultCode(event.result_))}});
    if (!event.retryWaiter_)
        return;
    request.waiter_ = *event.retryWaiter_;
    if (mayRetry(state, request, event.result_, now))
        dispatch(state, event.admission_, now, out);
    else
        refuse(state, event.admission_, attemptsFailedRefusal(request), now, out);
}

void onFinished(ControlState &state, const RequestFinished &event, Now now, Commands &out)
{
    const auto it = state.active_.find(event.admission_);
    if (it == state.active_.end() || it->second.stage_ != RequestStage::Running)
        return;
    closeAttempt(state, it->second, AttemptEnded {}, now);
    log(out, LogLevel::Info, "request.finished",
        {{"request", it->second.params_.request_.value_},
         {"account", it->second.params_.account_.value_},
         {"budget", it->second.params_.budget_.value_},
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
    settleAtHome(state, op.admission_, charged, now);
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
        {{"request", it->second.params_.request_.value_}});
    if (it->second.sent_)
        startBilling(state, admission, it->second.used_, Completeness::None, now, out);
    else
        dropUnbilled(state, admission, now);
}

namespace {

/// Returns true if a recent ledger read showed the tokens as held by others.
bool heldElsewhere(const ControlState &state, const ActiveRequest &request, Now now)
{
    // A waiting request reads the ledger once per redrawInterval_. If the last read is more than
    // four intervals old, the store is too slow to confirm the current state.
    return request.heldElsewhereAt_
        && now.mono_ - *request.heldElsewhereAt_ <= 4 * state.settings_.redrawInterval_;
}

} // namespace

void expireRequests(ControlState &state, Now now, Commands &out)
{
    std::vector<AdmissionId> expired;
    for (const auto &[id, request] : state.active_) {
        const bool waits = waitsForDecision(request.stage_);
        if (waits && request.params_.deadline_ <= now.mono_)
            expired.push_back(id);
    }
    for (const AdmissionId &id : expired) {
        const ActiveRequest &request = state.active_.at(id);
        const std::string &budget = request.params_.budget_.value_;
        if (request.stage_ == RequestStage::AwaitingIntent)
            refuse(state, id,
                   Refusal {RefusalReason::DeadlineExceeded, Execution::NotRun,
                            "the request could not be recorded before its deadline and was not "
                            "sent; retry later",
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
