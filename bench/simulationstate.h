// State of the routing benchmark's event loop, shared by the loop and the policies.
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

struct SimEvent
{
    MonoTime at_ {};
    std::uint64_t sequence_ = 0;
    SimEventKind kind_ = SimEventKind::Arrive;
    std::size_t index_ = 0;
    std::uint32_t attempt_ = 0;

    bool operator>(const SimEvent &other) const
    {
        return std::tie(at_, sequence_) > std::tie(other.at_, other.sequence_);
    }
};

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
    std::size_t engine_ = 0;
    MonoTime sentAt_ {};
    std::optional<Micros> firstToken_;
    bool running_ = false;
    MonoTime answeredAt_ {};
    bool refused_ = false;
    bool done_ = false;
};

struct SimDaemon
{
    RoutingState routing_;
    AdmissionState admission_;
    std::size_t nextEngine_ = 0;
};

struct Report
{
    LoadReport load_;
    CacheEventBatch cache_;
};

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
    std::deque<Report> reports_;
    double arrivalsPerSecond_ = 0.0;
};

void schedule(Simulation &sim, MonoTime at, SimEventKind kind, std::size_t index = 0,
              std::uint32_t attempt = 0);
MonoTime::duration toDuration(PreciseMicros time);
UpstreamId engineId(std::size_t index);
std::size_t indexOf(const UpstreamId &id);
bool usesPrediction(const Simulation &sim);
/// True if the request arrived after the warm-up.
bool isMeasured(const Simulation &sim, const SimRequest &request);

/// Counts a request that was accepted and not answered in time.
void failRequest(Simulation &sim, std::size_t index);
/// Starts an attempt.
void sendRequest(Simulation &sim, std::size_t index, std::size_t engine,
                 const Prediction &prediction);

// Policies (simulationpolicies.cpp)

/// Sends a request to an engine, makes it wait or refuses it.
void route(Simulation &sim, std::size_t index);
/// Dispatches waiting requests of a daemon.
void serveQueue(Simulation &sim, SimDaemon &daemon);
bool mayRetry(Simulation &sim, SimRequest &request, AttemptResult result);

} // namespace tamarack::bench
