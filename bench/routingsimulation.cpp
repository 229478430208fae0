// Discrete-event simulation of request routing: workload, event handlers and fault injection.
#include "routingsimulation.h"

#include "simulationstate.h"

#include <algorithm>
#include <array>
#include <utility>

namespace tamarack::bench {

namespace {

constexpr std::size_t accountCount = 10;
constexpr std::uint64_t conversationCount = 400;
constexpr double meanPromptTokens = 600.0;
constexpr double meanOutputTokens = 120.0;
constexpr Seconds simulatedTime {120};
constexpr Millis pollInterval {500};
constexpr Millis reportDelay {200};
constexpr Millis queueServeInterval {200};
// Limits of the baseline policies; the prediction-based policy computes its own.
constexpr Millis baselineSilenceLimit {5000};
constexpr Millis baselineEjectionTime {2000};
constexpr std::uint32_t baselineFailureThreshold = 3;
/// Time per token relative to the fastest engines, repeated over all engines.
constexpr std::array<double, 4> engineSlowness {1.0, 1.5, 2.0, 4.0};

AttemptId attemptId(std::size_t requestIndex, std::uint32_t attempt)
{
    return AttemptId {std::to_string(requestIndex) + '.' + std::to_string(attempt)};
}

/// Creates the engines and daemons, and derives the arrival rate from the total capacity.
void buildFleet(Simulation &sim)
{
    Bundle bundle;
    bundle.version_ = BundleVersion {1};
    double capacity = 0.0;
    for (std::size_t i = 0; i < engineCount; ++i) {
        Engine engine;
        const double slowness = engineSlowness[i % engineSlowness.size()];
        engine.promptToken_ = PreciseMicros {50.0 * slowness};
        engine.outputToken_ = PreciseMicros {5000.0 * slowness};
        const std::chrono::duration<double> service
            = engine.promptToken_ * meanPromptTokens + engine.outputToken_ * meanOutputTokens;
        capacity += static_cast<double>(engine.slots_) / service.count();
        sim.engines_.push_back(engine);
        Upstream upstream;
        upstream.id_ = engineId(i);
        upstream.zone_ = ZoneId {"z" + std::to_string(i % 3)};
        upstream.models_ = {model};
        bundle.upstreams_[upstream.id_] = upstream;
    }
    sim.arrivalsPerSecond_ = capacity * sim.scenario_.load_;
    sim.daemons_.resize(daemonCount);
    for (SimDaemon &daemon : sim.daemons_) {
        daemon.routing_.random_.seed(sim.random_());
        indexUpstreams(daemon.routing_, bundle);
    }
    sim.outcome_.byAccount_.resize(accountCount);
}

/// Two large accounts send a third of the requests each; the other accounts share the last third.
std::size_t pickAccount(Simulation &sim)
{
    const std::uint64_t pick = sim.random_() % 24;
    return pick < 8 ? 0 : pick < 16 ? 1 : 2 + pick % 8;
}

void endAttempt(Simulation &sim, std::size_t requestIndex, AttemptResult result);

/// Starts waiting jobs of an engine while it has free slots, and schedules their events.
void startWaitingJobs(Simulation &sim, std::size_t engineIndex)
{
    for (const Job &job : startJobs(sim.engines_[engineIndex], sim.now_)) {
        schedule(sim, job.firstTokenAt_, SimEventKind::FirstToken, job.request_, job.attempt_);
        schedule(sim, job.endsAt_, SimEventKind::End, job.request_, job.attempt_);
    }
}

/// Updates the in-flight count, failure count and ejection of an upstream when an attempt ends
/// under a baseline policy.
void recordBaselineAttemptEnd(const Simulation &sim, UpstreamState &upstream, AttemptResult result)
{
    --upstream.inFlight_;
    if (result == AttemptResult::Complete)
        upstream.consecutiveFailures_ = 0;
    else if (++upstream.consecutiveFailures_ >= baselineFailureThreshold)
        upstream.ejectedUntil_ = sim.now_ + baselineEjectionTime;
}

void endAttempt(Simulation &sim, std::size_t requestIndex, AttemptResult result)
{
    SimRequest &request = sim.requests_[requestIndex];
    SimDaemon &daemon = sim.daemons_[request.daemon_];
    request.running_ = false;
    if (usesPrediction(sim)) {
        AttemptRecord record;
        record.upstream_ = engineId(request.engine_);
        record.attempt_ = attemptId(requestIndex, request.attempts_);
        record.result_ = result;
        record.firstToken_ = request.timeToFirstToken_;
        record.duration_ = std::chrono::duration_cast<Micros>(sim.now_ - request.sentAt_);
        record.outputTokens_ = static_cast<std::uint32_t>(request.outputTokens_);
        recordAttemptEnd(daemon.routing_, record, sim.now_);
    } else {
        recordBaselineAttemptEnd(sim, *findUpstream(daemon.routing_, engineId(request.engine_)),
                                 result);
    }
    removeJob(sim.engines_[request.engine_], requestIndex);
    startWaitingJobs(sim, request.engine_);
    if (result == AttemptResult::Complete || request.timeToFirstToken_)
        request.done_ = true;
    else if (mayRetry(sim, request, result))
        routeRequest(sim, requestIndex);
    else
        failRequest(sim, requestIndex);
    if (usesPrediction(sim))
        serveQueue(sim, daemon);
}

void onFirstToken(Simulation &sim, std::size_t requestIndex)
{
    SimRequest &request = sim.requests_[requestIndex];
    SimDaemon &daemon = sim.daemons_[request.daemon_];
    request.timeToFirstToken_ = std::chrono::duration_cast<Micros>(sim.now_ - request.sentAt_);
    request.answeredAt_ = sim.now_;
    if (usesPrediction(sim))
        recordFirstToken(daemon.routing_, engineId(request.engine_),
                         attemptId(requestIndex, request.attempts_), *request.timeToFirstToken_,
                         sim.now_);
    if (!isMeasured(sim, request))
        return;
    const std::chrono::duration<double, std::milli> firstTokenLatency
        = sim.now_ - request.arrivedAt_;
    if (firstTokenLatency > requestTimeout) {
        ++sim.outcome_.missed_;
        return;
    }
    ++sim.outcome_.answered_;
    sim.outcome_.firstTokenLatencies_.push_back(firstTokenLatency.count());
    sim.outcome_.byAccount_[request.account_].push_back(firstTokenLatency.count());
}

void onArrival(Simulation &sim)
{
    std::exponential_distribution<double> gap(sim.arrivalsPerSecond_);
    schedule(sim, sim.now_ + toDuration(PreciseMicros {gap(sim.random_) * 1e6}),
             SimEventKind::Arrive);
    SimRequest request;
    request.arrivedAt_ = sim.now_;
    request.account_ = pickAccount(sim);
    request.daemon_ = sim.random_() % daemonCount;
    request.conversation_ = sim.random_() % conversationCount;
    std::exponential_distribution<double> prompt(1.0 / meanPromptTokens);
    std::exponential_distribution<double> output(1.0 / meanOutputTokens);
    request.promptTokens_ = 20.0 + prompt(sim.random_);
    request.outputTokens_ = 2.0 + output(sim.random_);
    sim.requests_.push_back(request);
    if (isMeasured(sim, request))
        ++sim.outcome_.requests_;
    AdmissionState &admission = sim.daemons_[request.daemon_].admission_;
    creditRequest(admission.retries_, admission.settings_.daemonRetries_, sim.now_);
    routeRequest(sim, sim.requests_.size() - 1);
}

void onPoll(Simulation &sim, std::size_t engineIndex)
{
    Engine &engine = sim.engines_[engineIndex];
    schedule(sim, sim.now_ + pollInterval, SimEventKind::Poll, engineIndex);
    if (!engine.alive_ || engine.frozen_)
        return;
    Report report;
    report.load_.upstream_ = engineId(engineIndex);
    report.load_.running_ = static_cast<std::uint32_t>(engine.running_.size());
    report.load_.waiting_ = static_cast<std::uint32_t>(engine.waiting_.size());
    report.load_.slots_ = static_cast<std::uint32_t>(engine.slots_);
    report.load_.requestedAt_ = sim.now_;
    report.cache_ = CacheEventBatch {engineId(engineIndex), std::exchange(engine.unreported_, {})};
    sim.reports_.push_back(std::move(report));
    schedule(sim, sim.now_ + reportDelay, SimEventKind::Report);
}

void onReport(Simulation &sim)
{
    const Report report = std::move(sim.reports_.front());
    sim.reports_.pop_front();
    if (!usesPrediction(sim))
        return;
    for (SimDaemon &daemon : sim.daemons_) {
        recordLoadReport(daemon.routing_, report.load_, sim.now_);
        applyCacheEvents(daemon.routing_.cache_, daemon.routing_.byId_.at(report.load_.upstream_),
                         report.cache_, sim.now_);
        serveQueue(sim, daemon);
    }
}

void failAllJobs(Simulation &sim, std::size_t engineIndex)
{
    const Engine copy = sim.engines_[engineIndex];
    for (const Job &job : copy.running_)
        endAttempt(sim, job.request_, AttemptResult::Truncated);
    for (const Job &job : copy.waiting_)
        endAttempt(sim, job.request_, AttemptResult::Truncated);
}

/// Ends the freeze of engine 0, into which all faults are injected. Schedules additional events for
/// its running jobs, delayed by the duration of the freeze, and starts waiting jobs. The events
/// scheduled before the freeze stay in the queue; those due after its end are still handled at
/// their original times.
void unfreezeEngine(Simulation &sim)
{
    Engine &engine = sim.engines_[0];
    for (Job &job : engine.running_) {
        const MonoTime::duration frozenFor
            = std::min<MonoTime::duration>(simulatedTime / 3, sim.now_ - job.startedAt_);
        job.firstTokenAt_ += frozenFor;
        job.endsAt_ += frozenFor;
        if (!sim.requests_[job.request_].timeToFirstToken_)
            schedule(sim, job.firstTokenAt_, SimEventKind::FirstToken, job.request_, job.attempt_);
        schedule(sim, job.endsAt_, SimEventKind::End, job.request_, job.attempt_);
    }
    startWaitingJobs(sim, 0);
}

/// Starts or ends the fault of the scenario on engine 0.
void onFault(Simulation &sim, bool starts)
{
    Engine &engine = sim.engines_[0];
    switch (sim.scenario_.fault_) {
    case Fault::None:
        return;
    case Fault::Dies:
        engine.alive_ = !starts;
        if (starts)
            failAllJobs(sim, 0);
        return;
    case Fault::Freezes:
        engine.frozen_ = starts;
        if (!starts)
            unfreezeEngine(sim);
        return;
    case Fault::SlowsDown:
        engine.slowdown_ = starts ? 4.0 : 1.0;
        return;
    }
}

/// Returns whether an event belongs to the running attempt of its request. A frozen engine emits no
/// events; the silence timeout still applies because the daemon measures it.
bool isCurrent(const Simulation &sim, const SimEvent &event)
{
    const SimRequest &request = sim.requests_[event.index_];
    if (request.done_ || !request.running_ || request.attempts_ != event.attempt_)
        return false;
    return event.kind_ == SimEventKind::SilenceTimeout || !sim.engines_[request.engine_].frozen_;
}

void handleEvent(Simulation &sim, const SimEvent &event)
{
    switch (event.kind_) {
    case SimEventKind::Arrive:
        onArrival(sim);
        return;
    case SimEventKind::FirstToken:
        if (isCurrent(sim, event))
            onFirstToken(sim, event.index_);
        return;
    case SimEventKind::End:
        if (isCurrent(sim, event))
            endAttempt(sim, event.index_, AttemptResult::Complete);
        return;
    case SimEventKind::SilenceTimeout:
        if (isCurrent(sim, event) && !sim.requests_[event.index_].timeToFirstToken_)
            endAttempt(sim, event.index_, AttemptResult::TimedOut);
        return;
    case SimEventKind::Poll:
        onPoll(sim, event.index_);
        return;
    case SimEventKind::Report:
        onReport(sim);
        return;
    case SimEventKind::ServeQueues:
        schedule(sim, sim.now_ + queueServeInterval, SimEventKind::ServeQueues);
        for (SimDaemon &daemon : sim.daemons_)
            serveQueue(sim, daemon);
        return;
    case SimEventKind::FaultStarts:
    case SimEventKind::FaultEnds:
        onFault(sim, event.kind_ == SimEventKind::FaultStarts);
        return;
    }
}

/// Counts measured requests that were refused although a later request of the same account on the
/// same daemon got its first token before the deadline of the refused one, which suggests that the
/// refused one could have been served in time. Iterates backwards to track the earliest such first
/// token.
void countSameAccountFalseRefusals(Simulation &sim)
{
    std::vector<MonoTime> earliest(daemonCount * sim.outcome_.byAccount_.size(), MonoTime::max());
    for (auto it = sim.requests_.rbegin(); it != sim.requests_.rend(); ++it) {
        MonoTime &earliestFirstToken
            = earliest[it->daemon_ * sim.outcome_.byAccount_.size() + it->account_];
        if (it->refused_ && isMeasured(sim, *it))
            sim.outcome_.falseRefusalsSameAccount_
                += earliestFirstToken <= it->arrivedAt_ + requestTimeout;
        if (it->timeToFirstToken_)
            earliestFirstToken = std::min(earliestFirstToken, it->answeredAt_);
    }
}

} // namespace

void sendRequest(Simulation &sim, std::size_t requestIndex, std::size_t engineIndex,
                 const Prediction &prediction)
{
    SimRequest &request = sim.requests_[requestIndex];
    SimDaemon &daemon = sim.daemons_[request.daemon_];
    ++request.attempts_;
    request.tried_.push_back(engineId(engineIndex));
    request.engine_ = engineIndex;
    request.sentAt_ = sim.now_;
    request.running_ = true;
    if (isMeasured(sim, request))
        ++sim.outcome_.attempts_;
    recordDispatch(daemon.routing_,
                   DispatchRecord {engineId(engineIndex),
                                   attemptId(requestIndex, request.attempts_), prediction,
                                   static_cast<std::uint32_t>(request.promptTokens_), true},
                   sim.now_);
    if (!sim.engines_[engineIndex].alive_) {
        endAttempt(sim, requestIndex, AttemptResult::NotSent);
        return;
    }
    const Millis silence = usesPrediction(sim)
        ? silenceLimit(daemon.routing_, engineId(engineIndex), prediction, 0, sim.now_)
        : baselineSilenceLimit;
    schedule(sim, sim.now_ + silence, SimEventKind::SilenceTimeout, requestIndex,
             request.attempts_);
    sim.engines_[engineIndex].waiting_.push_back(Job {requestIndex, request.attempts_,
                                                      request.promptTokens_, request.outputTokens_,
                                                      request.conversation_});
    startWaitingJobs(sim, engineIndex);
}

void schedule(Simulation &sim, MonoTime at, SimEventKind kind, std::size_t index,
              std::uint32_t attempt)
{
    sim.events_.push(SimEvent {at, ++sim.sequence_, kind, index, attempt});
}

MonoTime::duration toDuration(PreciseMicros time)
{
    return std::chrono::duration_cast<MonoTime::duration>(time);
}

UpstreamId engineId(std::size_t engineIndex)
{
    return UpstreamId {"e" + std::to_string(engineIndex)};
}

std::size_t parseEngineIndex(const UpstreamId &id)
{
    return std::stoul(id.value_.substr(1));
}

bool usesPrediction(const Simulation &sim)
{
    return sim.scenario_.policy_ == Policy::Predicted;
}

bool isMeasured(const Simulation &sim, const SimRequest &request)
{
    return request.arrivedAt_ >= sim.begin_ + warmUp;
}

void failRequest(Simulation &sim, std::size_t requestIndex)
{
    SimRequest &request = sim.requests_[requestIndex];
    request.done_ = true;
    if (!isMeasured(sim, request))
        return;
    if (request.attempts_ > 0)
        ++sim.outcome_.missed_;
    else
        ++sim.outcome_.expired_;
}

std::string_view policyName(Policy policy)
{
    switch (policy) {
    case Policy::RoundRobin:
        return "round robin";
    case Policy::LeastOutstanding:
        return "least outstanding";
    case Policy::TwoChoices:
        return "two random choices";
    case Policy::Predicted:
        return "predicted first token";
    }
    return "unknown";
}

std::string_view faultName(Fault fault)
{
    switch (fault) {
    case Fault::None:
        return "none";
    case Fault::Dies:
        return "dies";
    case Fault::Freezes:
        return "freezes";
    case Fault::SlowsDown:
        return "slows down fourfold";
    }
    return "unknown";
}

Outcome simulate(const Scenario &scenario)
{
    Simulation sim;
    sim.scenario_ = scenario;
    sim.random_.seed(scenario.seed_);
    buildFleet(sim);
    schedule(sim, sim.now_, SimEventKind::Arrive);
    schedule(sim, sim.now_, SimEventKind::ServeQueues);
    for (std::size_t i = 0; i < engineCount; ++i)
        schedule(sim, sim.now_ + Millis {20} * i, SimEventKind::Poll, i);
    schedule(sim, sim.begin_ + simulatedTime / 3, SimEventKind::FaultStarts);
    schedule(sim, sim.begin_ + simulatedTime * 2 / 3, SimEventKind::FaultEnds);
    while (sim.events_.top().at_ < sim.begin_ + simulatedTime) {
        const SimEvent event = sim.events_.top();
        sim.events_.pop();
        sim.now_ = event.at_;
        handleEvent(sim, event);
    }
    countSameAccountFalseRefusals(sim);
    return sim.outcome_;
}

} // namespace tamarack::bench
