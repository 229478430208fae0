// Serving one caller's request.
#include "traffic/serve.h"

#include "traffic/attempts.h"

#include <fmt/format.h>

#include <system_error>

namespace tamarack {

using detail::Service, detail::costOf, detail::runAttempt, detail::stopGeneration;

namespace {

Refusal invalid(std::string message)
{
    return Refusal {RefusalReason::InvalidRequest, Execution::NotRun, std::move(message),
                    std::nullopt};
}

/// Posts an event and waits for the control thread's decision.
std::optional<Decision> decide(Service &service, const std::function<Event(WaiterId)> &makeEvent)
{
    TrafficContext &context = service.context_;
    const WaiterId waiter = openSlot(context.slots_);
    context.events_.post_(makeEvent(waiter));
    Awaited awaited
        = awaitDecision(context.slots_, waiter, service.deadline_ + context.decisionGrace_,
                        service.response_.callerSocket_);
    service.callerDisconnected_ |= awaited.callerDisconnected_;
    if (!awaited.decision_)
        context.events_.post_(AdmissionAbandoned {waiter});
    return std::move(awaited.decision_);
}

AttemptEnded attemptEnded(const Service &service, const Dispatch &dispatch,
                          const ExchangeResult &result)
{
    AttemptEnded ended {dispatch.admission_, dispatch.attempt_,       result.result_,
                        result.firstByte_,   costOf(service, result), std::nullopt};
    ended.outputTokens_ = static_cast<std::uint32_t>(service.attemptEvents_);
    ended.upstreamLeaving_ = result.probe_ == ProbeResult::Leaving;
    return ended;
}

/// Sends the answer, then reports the request's end with what the caller received.
void finishWhole(const Service &service, const Dispatch &dispatch, const ExchangeResult &result)
{
    service.context_.events_.post_(attemptEnded(service, dispatch, result));
    const CallerResponseWriter &response = service.response_;
    const bool received = result.streamed_
        ? response.endStream_()
        : response.send_(
            CallerResponse {result.status_, result.contentType_, result.headers_, result.body_});
    service.context_.events_.post_(
        RequestFinished {dispatch.admission_, costOf(service, result),
                         received ? Completeness::Complete : Completeness::Truncated});
}

void finishCut(const Service &service, const Dispatch &dispatch, const ExchangeResult &result)
{
    service.context_.events_.post_(attemptEnded(service, dispatch, result));
    service.context_.events_.post_(
        RequestFinished {dispatch.admission_, costOf(service, result), Completeness::Truncated});
}

void refuseOrCut(const Service &service, Refusal refusal)
{
    if (service.received_ > 0)
        refusal.execution_ = Execution::Ran;
    else if (refusal.reason_ == RefusalReason::UpstreamFailed
             && std::chrono::steady_clock::now() >= service.deadline_)
        refusal
            = Refusal {RefusalReason::DeadlineExceeded, refusal.execution_,
                       "no upstream answered before the deadline; allow more time", std::nullopt};
    if (service.delivered_ > 0)
        service.response_.abortStream_(refusal);
    else
        service.response_.refuse_(refusal);
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
std::optional<Decision> decideNext(Service &service, const Dispatch &dispatch,
                                   const ExchangeResult &result)
{
    try {
        return decide(service, [&](WaiterId waiter) {
            AttemptEnded ended = attemptEnded(service, dispatch, result);
            ended.retryWaiter_ = waiter;
            return ended;
        });
    } catch (const std::system_error &) {
        finishCut(service, dispatch, result);
        return std::nullopt;
    }
}

/// Makes exchanges until the answer is whole, the caller is gone or a refusal arrives.
void exchangeUntilDone(Service &service, std::optional<Decision> decision)
{
    bool sent = false;
    bool resumeRefused = false;
    while (decision && std::holds_alternative<Dispatch>(*decision)) {
        const Dispatch dispatch = std::get<Dispatch>(*decision);
        const bool resumes = service.received_ > 0;
        ExchangeResult result = runAttempt(service, dispatch);
        sent |= result.result_ != AttemptResult::NotSent;
        if (result.result_ == AttemptResult::Complete) {
            finishWhole(service, dispatch, result);
            return;
        }
        stopGeneration(service, dispatch, result);
        // Another engine that ignored the offset ran the request for nothing; one is enough.
        resumeRefused = resumes && result.resumeRefused_;
        if (service.callerDisconnected_ || resumeRefused) {
            finishCut(service, dispatch, result);
            break;
        }
        decision = decideNext(service, dispatch, result);
    }
    if (service.callerDisconnected_)
        return;
    if (resumeRefused)
        refuseOrCut(service, notResumable());
    else
        refuseOrCut(service, decision ? std::get<Refusal>(*decision) : noDecision(sent));
}

/// Fills in price and idempotency of a call to a plain service.
bool applyRoute(Service &service, const Bundle &bundle)
{
    const ServiceRoute *route = findRoute(bundle, service.request_.service_,
                                          service.request_.method_, service.request_.path_);
    if (!route)
        return false;
    service.idempotent_ = route->idempotent_ && !service.request_.nonIdempotent_;
    service.price_ = route->price_;
    service.worstCase_ = route->price_;
    return true;
}

void applyModelDefaults(Service &service, const Bundle &bundle)
{
    const Tokens maxOutput = service.request_.maxOutput_ > Tokens {}
        ? service.request_.maxOutput_
        : bundle.policies_.defaultMaxOutput_;
    service.idempotent_ = !service.request_.nonIdempotent_;
    service.worstCase_ = service.request_.promptBound_ + maxOutput;
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
           const std::function<void(const RequestId &)> &requestIdKnown)
{
    const std::shared_ptr<const Snapshot> snapshot = context.snapshot_.load();
    Service service {context, request, response, {}, 0, {}, {}, {}, true, 0, 0, false};
    service.deadline_ = std::chrono::steady_clock::now() + request.timeLimit_;
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
    service.id_ = requestIdFor(context, account, request.idempotencyKey_);
    service.priority_ = snapshot->bundle_->accounts_.at(account).priority_;
    requestIdKnown(service.id_);
    if (request.kind_ == UpstreamKind::ModelEngine) {
        applyModelDefaults(service, *snapshot->bundle_);
    } else if (!applyRoute(service, *snapshot->bundle_)) {
        response.refuse_(
            invalid(fmt::format("service {} has no route for {} {}; check the path",
                                request.service_.value_, request.method_, request.path_)));
        return;
    }
    if (!service.idempotent_ && request.idempotencyKey_.empty()) {
        response.refuse_(invalid("a non-idempotent request needs an Idempotency-Key header; send "
                                 "one that is unique for this call"));
        return;
    }
    AdmissionRequested ask;
    ask.request_ = service.id_;
    ask.account_ = account;
    ask.budget_ = request.budget_.isEmpty() ? owner->second.budget_ : request.budget_;
    ask.kind_ = request.kind_;
    ask.model_ = request.model_;
    ask.service_ = request.service_;
    ask.worstCase_ = service.worstCase_;
    ask.idempotent_ = service.idempotent_;
    ask.hasIdempotencyKey_ = !request.idempotencyKey_.empty();
    ask.deadline_ = service.deadline_;
    ask.promptBound_ = request.promptBound_;
    ask.stream_ = request.stream_;
    ask.reportsFirstToken_ = request.stream_;
    exchangeUntilDone(service, decide(service, [&ask](WaiterId waiter) {
                          ask.waiter_ = waiter;
                          return ask;
                      }));
}

} // namespace tamarack
