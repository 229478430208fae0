// State machine of a relay daemon: routes, retries and refuses requests.
#pragma once

#include "core/error.h"
#include "core/relay/coldinstances.h"
#include "core/relay/coldpermits.h"
#include "core/relay/commands.h"
#include "core/relay/config.h"
#include "core/relay/documentsync.h"
#include "core/relay/evacuation.h"
#include "core/relay/events.h"
#include "core/relay/fleetmembers.h"
#include "core/relay/instancechoice.h"
#include "core/relay/instancelimits.h"
#include "core/relay/instanceload.h"
#include "core/relay/instances.h"
#include "core/relay/overload.h"
#include "core/relay/prepaid.h"
#include "core/relay/quarantine.h"
#include "core/relay/reachability.h"
#include "core/relay/request.h"
#include "core/relay/servedversions.h"
#include "core/relay/streamorigins.h"
#include "core/relay/takeovers.h"
#include "core/retrybudget.h"
#include "core/time.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief Limit on the retries of all daemons together, for each service.
struct SharedRetryLimit
{
    /// Retries per request.
    double share_ = 0.2;
    /// Additional retries of all daemons together per window.
    double extra_ = 50.0;
    Millis window_ {Seconds {10}};
};

struct RelaySettings
{
    HostId host_;
    ZoneId zone_;
    /// Processing capacity of this host in thousandths of a processor core; 0 if unknown.
    std::uint32_t capacity_ = 0;
    ChoiceSettings choice_;
    PrepaidSettings prepaid_;
    DocumentSyncSettings sync_;
    SharedRetryLimit retries_;
    OverloadSettings overload_;
    QuarantineSettings quarantine_;
    QuarantineSettings requestQuarantine_ = requestQuarantineSettings();
    RequestLimitSettings limits_;
    FleetMemberSettings members_;
    LoadSettings load_;
    /// Number of live daemons from which on they tell each other the load that they cause at the
    /// instances, and balance by it; 0 if they never do.
    std::uint32_t shareLoadFrom_ = 0;
    ColdPermitSettings cold_;
    ReachabilitySettings reachability_;
    TakeoverSettings takeovers_;
    StreamOriginSettings origins_;
    ServedVersionSettings versions_;
    /// How long after the start of a process its entry may be known here, beside an outage of the
    /// store. An entry lapses after three missed renewals, 3.6 s.
    Millis maxEntryDelay_ {5000};
    /// How long a stream of unknown origin waits for the record of the versions.
    Millis recordWait_ {400};
    /// How long this daemon may accept no connections and still say that it is ready.
    Millis maxAcceptPause_ {500};
    /// Interval at which the served versions are noted if no entry changes.
    Millis versionNoteInterval_ {2000};
    /// Permits that are requested from other daemons for one request. After that, it uses only
    /// instances without a limit.
    std::uint32_t maxPermitRequests_ = 3;
    /// Fraction of the shared retry limit that the daemons use. The rest is a margin for outdated
    /// daemon counts.
    double retryMargin_ = 0.7;
    /// How long an instance whose entry is missing is used as a last resort, from the earliest time
    /// at which the entry may have been removed.
    Millis missingRetention_ {1500};
    /// Batching delay of instance changes from the store. Longer than that of configurations,
    /// because the responses of an instance also report its state.
    Millis instanceBatchDelay_ {400};
    /// Entries may have expired during a store outage of this duration. They expire after three
    /// missed renewals, about 3.6 s.
    Millis minOutage_ {3000};
    /// An evacuation that the store has lost with its return from a copy ends after this time
    /// unless it is written again.
    Millis evacuationSettleTime_ {4000};
    /// How long a daemon that doesn't know of an evacuation asks for no permit for an instance of
    /// the zone after a denial.
    Millis evacuationDenial_ {500};
    /// Region of each availability zone.
    std::map<ZoneId, RegionId> regions_;
    Millis connectTimeout_ {300};
    /// Longest time without requests to an instance that may refuse only few, after it has refused
    /// one.
    Millis maxBrittlePause_ {4000};
    /// Fraction of the latency objective for which a request waits for tokens while the ledger is
    /// available.
    double tokenWaitShare_ = 0.5;
    /// Fraction of the latency objective for which a request waits for an instance.
    double instanceWaitShare_ = 0.125;
    /// A retryable request without output is sent to another instance after this multiple of the
    /// latency objective.
    double silenceTimeoutObjectives_ = 2.0;
    /// No retry is started with less time left than this.
    Millis minRetryTime_ {100};
    /// Minimum Retry-After; the value is spread between it and twice as much.
    Millis retryAfter_ {250};
    /// Minimum Retry-After while this daemon stops: others can take the request at once.
    Millis retryAfterStopping_ {50};
    /// Minimum Retry-After while the ledger is unavailable; outages last longer.
    Millis retryAfterOutage_ {4000};
    /// Maximum Retry-After as a fraction of the time the client has left.
    double retryAfterShare_ = 0.3;
    /// Fraction of an upstream's connections that is divided among the daemons.
    double connectionShare_ = 0.8;
    /// How long a stopping daemon still accepts connections, because new connections still reach
    /// it.
    Millis stopAcceptPeriod_ {3000};
    /// A stopping daemon ends the requests that still run this long before its deadline. After the
    /// delivery of their responses, the log may take 200 ms to be written.
    Millis stopMargin_ {700};
    /// How long the responses to these requests may take until they are delivered. The daemon exits
    /// then.
    Millis stopDeliveryTime_ {300};
};

