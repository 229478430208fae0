// The control state machine of one daemon. It is the only writer of its state and does no I/O: it
// maps events and the current time to commands.
#pragma once

#include "core/admission.h"
#include "core/command.h"
#include "core/event.h"
#include "core/grants.h"
#include "core/home.h"
#include "core/membership.h"
#include "core/routing.h"
#include "core/shardcommit.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief Settings of one daemon.
struct ControlSettings
{
    HostId host_;
    HolderId holder_;
    ZoneId zone_;
    /// Prefix of all store keys, so that several fleets can share one store.
    std::string storePrefix_ = "/tamarack";
    /// Longest delay of a bill or settlement for batching with others into one write.
    Millis flushInterval_ {1000};
    /// Interval at which requests that wait for tokens read the ledger again and retry the draw,
    /// while other holders have the tokens.
    Millis redrawInterval_ {250};
    /// Shortest time between two release requests for one budget.
    Millis releaseRequestInterval_ {500};
    /// A grant that is unused for this long is released, provided that the store responds.
    Millis idleGrantTimeout_ {Seconds {120}};
    /// Exchanges with upstreams per request, including the first.
    std::uint32_t maxAttempts_ = 3;
    /// Silence limit of an upstream whose speed is not yet known.
    Millis silenceLimit_ {5000};
    RoutingSettings routing_;
    AdmissionSettings admission_;
};

/// @brief Processing stage of a request in this daemon.
enum class RequestStage {
    /// Waits for a response of the home daemon.
    AwaitingHome,
    /// Waits for tokens of its budget.
    AwaitingTokens,
    /// Waits until its intent record is committed.
    AwaitingIntent,
    /// Queued until an upstream has capacity.
    AwaitingSlot,
    /// An exchange with an upstream is permitted.
    Running,
    /// The caller has its answer; the bill is not committed yet.
    Billing,
    /// At the home daemon: the tokens are reserved for an entry daemon.
    HeldForPeer,
};

/// @brief Returns true if the request has not been permitted to be sent yet.
constexpr bool waitsForDecision(RequestStage stage)
{
    return stage == RequestStage::AwaitingHome || stage == RequestStage::AwaitingTokens
        || stage == RequestStage::AwaitingIntent;
}

/// @brief One admitted request.
///
/// Invariant: from stage AwaitingIntent on, reserved_ is included in HeldGrant::reserved_ of
/// grant_, unless the tokens are reserved at a home daemon (home_ is set).
struct ActiveRequest
{
    AdmissionRequested params_;
    /// The caller received a complete response; only the bill is missing.
    bool answered_ = false;
    RequestStage stage_ = RequestStage::AwaitingTokens;
    /// The traffic thread that waits, or last waited, for a decision.
    WaiterId waiter_;
    /// The grant that reserved_ is taken from.
    GrantId grant_;
    Tokens reserved_;
    Tokens used_;
    /// Time of the last ledger read that showed the needed tokens as held by others.
    std::optional<MonoTime> heldElsewhereAt_;
    /// A byte may have been sent to an upstream.
    bool sent_ = false;
    std::vector<UpstreamId> tried_;
    AttemptId attempt_;
    UpstreamId upstream_;
    /// Software version of that upstream when the request was sent to it.
    SoftwareVersion sentVersion_ {};
    /// Software version of the engine that brought the first output of a stream. The rest of the
    /// stream comes from the same version.
    std::optional<SoftwareVersion> streamVersion_ {};
    bool attemptOpen_ = false;
    MonoTime admittedAt_ {};
    /// The home daemon that reserved the tokens; empty if this daemon did.
    HolderId home_;
    /// Set if this daemon is the home daemon and another daemon serves the caller.
    std::optional<ReservationOrigin> peer_;
    MonoTime dispatchedAt_ {};
    /// The request is counted in AccountAdmission::inFlight_.
    bool counted_ = false;
};

using LedgerCommit = ShardCommit<LedgerShard, LedgerOp>;
using RequestCommit = ShardCommit<RequestShard, RequestOp>;

/// @brief A grant that takes no new reservations; it is released when its requests have ended.
struct RetiredGrant
{
    BudgetId budget_;
    HeldGrant held_;
};

/// @brief The shard that a store call belongs to.
struct ShardCall
{
    StoredKind kind_ = StoredKind::LedgerShard;
    ShardNumber shard_;
};

/// @brief Progress of moving the records of one request shard to its next segment.
///
/// Invariant: requests_ are the records in the segment that call_ writes.
struct ArchiveState
{
    std::optional<CallId> call_;
    std::uint64_t segment_ = 0;
    std::vector<RequestId> requests_;
    /// Earliest time of the next scan of the shard.
    MonoTime notBefore_ {};
};

/// @brief All control state of one daemon.
///
/// Invariants: each grant id is in either grants_ or retired_, never in both; byRequest_ maps each
/// keyed request in active_ to its admission; every CallId in calls_ is the call_ of exactly one
/// shard.
struct ControlState
{
    ControlSettings settings_;
    std::shared_ptr<const Bundle> bundle_;
    std::map<ShardNumber, LedgerCommit> ledger_;
    std::map<ShardNumber, RequestCommit> requestShards_;
    std::map<BudgetId, HeldGrant> grants_;
    std::map<GrantId, RetiredGrant> retired_;
    /// Holders to write off at the next reply of a ledger shard.
    std::map<ShardNumber, std::set<HolderId>> deadHolders_;
    /// Budgets that regained tokens while the current event was handled.
    std::set<BudgetId> freedBudgets_;
    std::map<AdmissionId, ActiveRequest> active_;
    std::unordered_map<RequestId, AdmissionId> byRequest_;
    std::unordered_map<CallId, ShardCall> calls_;
    std::map<ShardNumber, ArchiveState> archives_;
    RoutingState routing_;
    /// Time of the store's last confirmation of bundle_.
    MonoTime bundleConfirmedAt_ {};
    /// unconfirmedLimit of the bundle's policies has elapsed since then.
    bool unconfirmed_ = false;
    Membership membership_;
    HomeState home_;
    AdmissionState admission_;
    bool stopping_ = false;
    bool stopCompleted_ = false;
    std::uint64_t lastId_ = 0;
};

using Commands = std::vector<Command>;

/// @brief Handles one event.
/// @return the commands to execute, in order
Commands handle(ControlState &state, const Event &event, Now now);

/// @brief Returns the time of the next Tick, or nothing if no timer is set.
/// @note O(shards in use + active requests)
std::optional<MonoTime> nextWake(const ControlState &state);

/// @brief Checks the invariants of the whole state, for tests.
Result<void> checkInvariants(const ControlState &state);

} // namespace tamarack
