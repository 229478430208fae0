// Load balancing: chooses the upstream instance with the lowest predicted time to first output.
//
// Daemons exchange no messages about individual requests. Each daemon predicts from its own
// requests, from observed times and from rendezvous hashing of prompt parts. The hashing makes all
// daemons of an availability zone choose the same engine for requests that share a prompt.
#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/instanceprocess.h"
#include "core/relay/config.h"
#include "core/relay/instancenotice.h"
#include "core/relay/instances.h"
#include "core/relay/prefillspeed.h"
#include "core/relay/request.h"
#include "core/time.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace tamarack {

struct InstanceLoads;

struct ChoiceSettings
{
    /// Prompt tokens that an engine is assumed to process per millisecond where no speed is
    /// learned, until observations of the instance correct the prediction.
    double prefillTokensPerMs_ = 40.0;
    /// Delay that each running request adds to the first output of the next one.
    PreciseMicros delayPerRequest_ {Millis {2}};
    /// Time that one request takes at a plain service; the wait for a free slot is estimated from
    /// it.
    PreciseMicros serviceTime_ {Millis {60}};
    /// Penalty for an instance in another availability zone: a constant and an amount per kilobyte
    /// of the request, because traffic between zones is charged.
    PreciseMicros otherZonePenalty_ {Millis {10}};
    PreciseMicros otherZonePenaltyPerKilobyte_ {Millis {5}};
    /// A prompt part is assumed to stay cached for this long after its last use.
    Millis cacheLifetime_ {Seconds {20}};
    /// From this many prompt parts of one instance on, those that are half as old are forgotten.
    std::size_t pruneCachedPartsFrom_ = 400;
    /// Maximum number of prompt parts remembered for one instance. The ones used longest ago are
    /// forgotten, and are expected not to be cached then.
    std::size_t maxCachedParts_ = 4096;
    /// Ejection time after a failure; it doubles with each further one up to maxEjectionTime_.
    Millis baseEjectionTime_ {250};
    Millis maxEjectionTime_ {4000};
    /// Consecutive failures after which an instance is ejected. An unreachable instance is ejected
    /// after one.
    std::uint32_t ejectAfterFailures_ = 3;
    /// Penalty for an instance that fails all its requests; scaled by the failure rate.
    PreciseMicros failurePenalty_ {Millis {1500}};
    /// An engine is too busy for a request that would wait for its first output longer than this
    /// fraction of the latency objective, apart from the processing of its own prompt.
    double maxWaitShare_ = 0.6;
    /// Initial and largest value of InstanceStats::maxWaiting_.
    double maxWaiting_ = 64.0;
    /// Factor by which maxWaiting_ is reduced when requests have waited too long.
    double waitingDecrease_ = 0.7;
    /// How long an instance that has said that it is leaving is used as a last resort.
    Millis leavingRetention_ {1500};
    /// How long it is remembered that an instance is leaving or accepts nothing.
    Millis withdrawalLifetime_ {3'600'000};
    /// Weight of the newest sample in the moving averages of the failure rate and the extra delay.
    double learningRate_ = 0.2;
    /// Time constant of the exponential decay of the extra delay of an unused instance.
    Millis delayLifetime_ {Seconds {3}};
    PrefillSpeedSettings speed_;
    /// How long a request holds its slot and memory at an engine, for the wait at a full one.
    Millis engineHoldTime_ {2000};
    /// Requests that all daemons send until their knowledge of each other's load is renewed, as a
    /// share of those that are running. A request chooses at random among the instances that these
    /// would fill: the knowledge is about 0.6 s old, and requests run for about engineHoldTime_.
    double renewedShare_ = 0.3;
    /// Instances whose scores differ by less than this always count as nearly equal.
    PreciseMicros minNearBest_ {Millis {1}};
};

/// @brief Statistics of an instance, collected from this daemon's requests.
///
/// Invariants: queuedPrefill_ >= 0; failureRate_ in [0, 1]; maxWaiting_ >= 1.
struct InstanceStats
{
    /// Requests of this daemon that have not ended.
    std::uint32_t running_ = 0;
    /// Uncached prompt tokens of this daemon's requests that have no output yet.
    Tokens queuedPrefill_;
    /// Prompt tokens, and output tokens at most, of this daemon's running requests.
    Tokens contextTokens_;
    /// Requests of this daemon that have no output yet.
    std::uint32_t waiting_ = 0;
    /// Limit on waiting_ for an engine. It grows while requests get their first output in time and
    /// shrinks when they don't (additive increase, multiplicative decrease), so that all daemons
    /// together keep the queue of the engine short.
    double maxWaiting_ = 64.0;
    /// When maxWaiting_ was last reduced.
    MonoTime maxWaitingReducedAt_ {};
    /// Moving average of the observed minus the predicted time to first output.
    PreciseMicros extraDelay_ {};
    MonoTime observedAt_ {};
    /// Learned from requests that found little queue. Unlike extraDelay_, it is kept for minutes.
    PrefillSpeed speed_;
    double failureRate_ = 0.0;
    std::uint32_t consecutiveFailures_ = 0;
    MonoTime ejectedUntil_ {};
    /// The last time that no connection could be established.
    std::optional<MonoTime> unreachableAt_;
    /// Another instance responded at this address.
    bool replaced_ = false;
    WallTime startedAt_ {};
    /// What the instance last stated about itself.
    InstanceNotice notice_;
    /// Prompt parts that this daemon sent to the engine, with the time of their last use.
    std::unordered_map<std::string, MonoTime> cachedParts_;
};