enum class RelayStage {
    /// Other daemons, or the store, were asked where the stream began that the request continues.
    AwaitingOrigin,
    AwaitingTokens,
    AwaitingInstance,
    /// The chosen instance has a request limit, and its coordinator was asked for a permit.
    AwaitingPermit,
    /// An attempt is in progress.
    Sent,
};

/// @brief A permit that was requested from another daemon.
struct AwaitedPermit
{
    std::uint64_t number_ = 0;
    HostId coordinator_;
    InstanceProcess process_;
    Choice choice_;
    ServiceId service_;
    MonoTime requestedAt_ {};
    /// The permit was requested because the instance is cold.
    bool isCold_ = false;
};

/// @brief A request whose response has not ended.
struct RelayedRequest
{
    RelayRequest request_;
    /// Configuration at admission; route_ points into it.
    std::shared_ptr<const RelayConfig> config_;
    const RelayRoute *route_ = nullptr;
    AccountId account_;
    /// 0 is the most urgent; see urgencyOf().
    int urgency_ = 0;
    RelayStage stage_ = RelayStage::AwaitingTokens;
    std::optional<Reservation> reserved_;
    std::uint32_t attempts_ = 0;
    std::set<UpstreamId> tried_;
    /// Regions that the route and the account allow; nothing if all are allowed.
    std::optional<std::set<RegionId>> allowedRegions_;
    /// The request was counted in RelayState::evacuationSkips_, or need not be.
    bool evacuationSkipChecked_ = false;
    std::optional<Choice> choice_;
    /// The last attempt has not ended.
    bool attemptRunning_ = false;
    /// The outcome of the last attempt was recorded, although it may still respond.
    bool outcomeRecorded_ = false;
    ServiceId service_;
    /// Set in stage AwaitingPermit.
    std::optional<AwaitedPermit> awaitedPermit_;
    std::uint32_t permitRequests_ = 0;
    /// Where the stream of this request began; it continues only there.
    std::optional<ServedVersion> origin_;
    /// The version that each attempt was sent to.
    std::map<std::uint32_t, ServedVersion> attemptVersions_;
    /// Set in stage AwaitingOrigin: the daemons that have not replied, or else the record of the
    /// versions is awaited.
    std::set<HostId> originAsked_;
    /// Other daemons were told where the stream began.
    bool streamTold_ = false;
    /// The daemon that the last attempt was handed to.
    std::optional<HostId> peer_;
    std::set<HostId> triedPeers_;
    /// The stream began at another daemon's instance, so only a daemon that finds out which one it
    /// was may continue it.
    bool beganAtPeer_ = false;
    /// Attempts that may have run.
    std::uint32_t attemptsUsed_ = 0;
    MonoTime sentAt_ {};
    /// When the process that the request was sent to had started.
    WallTime instanceStartedAt_ {};
    bool outputStarted_ = false;
    std::optional<MonoTime> firstOutputAt_;
    /// Identifies requests with the same account and content.
    SuspectId identity_;
    /// The request tests whether it or one of its prompt parts still crashes instances.
    bool isTrial_ = false;
    /// An upstream may have started the request.
    bool mayHaveRun_ = false;
    std::uint64_t events_ = 0;
    /// The number of output tokens sent to the client is unknown; the maximum is charged.
    bool outputUnknown_ = false;
    MonoTime deadline_ {};
    /// When the wait of the current stage ends, if it is limited.
    std::optional<MonoTime> stageDeadline_;
    std::optional<MonoTime> timer_;
};

