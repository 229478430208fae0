// Serves one request of a caller.
#include "traffic/serve.h"

#include "traffic/attempts.h"

#include <fmt/format.h>

#include <system_error>

namespace tamarack {

using detail::ServedRequest, detail::costOf, detail::runAttempt, detail::stopGeneration;

namespace {

Refusal invalidRequest(std::string message)
{
    return Refusal {RefusalReason::InvalidRequest, Execution::NotRun, std::move(message),
                    std::nullopt};
}

/// Posts an event to the control thread and waits for its decision.
/// @throw std::system_error if the process has no free file descriptor
std::optional<Decision> requestDecision(ServedRequest &served,
                                        const std::function<Event(WaiterId)> &makeEvent)
{
    TrafficContext &context = served.context_;
    const WaiterId waiter = openSlot(context.slots_);
    context.events_.post_(makeEvent(waiter));
    AwaitResult waitResult
        = awaitDecision(context.slots_, waiter, served.deadline_ + context.decisionGrace_,
                        served.response_.callerSocket_);
    served.callerDisconnected_ |= waitResult.callerDisconnected_;
    if (!waitResult.decision_)
        context.events_.post_(AdmissionAbandoned {waiter});
    return std::move(waitResult.decision_);
}

AttemptEnded attemptEnded(const ServedRequest &served, const Dispatch &dispatch,
                          const ExchangeResult &result)
{
    AttemptEnded ended {dispatch.admission_,     dispatch.attempt_,      result.result_,
                        result.timeToFirstByte_, costOf(served, result), std::nullopt};
    ended.outputTokens_ = static_cast<std::uint32_t>(served.attemptEvents_);
    ended.upstreamLeaving_ = result.probe_ == ProbeResult::Leaving;
    return ended;
}

/// Sends the response, then reports the end of the request and whether the caller received it
/// completely.
void finishComplete(const ServedRequest &served, const Dispatch &dispatch,
                    const ExchangeResult &result)
{
    served.context_.events_.post_(attemptEnded(served, dispatch, result));
    const CallerResponseWriter &response = served.response_;
    const bool received = result.streamed_
        ? response.endStream_()
        : response.send_(
            CallerResponse {result.status_, result.contentType_, result.headers_, result.body_});
    served.context_.events_.post_(
        RequestFinished {dispatch.admission_, costOf(served, result),
                         received ? Completeness::Complete : Completeness::Truncated});
}

void finishTruncated(const ServedRequest &served, const Dispatch &dispatch,
                     const ExchangeResult &result)
{
    served.context_.events_.post_(attemptEnded(served, dispatch, result));
    served.context_.events_.post_(
        RequestFinished {dispatch.admission_, costOf(served, result), Completeness::Truncated});
}

void refuseOrAbort(const ServedRequest &served, Refusal refusal)
{
    if (served.received_ > 0)
        refusal.execution_ = Execution::Ran;
    else if (refusal.reason_ == RefusalReason::UpstreamFailed
             && std::chrono::steady_clock::now() >= served.deadline_)
        refusal = Refusal {RefusalReason::DeadlineExceeded, refusal.execution_,
                           "no upstream responded before the deadline; set a longer deadline",
                           std::nullopt};
    if (served.delivered_ > 0)
        served.response_.abortStream_(refusal);
    else
        served.response_.refuse_(refusal);
}

Refusal noDecisionRefusal(bool sent)
{
    return Refusal {RefusalReason::DeadlineExceeded, sent ? Execution::Unknown : Execution::NotRun,
                    "the daemon did not decide on the request before the deadline; retry later",
                    Millis {1000}};
}

Refusal notResumableRefusal()
{
    return Refusal {
        RefusalReason::UpstreamFailed, Execution::Ran,
        "the stream was interrupted and no engine can resume it; send the request again",
        std::nullopt};
}

/// Requests another attempt from the control thread. Ends the request if no file descriptor is
/// free to wait on.
std::optional<Decision> requestNextAttempt(ServedRequest &served, const Dispatch &dispatch,
                                           const ExchangeResult &result)
{
    try {
        return requestDecision(served, [&](WaiterId waiter) {
            AttemptEnded ended = attemptEnded(served, dispatch, result);
            ended.retryWaiter_ = waiter;
            return ended;
        });
    } catch (const std::system_error &) {
        finishTruncated(served, dispatch, result);
        return std::nullopt;
    }
}

/// Sends the request to the dispatched upstreams until the response is complete, the caller
/// disconnects or the control thread refuses.
void exchangeUntilDone(ServedRequest &served, std::optional<Decision> decision)
{
    bool sent = false;
    bool resumeRefused = false;
    while (decision && std::holds_alternative<Dispatch>(*decision)) {
        const Dispatch dispatch = std::get<Dispatch>(*decision);
        const bool resumes = served.received_ > 0;
        ExchangeResult result = runAttempt(served, dispatch);
        sent |= result.result_ != AttemptResult::NotSent;
        if (result.result_ == AttemptResult::Complete) {
            finishComplete(served, dispatch, result);
            return;
        }
        stopGeneration(served, dispatch, result);
        // An engine that ignores the resume offset runs the whole request again, so no other engine
        // is tried.
        resumeRefused = resumes && result.resumeRefused_;
        if (served.callerDisconnected_ || resumeRefused) {
            finishTruncated(served, dispatch, result);
            break;
        }
        decision = requestNextAttempt(served, dispatch, result);
    }
    if (served.callerDisconnected_)
        return;
    if (resumeRefused)
        refuseOrAbort(served, notResumableRefusal());
    else
        refuseOrAbort(served, decision ? std::get<Refusal>(*decision) : noDecisionRefusal(sent));
}

/// Sets price and idempotency of a request to a plain service from its route.
/// @return false if no route matches
bool applyRoute(ServedRequest &served, const Bundle &bundle)
{
    const ServiceRoute *route = findRoute(bundle, served.request_.service_, served.request_.method_,
                                          served.request_.path_);
    if (!route)
        return false;
    served.idempotent_ = route->idempotent_ && !served.request_.nonIdempotent_;
    served.price_ = route->price_;
    served.worstCase_ = route->price_;
    return true;
}

void applyModelDefaults(ServedRequest &served, const Bundle &bundle)
{
    const Tokens maxOutput = served.request_.maxOutput_ > Tokens {}
        ? served.request_.maxOutput_
        : bundle.policies_.defaultMaxOutput_;
    served.idempotent_ = !served.request_.nonIdempotent_;
    served.worstCase_ = served.request_.promptBound_ + maxOutput;
}

} // namespace

RequestId requestIdFor(const TrafficContext &context, const AccountId &account,
                       const std::string &idempotencyKey)
{
    if (idempotencyKey.empty())
        return context.newRequestId_();
    return RequestId {"k" + context.digest_(account.value_ + '\n' + idempotencyKey)};
}

void serve(TrafficContext &context, const CallerRequest &request,
           const CallerResponseWriter &response,
           const std::function<void(const RequestId &)> &onRequestId)
{
    const std::shared_ptr<const Snapshot> snapshot = context.snapshot_.load();
    ServedRequest served {context, request, response, {}, 0, {}, {}, {}, true, 0, 0, false};
    served.deadline_ = std::chrono::steady_clock::now() + request.timeLimit_;
    if (!snapshot || !snapshot->bundle_) {
        response.refuse_(Refusal {RefusalReason::Stopping, Execution::NotRun,
                                  "this daemon has not loaded a bundle yet; retry later",
                                  Millis {1000}});
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
    served.id_ = requestIdFor(context, account, request.idempotencyKey_);
    served.priority_ = snapshot->bundle_->accounts_.at(account).priority_;
    onRequestId(served.id_);
    if (request.kind_ == UpstreamKind::ModelEngine) {
        applyModelDefaults(served, *snapshot->bundle_);
    } else if (!applyRoute(served, *snapshot->bundle_)) {
        response.refuse_(
            invalidRequest(fmt::format("service {} has no route for {} {}; check the path",
                                       request.service_.value_, request.method_, request.path_)));
        return;
    }
    if (!served.idempotent_ && request.idempotencyKey_.empty()) {
        response.refuse_(
            invalidRequest("a non-idempotent request needs an Idempotency-Key header; send "
                           "one that is unique for this call"));
        return;
    }
    AdmissionRequested admission;
    admission.request_ = served.id_;
    admission.account_ = account;
    admission.budget_ = request.budget_.isEmpty() ? owner->second.budget_ : request.budget_;
    admission.kind_ = request.kind_;
    admission.model_ = request.model_;
    admission.service_ = request.service_;
    admission.worstCase_ = served.worstCase_;
    admission.idempotent_ = served.idempotent_;
    admission.hasIdempotencyKey_ = !request.idempotencyKey_.empty();
    admission.deadline_ = served.deadline_;
    admission.promptBound_ = request.promptBound_;
    admission.stream_ = request.stream_;
    admission.reportsFirstToken_ = request.stream_;
    exchangeUntilDone(served, requestDecision(served, [&admission](WaiterId waiter) {
                          admission.waiter_ = waiter;
                          return admission;
                      }));
}

} // namespace tamarack