/// @brief An instance that accepts no requests, according to its own responses.
struct Withdrawal
{
    /// When it first said that it is leaving.
    std::optional<MonoTime> leavingSince_;
    /// It accepts no request from this daemon until then.
    MonoTime closedUntil_ {};
    MonoTime statedAt_ {};
};

struct ChoiceState
{
    std::map<UpstreamId, InstanceStats> instanceStats_;
    /// Kept apart from the statistics, which end when the entry of an instance expires: it may be
    /// back after a store outage.
    std::map<InstanceProcess, Withdrawal> withdrawals_;
};

/// @brief Input of chooseInstance() that depends on the request.
struct ChoiceQuery
{
    const RelayRequest *request_ = nullptr;
    const RelayService *service_ = nullptr;
    ZoneId zone_;
    /// Daemons in this zone, including this one. They share the zone's instances.
    std::uint32_t zoneDaemons_ = 1;
    /// Instances that must not be chosen, such as those that previous attempts were sent to.
    std::set<UpstreamId> excluded_;
    /// Engines with a full queue may be chosen.
    bool acceptsLongWait_ = false;
    /// Availability zones whose instances must not be chosen.
    std::set<ZoneId> excludedZones_ {};
    /// Connections that this daemon may open to one instance; each carries one request at a time.
    std::uint32_t maxConnections_ = std::numeric_limits<std::uint32_t>::max();
    /// Load of the other daemons; nullptr if the daemons don't share it. Learned speeds, slots and
    /// memory of engines are considered only with it.
    const InstanceLoads *load_ = nullptr;
    /// Software versions whose instances may be chosen; all if there is no value.
    std::optional<std::set<SoftwareVersion>> versions_ {};
};

/// @brief The chosen instance and the prediction for it.
struct Choice
{
    UpstreamId instance_;
    std::string address_;
    /// Predicted time to first output.
    PreciseMicros predicted_ {};
    /// Prompt tokens that are expected not to be cached.
    Tokens uncached_;
    bool sameZone_ = true;
    /// Prompt tokens per millisecond that the prediction is based on; 0 if it is not known.
    double prefillPerMs_ = 0.0;
    /// Prompt tokens of other requests that the engine was expected to process first.
    Tokens queued_ {};
    /// Part of the prediction that the running requests cause.
    PreciseMicros runningDelay_ {};
    /// Prompt tokens of the request, and its output tokens at most.
    Tokens contextTokens_ {};
};

/// @brief Chooses an instance of a service that is ready and not ejected.
/// @return std::nullopt if there is none
/// @note O(instances of the service x parts of the prompt)
std::optional<Choice> chooseInstance(const ChoiceState &state, const ChoiceSettings &settings,
                                     const InstanceDirectory &directory, const ChoiceQuery &query,
                                     MonoTime now);

/// @brief Records what an instance stated about itself in a response.
void recordNotice(ChoiceState &state, const ChoiceSettings &settings,
                  const InstanceProcess &process, const InstanceNotice &notice, MonoTime now);

/// @brief Returns the end of the time in which an instance accepts no request from this daemon, or
/// nothing if there is none.
std::optional<MonoTime> closedUntil(const ChoiceState &state, const InstanceProcess &process,
                                    MonoTime now);

/// @brief Returns true if an instance has said that it is leaving.
bool isLeaving(const ChoiceState &state, const InstanceProcess &process);

/// @brief Records that a request is sent to the chosen instance.
void recordSent(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                const RelayRequest &request, WallTime startedAt, MonoTime now);

/// @brief Records the first output of a request.
/// @param latencyObjective objective of the request if it was sent to an engine, otherwise 0
void recordFirstOutput(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                       PreciseMicros observed, Millis latencyObjective, MonoTime now);

/// @brief Outcome of an attempt as it concerns the instance.
enum class InstanceOutcome {
    Success,
    /// The instance responded with an error, closed the connection early or timed out.
    Failed,
    /// No connection could be established.
    Unreachable,
    /// The instance refused the request because it is full or stopping.
    Refused,
    /// Another instance responded at the address.
    Replaced,
    /// Says nothing about the instance, for example because the client disconnected.
    Neutral,
};

/// @brief Records the end of an attempt.
/// @param hadOutput recordFirstOutput() was called for the attempt
void recordEnded(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                 InstanceOutcome outcome, bool hadOutput, MonoTime now);

/// @brief Records that a request was given up after it had no output for @a waited.
/// @param latencyObjective objective of the request if it was sent to an engine, otherwise 0
void recordNoOutput(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                    PreciseMicros waited, Millis latencyObjective, MonoTime now);

/// @brief Checks the invariants of all instance statistics.
Result<void> checkInvariants(const ChoiceState &state);

} // namespace tamarack
