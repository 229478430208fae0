// Choice of an upstream instance: the one with the least predicted time to its first output.
//
// Daemons don't exchange messages about single requests. Each predicts from its own requests, from
// the times it has observed and from rendezvous hashing of prompt parts, which makes the daemons of
// an availability zone choose the same engine for requests that share a prompt.
#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/relay/config.h"
#include "core/relay/instances.h"
#include "core/relay/request.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace tamarack {

struct ChoiceSettings
{
    /// Prompt tokens that an engine reads in a millisecond before it was observed.
    double prefillTokensPerMs_ = 40.0;
    /// Delay that one running request adds to the first output of the next.
    PreciseMicros delayPerRequest_ {Millis {2}};
    /// Delay that one request adds at a service whose instances are full.
    PreciseMicros serviceTime_ {Millis {60}};
    /// Added for an instance in another availability zone, and for each kilobyte of the request:
    /// bytes between zones have a price.
    PreciseMicros otherZonePenalty_ {Millis {10}};
    PreciseMicros otherZonePenaltyPerKilobyte_ {Millis {5}};
    /// A part is taken to be cached for this long after its last use.
    Millis cacheLifetime_ {Seconds {20}};
    /// Largest number of parts remembered for one instance.
    std::size_t maxCachedParts_ = 400;
    /// Pause after a failure; it doubles with each further one.
    Millis baseEjectionTime_ {250};
    Millis maxEjectionTime_ {4000};
    /// Failures in a row after which an instance is left out. One is enough if nothing answers.
    std::uint32_t ejectAfterFailures_ = 3;
    /// Delay that counts for an instance that fails all its requests.
    PreciseMicros failurePenalty_ {Millis {1500}};
    /// Weight of the newest outcome in the failure share and of the newest time in the delay.
    double learningRate_ = 0.2;
    /// Time constant with which the learned delay of an unused instance fades.
    Millis delayLifetime_ {Seconds {3}};
};

/// @brief What this daemon learned of an instance.
///
/// Invariants: queuedPrefill_ >= 0; failureRate_ in [0, 1].
struct InstanceStats
{
    /// Own requests that have not ended.
    std::uint32_t running_ = 0;
    /// Prompt tokens of own requests without first output that the engine has to read.
    Tokens queuedPrefill_;
    /// Smoothed difference between observed and predicted time to first output.
    PreciseMicros extraDelay_ {};
    MonoTime observedAt_ {};
    double failureRate_ = 0.0;
    std::uint32_t consecutiveFailures_ = 0;
    MonoTime ejectedUntil_ {};
    /// Another instance answered at this address.
    bool replaced_ = false;
    WallTime startedAt_ {};
    /// Parts that own requests brought to the engine, with the time of their last use.
    std::unordered_map<std::string, MonoTime> cachedParts_;
};

struct ChoiceState
{
    std::map<UpstreamId, InstanceStats> instanceStats_;
};

/// @brief The request side of a choice.
struct ChoiceQuery
{
    const RelayRequest *request_ = nullptr;
    const RelayService *service_ = nullptr;
    ZoneId zone_;
    /// Daemons of this zone, which share the zone's instances with this one.
    std::uint32_t zoneDaemons_ = 1;
    /// Instances that the request was sent to before.
    std::set<UpstreamId> tried_;
};

/// @brief The chosen instance and what decided.
struct Choice
{
    UpstreamId instance_;
    std::string address_;
    /// Predicted time to first output.
    PreciseMicros predicted_ {};
    /// Prompt tokens that are expected not to be cached.
    Tokens uncached_;
    bool sameZone_ = true;
};

/// @brief Chooses an instance of a service that is ready and not ejected.
/// @return nothing if there is none
/// @note O(instances of the service x parts of the prompt)
std::optional<Choice> chooseInstance(const ChoiceState &state, const ChoiceSettings &settings,
                                     const InstanceDirectory &directory, const ChoiceQuery &query,
                                     MonoTime now);

/// @brief Records that a request is sent to the chosen instance.
void recordSent(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                const RelayRequest &request, WallTime startedAt, MonoTime now);

/// @brief Records the first output of a request.
void recordFirstOutput(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                       PreciseMicros observed, MonoTime now);

/// @brief How a request ended, as far as it tells about the instance.
enum class InstanceOutcome {
    Success,
    /// It answered with an error, broke off or stayed silent.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// It refused the request because it is full or leaving.
    Refused,
    /// Another instance answered.
    Replaced,
    /// Nothing is learned, for example because the client left.
    Neutral,
};

/// @brief Records the end of a request.
/// @param hadOutput recordFirstOutput() was called for it
void recordEnded(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                 InstanceOutcome outcome, bool hadOutput, MonoTime now);

/// @brief Checks the invariants of all records.
Result<void> checkInvariants(const ChoiceState &state);

} // namespace tamarack
