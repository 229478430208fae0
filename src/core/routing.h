// Selects the upstream with the lowest predicted time to first token for a request.
#pragma once

#include "core/bundle.h"
#include "core/ids.h"
#include "core/prefixcache.h"
#include "core/retrybudget.h"
#include "core/time.h"
#include "core/upstreamreports.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief How an exchange with an upstream ended.
enum class AttemptResult {
    /// The response arrived with its protocol terminator.
    Complete,
    /// No byte of the request left this daemon.
    NotSent,
    /// The upstream rejected the request without running it.
    Rejected,
    /// The upstream responded with a server error.
    Failed,
    /// The response ended before its terminator.
    Truncated,
    /// The upstream sent no byte within the silence limit.
    TimedOut,
    /// The caller disconnected.
    Cancelled,
};

/// @brief Returns the stable code of a result, such as "timed_out".
std::string_view attemptResultCode(AttemptResult result);

/// @brief Sources that report an upstream as leaving. One of them is sufficient.
enum class LeavingSource : std::uint8_t {
    Health = 1,
    Refusal = 2,
    HostList = 4,
    Peers = 8,
};

/// @brief Limits and initial estimates of routing.
struct RoutingSettings
{
    /// Candidates evaluated per request. Larger groups are sampled at random.
    std::size_t sampleSize_ = 64;
    /// The choice is random among the candidates within this share of the best prediction, so that
    /// daemons with the same delayed reports do not all choose the same upstream.
    double tieShare_ = 0.1;
    Millis tieMargin_ {2};
    Millis otherZoneDelay_ {2};
    /// Added for an engine that has not loaded the model or the adapter.
    Millis modelLoadTime_ {30'000};
    Millis adapterLoadTime_ {1000};
    /// Estimates for an upstream without observations.
    PreciseMicros promptTokenTime_ {100.0};
    PreciseMicros outputTokenTime_ {20'000.0};
    PreciseMicros serviceTime_ {1'000'000.0};
    std::uint32_t slots_ = 32;
    /// Requests beyond its slots that an upstream may queue, as a share of the slots.
    double queueShare_ = 0.25;
    /// Share of the requests of other daemons that is assumed to end within one service time after
    /// a report. Without it, engines idle between reports while daemons hold requests back.
    double remoteCompletionShare_ = 0.5;
    /// Service times added to the learned silence limit to allow for the variance of waiting times.
    double silenceServiceTimes_ = 2.0;
    /// Older load reports are ignored.
    Millis maxReportAge_ {10'000};
    /// Half-life of the weight of observations of an idle upstream.
    Millis learnedHalfLife_ {30'000};
    /// Bounds of the learned silence limits.
    Millis minSilenceLimit_ {1000};
    Millis maxSilenceLimit_ {60'000};
    /// Silence limit of an upstream that has not responded yet.
    Millis firstSilenceLimit_ {5000};
    std::uint32_t failuresBeforeEjection_ = 3;
    Millis minEjection_ {2000};
    Millis maxEjection_ {60'000};
    /// Consecutive failed health checks before an upstream is ejected.
    std::uint32_t missedPolls_ = 2;
    /// Successes after which a readmitted upstream counts as recovered.
    std::uint32_t successesToRecover_ = 16;
    /// Pause after a rejection before the next request to the same upstream.
    Millis rejectionBackoff_ {250};
};

/// @brief Requirements of a request on an upstream.
struct RouteQuery
{
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    ModelId model_;
    ServiceId service_;
    ZoneId zone_;
    /// Upstreams that this request has already tried.
    std::vector<UpstreamId> tried_;
    AdapterId adapter_;
    ModelVersionId version_;
    /// Only upstreams of this software version are considered, if it is set.
    std::optional<SoftwareVersion> softwareVersion_ {};
    /// Estimated prompt length in tokens.
    std::uint32_t promptTokens_ = 0;
    /// Hashes of the prompt from its start to the end of each block.
    std::vector<std::uint64_t> promptBlocks_;
    /// Only an idempotent request may probe an upstream that failed recently.
    bool idempotent_ = true;
};

/// @brief Predicted time to first token and its inputs.
struct Prediction
{
    PreciseMicros firstToken_ {};
    /// Part of firstToken_ spent waiting for other requests.
    PreciseMicros wait_ {};
    /// Requests of all daemons at the upstream.
    double outstanding_ = 0.0;
    /// Part of the prompt that is probably cached, from 0 to 1.
    double cacheMatch_ = 0.0;
    bool otherZone_ = false;
};

/// @brief Speed of an upstream, learned from exchanges with it.
struct LearnedSpeed
{
    PreciseMicros promptToken_ {};
    PreciseMicros outputToken_ {};
    /// Time that a request occupies the upstream.
    PreciseMicros service_ {};
    /// Smoothed natural logarithm of the ratio of observed to predicted time to first token.
    /// Corrects for wrong load reports and changes of speed.
    double correction_ = 0.0;
    std::uint32_t samples_ = 0;
    MonoTime updatedAt_ {};
};

/// @brief An exchange that has not produced its first token yet.
struct PendingFirstToken
{
    AttemptId attempt_;
    MonoTime sentAt_ {};
    Prediction prediction_;
    std::uint32_t promptTokens_ = 0;
    /// False if the first token is only known when the exchange ends.
    bool reported_ = false;
};

/// @brief A change of this daemon's requests in flight at an upstream.
struct InFlightChange
{
    MonoTime at_ {};
    std::int32_t change_ = 0;
};

/// @brief What this daemon knows about one upstream.
///
/// Invariant: pendingFirstTokens_ is sorted by sentAt_; its size is at most the number of attempts
/// in flight.
struct UpstreamState
{
    UpstreamId id_;
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    HostId host_;
    ZoneId zone_;
    /// False if the current bundle does not contain the upstream.
    bool inBundle_ = false;
    SoftwareVersion softwareVersion_ {};

    std::uint32_t inFlight_ = 0;
    std::deque<InFlightChange> inFlightChanges_;
    std::vector<PendingFirstToken> pendingFirstTokens_;
    LearnedSpeed speed_;

    std::optional<LoadReport> report_;
    /// This daemon's requests in flight when the report was requested.
    std::uint32_t ownAtReport_ = 0;
    std::uint32_t learnedSlots_ = 0;

    /// Bit set of LeavingSource.
    std::uint8_t leaving_ = 0;
    std::uint32_t missedPolls_ = 0;
    std::uint32_t consecutiveFailures_ = 0;
    /// Not a candidate before this time.
    MonoTime ejectedUntil_ {};
    /// Ejections since the last recovery; each one doubles the duration of the next.
    std::uint32_t ejections_ = 0;
    /// Successes left until the upstream has recovered; limits its requests in flight.
    std::uint32_t probesLeft_ = 0;
    MonoTime busyUntil_ {};
};

/// @brief Upstreams that serve the same model or service, in random order.
struct UpstreamGroup
{
    std::vector<UpstreamIndex> members_;
};

/// @brief Routing state of all upstreams.
///
/// Invariant: byId_ maps each upstreams_[i].id_ to i; groups contain valid indexes only.
struct RoutingState
{
    RoutingSettings settings_;
    std::vector<UpstreamState> upstreams_;
    std::unordered_map<UpstreamId, UpstreamIndex> byId_;
    std::unordered_map<ModelId, UpstreamGroup> byModel_;
    std::unordered_map<ServiceId, UpstreamGroup> byService_;
    BundleVersion indexed_;
    /// Average over all upstreams, used for those that have not responded yet.
    LearnedSpeed average_;
    CacheIndex cache_;
    std::mt19937_64 random_;
};

enum class RouteOutcome {
    Chosen,
    /// Upstreams are available, but all of them are at capacity.
    AllFull,
    NoUpstream,
};

/// @brief Result of a selection.
struct RouteChoice
{
    RouteOutcome outcome_ = RouteOutcome::NoUpstream;
    /// Set if outcome_ is Chosen.
    UpstreamId upstream_;
    /// Prediction for the chosen upstream, or the best one among those at capacity.
    Prediction prediction_;
    /// The request probes an upstream that failed recently.
    bool probe_ = false;
    /// Every available candidate is ejected, so the best ejected one is tried.
    bool lastResort_ = false;
    std::uint32_t considered_ = 0;
};

/// @brief Rebuilds the index of candidates for a bundle. Learned state of upstreams is kept.
/// @note O(upstreams * models per upstream)
void indexUpstreams(RoutingState &state, const Bundle &bundle);

/// @brief Selects an upstream.
/// @note O(evaluated candidates), at most RoutingSettings::sampleSize_ unless all of them are at
/// capacity
RouteChoice chooseUpstream(RoutingState &state, const RouteQuery &query, MonoTime now);

/// @brief Returns the state of an upstream, or nullptr if no bundle has contained it.
UpstreamState *findUpstream(RoutingState &state, const UpstreamId &upstream);

// Prediction and learning (routingprediction.cpp)

/// @brief Predicts the time to first token at one upstream.
/// @param cacheMatch part of the prompt that is probably cached, from 0 to 1
Prediction predict(const RoutingState &state, const UpstreamState &upstream,
                   const RouteQuery &query, double cacheMatch, MonoTime now);

/// @brief Returns the requests of all daemons at the upstream: the last report, corrected by this
/// daemon's changes since then.
double outstanding(const RoutingSettings &settings, const UpstreamState &upstream, MonoTime now);

/// @brief Like outstanding(), less the requests of other daemons that have probably ended since the
/// report.
double expectedOutstanding(const RoutingState &state, const UpstreamState &upstream, MonoTime now);

/// @brief Returns the number of requests that the upstream runs concurrently, as reported or
/// learned.
std::uint32_t slotsOf(const RoutingSettings &settings, const UpstreamState &upstream);

/// @brief Returns the time without a byte after which an exchange times out.
/// @param maxOutput tokens that the upstream may compute before it sends a byte; 0 for streams
Millis silenceLimit(const RoutingState &state, const UpstreamId &upstream,
                    const Prediction &prediction, std::uint32_t maxOutput, MonoTime now);

/// @brief Start of an exchange.
struct DispatchRecord
{
    UpstreamId upstream_;
    AttemptId attempt_;
    Prediction prediction_;
    std::uint32_t promptTokens_ = 0;
    /// The traffic thread reports the first token when it arrives.
    bool firstTokenAwaited_ = false;
};

/// @brief Records the start of an exchange.
void recordDispatch(RoutingState &state, const DispatchRecord &record, MonoTime now);

/// @brief Records the first token of a response.
/// @param after time since the request was sent
void recordFirstToken(RoutingState &state, const UpstreamId &upstream, const AttemptId &attempt,
                      Micros after, MonoTime now);

/// @brief End of an exchange.
struct AttemptRecord
{
    UpstreamId upstream_;
    AttemptId attempt_;
    AttemptResult result_ = AttemptResult::Complete;
    /// Time from sending to the first token, if one arrived.
    std::optional<Micros> firstToken_;
    /// Time from sending to the end.
    Micros duration_ {};
    std::uint32_t outputTokens_ = 0;
    /// The upstream rejected the request because it is leaving.
    bool upstreamLeaving_ = false;
};

/// @brief Records the end of an exchange.
void recordAttemptEnd(RoutingState &state, const AttemptRecord &record, MonoTime now);

/// @brief Records a load report. Ignores a report that is older than the last one.
void recordLoadReport(RoutingState &state, const LoadReport &report, MonoTime now);

// Health (routinghealth.cpp)

/// @brief Whether an upstream is a candidate.
enum class Availability {
    Free,
    /// Readmitted, with fewer requests in flight than its probe limit.
    Probing,
    Full,
    Ejected,
    Excluded,
};

Availability availability(const RoutingState &state, const UpstreamState &upstream, MonoTime now);

/// @brief Counts a success or failure and ejects or readmits the upstream.
void recordOutcome(RoutingState &state, UpstreamState &upstream, AttemptResult result,
                   MonoTime now);

/// @brief Applies the result of a health check.
void recordHealth(RoutingState &state, const UpstreamId &upstream, UpstreamHealth health,
                  MonoTime now);

/// @brief Sets or clears the leaving state that one source reports.
void setLeaving(RoutingState &state, const UpstreamId &upstream, LeavingSource source, bool leaving,
                MonoTime now);

/// @brief Like setLeaving(), for all upstreams on a host.
void setHostLeaving(RoutingState &state, const HostId &host, LeavingSource source, bool leaving,
                    MonoTime now);

} // namespace tamarack
