// Simulation state and helpers shared by the event handlers and the policies of the routing
// benchmark.
#pragma once

#include "enginemodel.h"
#include "routingsimulation.h"

#include <deque>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace tamarack::bench {

inline constexpr std::size_t engineCount = 20;
inline constexpr std::size_t daemonCount = 4;
/// Requests that arrive before this time are simulated but not counted.
inline constexpr Seconds warmUp {20};
inline constexpr Seconds requestTimeout {10};
inline const ModelId model {"m"};

enum class SimEventKind {
    Arrive,
    FirstToken,
    End,
    SilenceTimeout,
    Poll,
    Report,
    ServeQueues,
    FaultStarts,
    FaultEnds,
};

/// @brief One scheduled event.
struct SimEvent
{
    MonoTime at_ {};
    /// Orders events of the same time.
    std::uint64_t sequence_ = 0;
    SimEventKind kind_ = SimEventKind::Arrive;
    /// Index of the request, or of the engine for Poll.
    std::size_t index_ = 0;
    std::uint32_t attempt_ = 0;

    bool operator>(const SimEvent &other) const
    {
        return std::tie(at_, sequence_) > std::tie(other.at_, other.sequence_);
    }
};

/// @brief A request from arrival to its end.
struct SimRequest
{
    MonoTime arrivedAt_ {};
    std::size_t account_ = 0;
    std::size_t daemon_ = 0;
    double promptTokens_ = 0.0;
    double outputTokens_ = 0.0;
    std::uint64_t conversation_ = 0;
    std::uint32_t attempts_ = 0;
    std::vector<UpstreamId> tried_;
    /// Index of the engine of the last attempt.
    std::size_t engine_ = 0;
    MonoTime sentAt_ {};
    /// Time from the dispatch of the attempt to its first token.
    std::optional<Micros> timeToFirstToken_;
    bool running_ = false;
    MonoTime answeredAt_ {};
    bool refused_ = false;
    bool done_ = false;
};

/// @brief One daemon's routing and admission state.
struct SimDaemon
{
    RoutingState routing_;
    AdmissionState admission_;
    /// Position of the round-robin policy.
    std::size_t nextEngine_ = 0;
};

/// @brief Load and cache events of one engine at the time of a poll.
struct Report
{
    LoadReport load_;
    CacheEventBatch cache_;
};

/// @brief State of one run.
struct Simulation
{
    Scenario scenario_;
    Outcome outcome_;
    std::mt19937_64 random_;
    MonoTime now_ {Seconds {1000}};
    MonoTime begin_ = now_;
    std::uint64_t sequence_ = 0;
    std::priority_queue<SimEvent, std::vector<SimEvent>, std::greater<>> events_;
    std::vector<Engine> engines_;
    std::vector<SimDaemon> daemons_;
    std::vector<SimRequest> requests_;
    /// Reports on their way to the daemons, oldest first.
    std::deque<Report> reports_;
    double arrivalsPerSecond_ = 0.0;
};

/// Adds an event; events of the same time are handled in the order in which they were added.
void schedule(Simulation &sim, MonoTime at, SimEventKind kind, std::size_t index = 0,
              std::uint32_t attempt = 0);
MonoTime::duration toDuration(PreciseMicros time);
UpstreamId engineId(std::size_t engineIndex);
std::size_t parseEngineIndex(const UpstreamId &id);
/// True if the policy under test is the prediction-based one of the core.
bool usesPrediction(const Simulation &sim);
/// True if the request arrived after the warm-up.
bool isMeasured(const Simulation &sim, const SimRequest &request);

/// Ends a request that got no first token. Counts a measured request as missed if it was dispatched
/// at least once, otherwise as expired.
void failRequest(Simulation &sim, std::size_t requestIndex);
/// Starts an attempt of a request on an engine.
void sendRequest(Simulation &sim, std::size_t requestIndex, std::size_t engineIndex,
                 const Prediction &prediction);

// Policies (simulationpolicies.cpp)

/// Dispatches, queues or refuses a request.
void routeRequest(Simulation &sim, std::size_t requestIndex);
/// Ends expired requests in a daemon's queue and dispatches waiting ones while engines have
/// capacity.
void serveQueue(Simulation &sim, SimDaemon &daemon);
/// True if a failed attempt may be retried. Under the prediction-based policy, a retry after a sent
/// attempt is taken from the daemon's retry budget.
bool mayRetry(Simulation &sim, SimRequest &request, AttemptResult result);

} // namespace tamarack::bench
