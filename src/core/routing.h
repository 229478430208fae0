// Choice of an upstream for a request: the one with the least predicted time to first token.
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
    /// The answer arrived with its protocol terminator.
    Complete,
    /// No byte of the request left this daemon.
    NotSent,
    /// The upstream refused the request without running it.
    Rejected,
    /// The upstream answered with a server error.
    Failed,
    /// The answer ended before its terminator.
    Truncated,
    /// The upstream stayed silent for too long.
    TimedOut,
    /// The caller went away.
    Cancelled,
};

/// @brief Returns the stable code of a result, such as "timed_out".
std::string_view attemptResultCode(AttemptResult result);

/// @brief Who said that an upstream is leaving. Any of them is enough.
enum class LeavingSource : std::uint8_t {
    Health = 1,
    Refusal = 2,
    HostList = 4,
    Peers = 8,
};

/// @brief Limits and starting values of routing.
struct RoutingSettings
{
    /// All candidates are looked at up to this number, a random sample of this size above it.
    std::size_t sampleSize_ = 64;
    /// One of the candidates within this share of the best prediction is taken at random, so that
    /// daemons with the same lagging reports do not all choose the same upstream.
    double tieShare_ = 0.1;
    Millis tieMargin_ {2};
    Millis otherZoneDelay_ {2};
    /// Added for an engine that has not loaded the model or the adapter.
    Millis modelLoadTime_ {30'000};
    Millis adapterLoadTime_ {1000};
    /// Assumed until an upstream has answered.
    PreciseMicros promptTokenTime_ {100.0};
    PreciseMicros outputTokenTime_ {20'000.0};
    PreciseMicros serviceTime_ {1'000'000.0};
    std::uint32_t slots_ = 32;
    /// Requests beyond the slots that an upstream may queue, as a share of the slots.
    double queueShare_ = 0.25;
    /// Part of the requests of other daemons that is assumed to end within one service time after a
    /// report. Without it, engines run dry between reports while daemons hold requests back.
    double foreignDrain_ = 0.5;
    /// Service times that are added to the learned silence limit for the spread of waiting times.
    double silenceServiceTimes_ = 2.0;
    /// Older load reports are ignored.
    Millis reportLifetime_ {10'000};
    /// What was learned about an idle upstream loses half of its weight in this time.
    Millis learnedHalfLife_ {30'000};
    /// Bounds of the learned silence limits.
    Millis minSilenceLimit_ {1000};
    Millis maxSilenceLimit_ {60'000};
    /// Silence limit of an upstream that has not answered yet.
    Millis firstSilenceLimit_ {5000};
    std::uint32_t failuresBeforeEjection_ = 3;
    Millis minEjection_ {2000};
    Millis maxEjection_ {60'000};
    /// Health polls without an answer before an upstream is passed over.
    std::uint32_t missedPolls_ = 2;
    /// A readmitted upstream counts as recovered at this many successes.
    std::uint32_t successesToRecover_ = 16;
    /// No new request after a refusal, unless the upstream says otherwise.
    Millis busyTime_ {250};
};

/// @brief What a request needs from an upstream.
struct RouteQuery
{
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    ModelId model_;
    ServiceId service_;
    ZoneId zone_;
    /// Upstreams that this request has tried already.
    std::vector<UpstreamId> tried_;
    AdapterId adapter_;
    ModelVersionId version_;
    /// Estimate of the prompt's length, in tokens.
    std::uint32_t promptTokens_ = 0;
    /// Hashes of the prompt from its start to the end of each block.
    std::vector<std::uint64_t> promptBlocks_;
    /// Only an idempotent request may probe an upstream that failed recently.
    bool idempotent_ = true;
};

/// @brief Predicted time to first token and its reasons.
struct Prediction
{
    PreciseMicros firstToken_ {};
    /// Part of firstToken_ that the request waits for other requests.
    PreciseMicros wait_ {};
    /// Requests of all daemons at the upstream.
    double outstanding_ = 0.0;
    /// Part of the prompt that is probably cached, 0 to 1.
    double cacheMatch_ = 0.0;
    bool otherZone_ = false;
};

/// @brief Speed of an upstream, learned from exchanges with it.
struct LearnedSpeed
{
    PreciseMicros promptToken_ {};
    PreciseMicros outputToken_ {};
    /// How long a request occupies the upstream.
    PreciseMicros service_ {};
    /// Natural logarithm of observed time to first token over predicted time, smoothed. It corrects
    /// for wrong load reports and for changes of speed.
    double correction_ = 0.0;
    std::uint32_t samples_ = 0;
    MonoTime updatedAt_ {};
};

/// @brief A request that was sent and has not been answered with a first token.
struct AwaitedToken
{
    AttemptId attempt_;
    MonoTime sentAt_ {};
    Prediction prediction_;
    std::uint32_t promptTokens_ = 0;
    /// False if the first token is only known when the exchange ends.
    bool reported_ = false;
};

/// @brief A change of our own requests in flight at an upstream.
struct InFlightChange
{
    MonoTime at_ {};
    std::int32_t change_ = 0;
};

/// @brief What this daemon knows about one upstream.
///
/// Invariant: awaited_ is sorted by sentAt_; its size is at most the attempts in flight.
struct UpstreamState
{
    UpstreamId id_;
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    HostId host_;
    ZoneId zone_;
    /// False if the bundle in force does not name the upstream any more.
    bool inBundle_ = false;

    std::uint32_t inFlight_ = 0;
    std::deque<InFlightChange> changes_;
    std::vector<AwaitedToken> awaited_;
    LearnedSpeed speed_;

    std::optional<LoadReport> report_;
    /// Our own requests in flight when the report was asked for.
    std::uint32_t ownAtReport_ = 0;
    std::uint32_t learnedSlots_ = 0;

    /// Set of LeavingSource.
    std::uint8_t leaving_ = 0;
    std::uint32_t missedPolls_ = 0;
    std::uint32_t consecutiveFailures_ = 0;
    /// Not a candidate before this time.
    MonoTime ejectedUntil_ {};
    /// Ejections without a recovery in between; each doubles the next one's time.
    std::uint32_t ejections_ = 0;
    /// Successes that are missing until the upstream has recovered; limits its requests in flight.
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
/// Invariant: bySlot_ maps each upstreams_[i].id_ to i; groups hold valid slots only.
struct RoutingState
{
    RoutingSettings settings_;
    std::vector<UpstreamState> upstreams_;
    std::unordered_map<UpstreamId, UpstreamIndex> byId_;
    std::unordered_map<ModelId, UpstreamGroup> byModel_;
    std::unordered_map<ServiceId, UpstreamGroup> byService_;
    BundleVersion indexed_;
    /// Average over all upstreams, for those that have not answered yet.
    LearnedSpeed average_;
    CacheIndex cache_;
    std::mt19937_64 random_;
};

enum class RouteOutcome {
    Chosen,
    /// Upstreams are live, but none takes another request now.
    AllFull,
    NoUpstream,
};

/// @brief The result of a choice.
struct RouteChoice
{
    RouteOutcome outcome_ = RouteOutcome::NoUpstream;
    /// Set if outcome_ is Chosen.
    UpstreamId upstream_;
    /// Of the chosen upstream, or the best of those that are full.
    Prediction prediction_;
    /// The request tests an upstream that failed recently.
    bool probe_ = false;
    /// Every live candidate is ejected, so an ejected one is tried.
    bool lastResort_ = false;
    std::uint32_t considered_ = 0;
};

/// @brief Builds the index of candidates for a bundle and keeps what is known about its upstreams.
/// @note O(upstreams * models of each)
void indexUpstreams(RoutingState &state, const Bundle &bundle);

/// @brief Chooses an upstream.
/// @note O(candidates looked at), at most RoutingSettings::sampleSize_ unless all of them are full
RouteChoice chooseUpstream(RoutingState &state, const RouteQuery &query, MonoTime now);

/// @brief Returns the state of an upstream, or nothing if no bundle has named it.
UpstreamState *findUpstream(RoutingState &state, const UpstreamId &upstream);

// Learning (routinglearn.cpp)

/// @brief Predicts the time to first token at one upstream.
/// @param cacheMatch part of the prompt that is probably cached
Prediction predict(const RoutingState &state, const UpstreamState &upstream,
                   const RouteQuery &query, double cacheMatch, MonoTime now);

/// @brief Requests of all daemons at the upstream: the last report, corrected by our own changes.
double outstanding(const RoutingSettings &settings, const UpstreamState &upstream, MonoTime now);

/// @brief The same, less those of other daemons that have probably ended since the report.
double expectedOutstanding(const RoutingState &state, const UpstreamState &upstream, MonoTime now);

/// @brief Requests that the upstream runs at once, as reported or learned.
std::uint32_t slotsOf(const RoutingSettings &settings, const UpstreamState &upstream);

/// @brief Returns the silence after which an exchange is given up.
/// @param maxOutput tokens that the upstream may compute before it sends a byte; 0 for streams
Millis silenceLimit(const RoutingState &state, const UpstreamId &upstream,
                    const Prediction &prediction, std::uint32_t maxOutput, MonoTime now);

/// @brief A dispatched exchange.
struct DispatchRecord
{
    UpstreamId upstream_;
    AttemptId attempt_;
    Prediction prediction_;
    std::uint32_t promptTokens_ = 0;
    /// The traffic thread reports the first token when it arrives.
    bool firstTokenAwaited_ = false;
};

/// @brief Records that an exchange starts.
void recordDispatch(RoutingState &state, const DispatchRecord &note, MonoTime now);

/// @brief Records the first token of an answer.
/// @param after time since the request was sent
void recordFirstToken(RoutingState &state, const UpstreamId &upstream, const AttemptId &attempt,
                      Micros after, MonoTime now);

/// @brief An exchange that ended.
struct AttemptRecord
{
    UpstreamId upstream_;
    AttemptId attempt_;
    AttemptResult result_ = AttemptResult::Complete;
    /// From sending to the first token, if one came.
    std::optional<Micros> firstToken_;
    /// From sending to the end.
    Micros duration_ {};
    std::uint32_t outputTokens_ = 0;
    /// The upstream refused because it is leaving.
    bool upstreamLeaving_ = false;
};

/// @brief Records how an exchange ended.
void recordAttemptEnd(RoutingState &state, const AttemptRecord &note, MonoTime now);

/// @brief Takes over a load report; an older one than the last is ignored.
void recordLoadReport(RoutingState &state, const LoadReport &report, MonoTime now);

// Health (routinghealth.cpp)

/// @brief Why an upstream is or is not a candidate.
enum class Availability {
    Free,
    /// Readmitted and below its limit of probes.
    Probing,
    Full,
    Ejected,
    Gone,
};

Availability availability(const RoutingState &state, const UpstreamState &upstream, MonoTime now);

/// @brief Counts a success or failure and ejects or readmits the upstream.
void noteOutcome(RoutingState &state, UpstreamState &upstream, AttemptResult result, MonoTime now);

/// @brief Applies an upstream's health answer.
void noteHealth(RoutingState &state, const UpstreamId &upstream, UpstreamHealth health,
                MonoTime now);

/// @brief Records or withdraws what one source says about leaving.
void noteLeaving(RoutingState &state, const UpstreamId &upstream, LeavingSource source,
                 bool leaving, MonoTime now);

/// @brief The same for all upstreams on a host.
void noteHostLeaving(RoutingState &state, const HostId &host, LeavingSource source, bool leaving,
                     MonoTime now);

} // namespace tamarack
