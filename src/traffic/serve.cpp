// Serving one caller's request.
#include "traffic/serve.h"

#include "traffic/attempts.h"

#include <fmt/format.h>

#include <system_error>

namespace tamarack {

using detail::ActiveRequest, detail::costOf, detail::runAttempt, detail::stopGeneration;

namespace {

Refusal invalidRequest(std::string message)
{
    return Refusal {RefusalReason::InvalidRequest, Execution::NotRun, std::move(message),
                    std::nullopt};
}

/// Posts an event and waits for the control thread's decision.
std::optional<Decision> requestDecision(ActiveRequest &active,
                                        const std::function<Event(WaiterId)> &makeEvent)
{
    TrafficContext &context = active.context_;
    const WaiterId waiter = openSlot(context.slots_);
    context.events_.post_(makeEvent(waiter));
    AwaitResult waitResult
        = awaitDecision(context.slots_, waiter, active.deadline_ + context.decisionGrace_,
                        active.response_.callerSocket_);
    active.callerGone_ |= waitResult.callerGone_;
    if (!waitResult.decision_)
        context.events_.post_(AdmissionAbandoned {waiter});
    return std::move(waitResult.decision_);
}

AttemptEnded attemptEnded(const ActiveRequest &active, const Dispatch &dispatch,
                          const ExchangeResult &result)
{
    AttemptEnded ended {dispatch.admission_, dispatch.attempt_,      result.result_,
                        result.firstByte_,   costOf(active, result), std::nullopt};
    ended.outputTokens_ = static_cast<std::uint32_t>(active.attemptEvents_);
    ended.upstreamLeaving_ = result.probe_ == ProbeResult::Leaving;
    return ended;
}

/// Sends the answer, then reports the request's end with what the caller received.
void finishComplete(const ActiveRequest &active, const Dispatch &dispatch,
                    const ExchangeResult &result)
{
    active.context_.events_.post_(attemptEnded(active, dispatch, result));
    const CallerResponse &response = active.response_;
    const bool received = result.streamed_
        ? response.endStream_()
        : response.send_(
            CallerAnswer {result.status_, result.contentType_, result.headers_, result.body_});
    active.context_.events_.post_(
        RequestFinished {dispatch.admission_, costOf(active, result),
                         received ? Completeness::Whole : Completeness::Cut});
}

void finishInterrupted(const ActiveRequest &active, const Dispatch &dispatch,
                       const ExchangeResult &result)
{
    active.context_.events_.post_(attemptEnded(active, dispatch, result));
    active.context_.events_.post_(
        RequestFinished {dispatch.admission_, costOf(active, result), Completeness::Cut});
}

void refuseOrAbort(const ActiveRequest &active, Refusal refusal)
{
    if (active.received_ > 0)
        refusal.execution_ = Execution::Ran;
    else if (refusal.reason_ == RefusalReason::UpstreamFailed
             && std::chrono::steady_clock::now() >= active.deadline_)
        refusal
            = Refusal {RefusalReason::DeadlineExceeded, refusal.execution_,
                       "no upstream answered before the deadline; allow more time", std::nullopt};
    if (active.delivered_ > 0)
        active.response_.cutStream_(refusal);
    else
        active.response_.refuse_(refusal);
}

Refusal noDecision(bool sent)
{
    return Refusal {RefusalReason::DeadlineExceeded, sent ? Execution::Unknown : Execution::NotRun,
                    "the daemon did not decide before the deadline; retry later", Millis {1000}};
}

Refusal notResumable()
{
    return Refusal {RefusalReason::UpstreamFailed, Execution::Ran,
                    "the stream was cut and no engine resumes it; send the request again",
                    std::nullopt};
}

/// Asks for another attempt. Without a descriptor to wait on, the request ends here.
std::optional<Decision> requestNextAttempt(ActiveRequest &active, const Dispatch &dispatch,
                                           const ExchangeResult &result)
{
    try {
        return requestDecision(active, [&](WaiterId waiter) {
            AttemptEnded ended = attemptEnded(active, dispatch, result);
            ended.retryWaiter_ = waiter;
            return ended;
        });
    } catch (const std::system_error &) {
        finishInterrupted(active, dispatch, result);
        return std::nullopt;
    }
}

/// Makes exchanges until the answer is whole, the caller is gone or a refusal arrives.
void exchangeUntilDone(ActiveRequest &active, std::optional<Decision> decision)
{
    bool sent = false;
    bool resumeRefused = false;
    while (decision && std::holds_alternative<Dispatch>(*decision)) {
        const Dispatch dispatch = std::get<Dispatch>(*decision);
        const bool resumes = active.received_ > 0;
        ExchangeResult result = runAttempt(active, dispatch);
        sent |= result.result_ != AttemptResult::NotSent;
        if (result.result_ == AttemptResult::Whole) {
            finishComplete(active, dispatch, result);
            return;
        }
        stopGeneration(active, dispatch, result);
        // Another engine that ignored the offset ran the request for nothing; one is enough.
        resumeRefused = resumes && result.resumeRefused_;
        if (active.callerGone_ || resumeRefused) {
            finishInterrupted(active, dispatch, result);
            break;
        }
        decision = requestNextAttempt(active, dispatch, result);
    }
    if (active.callerGone_)
        return;
    if (resumeRefused)
        refuseOrAbort(active, notResumable());
    else
        refuseOrAbort(active, decision ? std::get<Refusal>(*decision) : noDecision(sent));
}

/// Fills in price and idempotency of a call to a plain service.
bool applyRoute(ActiveRequest &active, const Bundle &bundle)
{
    const ServiceRoute *route = findRoute(bundle, active.request_.service_, active.request_.method_,
                                          active.request_.path_);
    if (!route)
        return false;
    active.idempotent_ = route->idempotent_ && !active.request_.nonIdempotent_;
    active.price_ = route->price_;
    active.worstCase_ = route->price_;
    return true;
}

void applyModelDefaults(ActiveRequest &active, const Bundle &bundle)
{
    const Tokens maxOutput = active.request_.maxOutput_ > Tokens {}
        ? active.request_.maxOutput_
        : bundle.policies_.defaultMaxOutput_;
    active.idempotent_ = !active.request_.nonIdempotent_;
    active.worstCase_ = active.request_.promptBound_ + maxOutput;
}

} // namespace

RequestId requestIdFor(const TrafficContext &context, const AccountId &account,
                       const std::string &idempotencyKey)
{
    if (idempotencyKey.empty())
        return context.newRequestId_();
    return RequestId {"k" + context.digest_(account.value_ + '\n' + idempotencyKey)};
}

void serve(TrafficContext &context, const CallerRequest &request, const CallerResponse &response,
           const std::function<void(const RequestId &)> &requestIdKnown)
{
    const std::shared_ptr<const Snapshot> snapshot = context.snapshot_.load();
    ActiveRequest active {context, request, response, {}, 0, {}, {}, {}, true, 0, 0, false};
    active.deadline_ = std::chrono::steady_clock::now() + request.timeLimit_;
    if (!snapshot || !snapshot->bundle_) {
        response.refuse_(Refusal {RefusalReason::Stopping, Execution::NotRun,
                                  "this daemon holds no bundle yet; retry later", Millis {1000}});
        return;
    }
    const auto owner = snapshot->keys_.find(request.keySha256_);
    if (owner == snapshot->keys_.end()) {
        response.refuse_(Refusal {RefusalReason::UnknownKey, Execution::NotRun,
                                  "no client account has this key; check the Authorization header",
                                  std::nullopt});
        return;
    }
    const AccountId &account = owner->second.account_;
    active.id_ = requestIdFor(context, account, request.idempotencyKey_);
    active.priority_ = snapshot->bundle_->accounts_.at(account).priority_;
    requestIdKnown(active.id_);
    if (request.kind_ == UpstreamKind::ModelEngine) {
        applyModelDefaults(active, *snapshot->bundle_);
    } else if (!applyRoute(active, *snapshot->bundle_)) {
        response.refuse_(
            invalidRequest(fmt::format("service {} has no route for {} {}; check the path",
                                       request.service_.value_, request.method_, request.path_)));
        return;
    }
    if (!active.idempotent_ && request.idempotencyKey_.empty()) {
        response.refuse_(
            invalidRequest("a non-idempotent request needs an Idempotency-Key header; send "
                           "one that is unique for this call"));
        return;
    }
    AdmissionRequested admission;
    admission.request_ = active.id_;
    admission.account_ = account;
    admission.budget_ = request.budget_.isEmpty() ? owner->second.budget_ : request.budget_;
    admission.kind_ = request.kind_;
    admission.model_ = request.model_;
    admission.service_ = request.service_;
    admission.worstCase_ = active.worstCase_;
    admission.idempotent_ = active.idempotent_;
    admission.hasIdempotencyKey_ = !request.idempotencyKey_.empty();
    admission.deadline_ = active.deadline_;
    admission.promptBound_ = request.promptBound_;
    admission.stream_ = request.stream_;
    admission.reportsFirstToken_ = request.stream_;
    exchangeUntilDone(active, requestDecision(active, [&admission](WaiterId waiter) {
                          admission.waiter_ = waiter;
                          return admission;
                      }));
}

} // namespace tamarack
