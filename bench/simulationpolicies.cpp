// Routing policies of the benchmark: the baselines and the prediction-based policy of the core.
#include "simulationstate.h"

#include <algorithm>

namespace tamarack::bench {

namespace {

constexpr std::size_t maxAttempts = 3;
const RouteTarget target {UpstreamKind::ModelEngine, "m"};

RouteQuery makeQuery(const SimRequest &request)
{
    RouteQuery query;
    query.model_ = model;
    query.zone_ = ZoneId {"z" + std::to_string(request.daemon_ % 3)};
    query.tried_ = request.tried_;
    query.promptTokens_ = static_cast<std::uint32_t>(request.promptTokens_);
    for (std::uint64_t i = 0; i < 3; ++i)
        query.promptBlocks_.push_back(prefixBlockHash(request.conversation_, i));
    // The last block holds the new user message, which no engine has cached.
    query.promptBlocks_.push_back(0);
    return query;
}

/// Chooses an engine by a baseline policy. Baselines use no load reports and eject an engine for a
/// fixed time after three consecutive failures.
/// @return nothing if all engines are ejected or tried
std::optional<std::size_t> chooseBaselineEngine(Simulation &sim, SimDaemon &daemon,
                                                const SimRequest &request)
{
    std::vector<std::size_t> available;
    for (std::size_t i = 0; i < engineCount; ++i) {
        const UpstreamState &upstream = daemon.routing_.upstreams_[i];
        const bool tried = std::find(request.tried_.begin(), request.tried_.end(), upstream.id_)
            != request.tried_.end();
        if (sim.now_ >= upstream.ejectedUntil_ && !tried)
            available.push_back(parseEngineIndex(upstream.id_));
    }
    if (available.empty())
        return std::nullopt;
    const auto load = [&](std::size_t engineIndex) {
        return findUpstream(daemon.routing_, engineId(engineIndex))->inFlight_;
    };
    if (sim.scenario_.policy_ == Policy::RoundRobin)
        return available[daemon.nextEngine_++ % available.size()];
    std::shuffle(available.begin(), available.end(), sim.random_);
    const std::size_t count = sim.scenario_.policy_ == Policy::TwoChoices
        ? std::min<std::size_t>(2, available.size())
        : available.size();
    return *std::min_element(available.begin(),
                             available.begin() + static_cast<std::ptrdiff_t>(count),
                             [&](std::size_t a, std::size_t b) { return load(a) < load(b); });
}

/// Returns true if the engines could give the request its first token in time after serving all
/// waiting requests of all daemons in first-come, first-served order, at the mean service time.
/// Allows 100 ms from a free slot to the first token.
bool couldMeetDeadline(const Simulation &sim, const SimRequest &request)
{
    std::priority_queue<MonoTime, std::vector<MonoTime>, std::greater<>> slots;
    for (const Engine &engine : sim.engines_) {
        if (!engine.alive_ || engine.frozen_)
            continue;
        for (const MonoTime time : slotFreeTimes(engine, sim.now_))
            slots.push(time);
    }
    std::size_t waitingAhead = 0;
    for (const SimDaemon &daemon : sim.daemons_)
        waitingAhead += daemon.admission_.deadlines_.size();
    // Mean service time: slots * load / arrival rate, with 8 slots an engine.
    const PreciseMicros service {static_cast<double>(engineCount) * 8.0 * sim.scenario_.load_
                                 / sim.arrivalsPerSecond_ * 1e6};
    for (; waitingAhead > 0; --waitingAhead) {
        const MonoTime time = slots.top();
        slots.pop();
        slots.push(time + toDuration(service));
    }
    return slots.top() + Millis {100} <= request.arrivedAt_ + requestTimeout;
}

/// Ends a request with a refusal and counts whether it could have been served in time.
void refuse(Simulation &sim, std::size_t requestIndex)
{
    SimRequest &request = sim.requests_[requestIndex];
    request.done_ = true;
    request.refused_ = true;
    if (!isMeasured(sim, request))
        return;
    ++sim.outcome_.refused_;
    sim.outcome_.falseRefusalsAnyAccount_ += couldMeetDeadline(sim, request);
}

/// Dispatches, queues or refuses a request with the routing and admission functions of the core.
/// @param queued true if the request is already in the admission queue
void routeByPrediction(Simulation &sim, std::size_t requestIndex, bool queued)
{
    SimRequest &request = sim.requests_[requestIndex];
    SimDaemon &daemon = sim.daemons_[request.daemon_];
    const AccountId account {std::to_string(request.account_)};
    const AdmissionId admission {std::to_string(requestIndex)};
    const MonoTime deadline = request.arrivedAt_ + requestTimeout;
    const TargetQueue &queue = daemon.admission_.queues_[target];
    RouteChoice choice;
    choice.outcome_ = RouteOutcome::AllFull;
    if (queued || queue.size_ == 0)
        choice = chooseUpstream(daemon.routing_, makeQuery(request), sim.now_);
    const auto remaining = std::chrono::duration_cast<Millis>(deadline - sim.now_);
    const double margin = daemon.admission_.settings_.refusalMargin_;
    if (choice.outcome_ == RouteOutcome::Chosen) {
        if (queued && findUpstream(daemon.routing_, choice.upstream_)->inFlight_ > 0
            && choice.prediction_.firstToken_ > remaining * margin) {
            // Stays queued until three quarters of its time are used; a faster engine may free a
            // slot.
            if (sim.now_ - request.arrivedAt_ < remaining * 3)
                return;
            removeWaiting(daemon.admission_, target, account, admission, sim.now_);
            refuse(sim, requestIndex);
            return;
        }
        if (queued)
            dequeueNext(daemon.admission_, target, NextWaiting {account, admission}, sim.now_);
        sendRequest(sim, requestIndex, parseEngineIndex(choice.upstream_), choice.prediction_);
        return;
    }
    if (queued)
        return;
    const std::optional<Millis> wait
        = predictedWait(queue, daemon.admission_.settings_, account, 0, sim.now_);
    const auto predictedFirstToken
        = std::chrono::duration_cast<Millis>(choice.prediction_.firstToken_);
    if (choice.outcome_ == RouteOutcome::NoUpstream
        || willMissDeadline(queue, daemon.admission_.settings_, wait, predictedFirstToken,
                            remaining, sim.now_)) {
        refuse(sim, requestIndex);
        return;
    }
    enqueue(daemon.admission_, target, account, 0,
            WaitingRequest {admission, sim.now_, deadline, 1.0}, sim.now_);
}

} // namespace

void routeRequest(Simulation &sim, std::size_t requestIndex)
{
    if (usesPrediction(sim)) {
        routeByPrediction(sim, requestIndex, false);
        return;
    }
    SimRequest &request = sim.requests_[requestIndex];
    const std::optional<std::size_t> engineIndex
        = chooseBaselineEngine(sim, sim.daemons_[request.daemon_], request);
    if (engineIndex)
        sendRequest(sim, requestIndex, *engineIndex, {});
    else
        refuse(sim, requestIndex);
}

void serveQueue(Simulation &sim, SimDaemon &daemon)
{
    const TargetQueue &queue = daemon.admission_.queues_[target];
    while (const auto expired = nextExpired(daemon.admission_, sim.now_)) {
        const std::size_t requestIndex = std::stoul(expired->value_);
        removeWaiting(daemon.admission_, target,
                      AccountId {std::to_string(sim.requests_[requestIndex].account_)}, *expired,
                      sim.now_);
        failRequest(sim, requestIndex);
    }
    while (const auto next = nextWaiting(queue, daemon.admission_.settings_, sim.now_)) {
        const std::size_t before = queue.size_;
        routeByPrediction(sim, std::stoul(next->admission_.value_), true);
        if (queue.size_ == before)
            return;
    }
}

bool mayRetry(Simulation &sim, SimRequest &request, AttemptResult result)
{
    if (request.attempts_ >= maxAttempts || sim.now_ >= request.arrivedAt_ + requestTimeout)
        return false;
    if (!usesPrediction(sim) || result == AttemptResult::NotSent)
        return true;
    AdmissionState &admission = sim.daemons_[request.daemon_].admission_;
    if (!isRetryAllowed(admission.retries_, admission.settings_.daemonRetries_, sim.now_))
        return false;
    consumeRetry(admission.retries_);
    return true;
}

} // namespace tamarack::bench
