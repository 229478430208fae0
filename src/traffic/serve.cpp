// Serving one caller's request.
#include "traffic/serve.h"

#include <fmt/format.h>

namespace tamarack {

namespace {

/// One request on its way through a traffic thread.
struct Service
{
    TrafficContext &context_;
    const CallerRequest &request_;
    const CallerResponse &response_;
    RequestId id_;
    int priority_ = 0;
    MonoTime deadline_;
    Tokens worstCase_;
    Tokens price_;
    bool idempotent_ = true;
    /// Events of the stream that the caller has received.
    std::uint64_t delivered_ = 0;
    bool callerGone_ = false;
};

Refusal invalid(std::string message)
{
    return Refusal {RefusalReason::InvalidRequest, Execution::NotRun, std::move(message),
                    std::nullopt};
}

std::optional<Decision> decide(Service &service, const std::function<Event(WaiterId)> &makeEvent)
{
    TrafficContext &context = service.context_;
    const WaiterId waiter = openSlot(context.slots_);
    context.events_.post_(makeEvent(waiter));
    std::optional<Decision> decision
        = awaitDecision(context.slots_, waiter, service.deadline_ + context.decisionGrace_);
    if (!decision)
        context.events_.post_(AdmitAbandoned {waiter});
    return decision;
}

ExchangeRequest exchangeRequest(const Service &service, const Dispatch &dispatch)
{
    const CallerRequest &request = service.request_;
    ExchangeRequest exchange;
    exchange.address_ = dispatch.address_;
    exchange.method_ = request.method_;
    exchange.path_ = request.path_;
    exchange.contentType_ = request.contentType_;
    exchange.body_ = request.body_;
    exchange.request_ = service.id_;
    exchange.attempt_ = dispatch.attempt_;
    exchange.idempotencyKey_ = request.idempotencyKey_;
    exchange.priority_ = service.priority_;
    exchange.stream_ = request.stream_;
    exchange.resumeOffset_ = service.delivered_;
    exchange.silenceLimit_ = dispatch.silenceLimit_;
    return exchange;
}

/// Cost of the request after an exchange, as far as it is known.
Tokens costOf(const Service &service, const ExchangeResult &result)
{
    if (service.request_.kind_ == UpstreamKind::Service)
        return result.result_ == AttemptResult::NotSent ? Tokens {} : service.price_;
    if (result.usage_)
        return *result.usage_;
    if (service.delivered_ > 0)
        return service.request_.promptBound_
            + Tokens {static_cast<std::int64_t>(service.delivered_)};
    return result.result_ == AttemptResult::Whole ? service.worstCase_ : Tokens {};
}

void finish(const Service &service, const Dispatch &dispatch, const ExchangeResult &result,
            Completeness completeness)
{
    const Tokens cost = costOf(service, result);
    service.context_.events_.post_(AttemptEnded {dispatch.admission_, dispatch.attempt_,
                                                 result.result_, result.firstByte_, cost,
                                                 std::nullopt});
    service.context_.events_.post_(RequestFinished {dispatch.admission_, cost, completeness});
}

void answerWhole(const Service &service, const ExchangeResult &result)
{
    if (service.request_.stream_ && result.status_ == 200)
        service.response_.endStream_();
    else
        service.response_.send_(result.status_, result.contentType_, result.body_);
}

ExchangeResult runExchange(Service &service, const Dispatch &dispatch)
{
    return service.context_.upstreams_.exchange_(exchangeRequest(service, dispatch),
                                                 [&service](const std::string &data) {
                                                     if (!service.response_.sendEvent_(data)) {
                                                         service.callerGone_ = true;
                                                         return false;
                                                     }
                                                     ++service.delivered_;
                                                     return true;
                                                 });
}

void refuseOrCut(const Service &service, const Refusal &refusal)
{
    if (service.delivered_ > 0)
        service.response_.cutStream_(refusal);
    else
        service.response_.refuse_(refusal);
}

Refusal noDecision()
{
    return Refusal {RefusalReason::DeadlineExceeded, Execution::NotRun,
                    "the daemon did not decide before the deadline; retry later", Millis {1000}};
}

/// Makes exchanges until the answer is whole, the caller is gone or a refusal arrives.
void exchangeUntilDone(Service &service, std::optional<Decision> decision)
{
    bool sent = false;
    while (decision && std::holds_alternative<Dispatch>(*decision)) {
        const Dispatch dispatch = std::get<Dispatch>(*decision);
        const ExchangeResult result = runExchange(service, dispatch);
        sent |= result.result_ != AttemptResult::NotSent;
        if (result.result_ == AttemptResult::Whole) {
            finish(service, dispatch, result, Completeness::Whole);
            answerWhole(service, result);
            return;
        }
        if (service.callerGone_) {
            finish(service, dispatch, result, Completeness::Cut);
            return;
        }
        decision = decide(service, [&](WaiterId waiter) {
            return AttemptEnded {dispatch.admission_, dispatch.attempt_,       result.result_,
                                 result.firstByte_,   costOf(service, result), waiter};
        });
    }
    Refusal refusal = decision ? std::get<Refusal>(*decision) : noDecision();
    if (!decision && sent)
        refusal.execution_ = Execution::Unknown;
    refuseOrCut(service, refusal);
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

void serve(TrafficContext &context, const CallerRequest &request, const CallerResponse &response,
           const std::function<void(const RequestId &)> &requestIdKnown)
{
    const std::shared_ptr<const Snapshot> snapshot = context.snapshot_.load();
    Service service {context, request, response, {}, 0, {}, {}, {}, true, 0, false};
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
    AdmitRequested ask;
    ask.request_ = service.id_;
    ask.account_ = account;
    ask.budget_ = request.budget_.isEmpty() ? owner->second.budget_ : request.budget_;
    ask.kind_ = request.kind_;
    ask.model_ = request.model_;
    ask.service_ = request.service_;
    ask.worstCase_ = service.worstCase_;
    ask.idempotent_ = service.idempotent_;
    ask.keyed_ = !request.idempotencyKey_.empty();
    ask.deadline_ = service.deadline_;
    exchangeUntilDone(service, decide(service, [&ask](WaiterId waiter) {
                          ask.waiter_ = waiter;
                          return ask;
                      }));
}

} // namespace tamarack