/// @brief Counts of streams since the start.
struct ResumedStreamCounts
{
    /// Taken up by a client, and the version that began them is known.
    std::uint64_t known_ = 0;
    /// Taken up by a client, and refused because that version is not known.
    std::uint64_t unknown_ = 0;
    /// Ended because no instance of the version was left.
    std::uint64_t gone_ = 0;
};

/// @brief Complete control state of a relay daemon.
///
/// Invariants: timers_ holds exactly the timers of active_; the configuration's version never
/// decreases.
struct RelayState
{
    RelaySettings settings_;
    std::shared_ptr<const RelayConfig> config_;
    /// Distinct priorities of the configuration.
    std::set<int> priorities_;
    InstanceDirectory directory_;
    bool instancesListed_ = false;
    StoreEra storeEra_;
    ChoiceState choice_;
    PrepaidState prepaid_;
    std::map<ServiceId, RetryBudget> retries_;
    /// Of prompt parts, and of whole requests.
    Quarantine quarantine_;
    Quarantine requestQuarantine_ = makeQuarantine(QuarantineScope::Requests);
    InstanceLimits limits_;
    Evacuations evacuations_;
    /// Requests since the start whose best instance was in an evacuated zone.
    std::uint64_t evacuationSkips_ = 0;
    ColdInstances cold_;
    ColdPermits coldPermits_;
    Reachability reachability_;
    Takeovers takeovers_;
    StreamOrigins origins_;
    /// Services whose streams are told to keepers: the record of the versions would not settle
    /// where they began.
    std::set<ServiceId> keptServices_;
    ServedVersions versions_;
    MonoTime versionsNotedAt_ {};
    /// What other daemons were last told.
    ConfirmedVersions publishedVersions_;
    ResumedStreamCounts resumedStreams_;
    InstanceLoads loads_;
    /// This daemon shares its load, as it was last logged.
    bool sharesLoad_ = false;
    /// Replies to other daemons tell the load of this daemon and of those that reported theirs.
    bool loadsPublished_ = false;
    /// The parts and requests whose quarantine was logged as begun.
    std::set<SuspectId> quarantinedParts_;
    std::set<SuspectId> quarantinedRequests_;
    std::map<ExchangeId, RelayedRequest> active_;
    std::set<std::pair<MonoTime, ExchangeId>> timers_;
    FleetMembers members_;
    /// The members that count, as they were last told to the parts of this state.
    FleetView fleet_;
    FleetCounts loggedFleet_;
    DocumentSync sync_;
    /// What the threads that call the store were last told.
    bool followsStore_ = true;
    /// As logged.
    bool storeReplyOverdue_ = false;
    bool storeContact_ = true;
    Overload overload_;
    /// Set while the front end accepts no connections.
    std::optional<MonoTime> notAcceptingSince_;
    /// That has lasted for too long to be ready.
    bool refusesConnections_ = false;
    bool ready_ = false;
    bool keepsConnections_ = true;
    std::optional<MonoTime> stopRequestedAt_;
    MonoTime stopDeadline_ {};
    bool idleConnectionsClosed_ = false;
    /// All requests have ended, and the front end was told to close the client connections.
    bool clientsClosing_ = false;
    bool clientsClosed_ = false;
    bool stopCompleted_ = false;
};

using RelayCommands = std::vector<RelayCommand>;

/// @brief Handles one event.
/// @return the commands to execute, in order
/// @note O(instances x prompt parts) for a request, O(instances) for a listing
RelayCommands handleRelayEvent(RelayState &state, const RelayEvent &event, MonoTime now);

/// @brief Records how long an event waited for this thread; zero if none was waiting. Takes effect
/// with the next handleRelayEvent() or runDueWork().
void recordEventDelay(RelayState &state, PreciseMicros delay, MonoTime now);

/// @brief Records the bytes of requests and responses since the start. Takes effect with the next
/// handleRelayEvent() or runDueWork().
void recordTraffic(RelayState &state, const TrafficTotals &totals, MonoTime now);

/// @brief Handles expired timers and other work that is due at @a now.
RelayCommands runDueWork(RelayState &state, MonoTime now);

/// @brief Returns when runDueWork() has work to do next.
std::optional<MonoTime> nextDueTime(const RelayState &state);

/// @brief Checks the invariants of the state and its members.
Result<void> checkInvariants(const RelayState &state);

} // namespace tamarack
