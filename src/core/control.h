// The control state machine of one daemon. It is the only writer of this state and does no I/O:
// events and the current time go in, commands come out.
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

/// @brief What a daemon is told by its settings.
struct ControlSettings
{
    HostId host_;
    HolderId holder_;
    ZoneId zone_;
    /// Prefix of all store keys, so that several fleets can share a store.
    std::string storePrefix_ = "/tamarack";
    /// Longest time a bill or settlement waits for company before it is written.
    Millis flushInterval_ {1000};
    /// How often waiting requests ask the ledger again while other holders have the tokens.
    Millis redrawInterval_ {250};
    /// How often other holders are asked to hand back tokens of one budget.
    Millis askInterval_ {500};
    /// A grant that was not used for this long is handed back while the store answers.
    Millis idleRelease_ {Seconds {120}};
    /// Exchanges with upstreams for one request, the first included.
    std::uint32_t maxAttempts_ = 3;
    /// Silence limit of an upstream whose speed is not known yet.
    Millis silenceLimit_ {5000};
    RoutingSettings routing_;
    AdmissionSettings admission_;
};

/// @brief How far a request has come inside this daemon.
enum class RequestStage {
    /// Waits for the home daemon's answer.
    AwaitingHome,
    /// Waits for tokens of its budget.
    AwaitingTokens,
    /// Waits for its intent record to be committed.
    AwaitingIntent,
    /// Waits in the daemon until an upstream has room.
    AwaitingSlot,
    /// An exchange with an upstream is permitted.
    Running,
    /// The caller is answered; the bill is not committed yet.
    Billing,
    /// At the home daemon: the tokens are reserved for an entry daemon.
    HeldForPeer,
};

/// @brief Returns true if the request has no permission to be sent yet.
constexpr bool waitsForDecision(RequestStage stage)
{
    return stage == RequestStage::AwaitingHome || stage == RequestStage::AwaitingTokens
        || stage == RequestStage::AwaitingIntent;
}

/// @brief One admitted request.
///
/// Invariant: reserved_ is part of HeldGrant::reserved_ of grant_ from stage AwaitingIntent on,
/// unless a home daemon holds it (home_ is set).
struct ActiveRequest
{
    AdmissionRequested ask_;
    /// The caller got a whole answer; only the bill is missing.
    bool answered_ = false;
    RequestStage stage_ = RequestStage::AwaitingTokens;
    /// The traffic thread that waits or waited last for a decision.
    WaiterId waiter_;
    /// The grant that reserved_ belongs to.
    GrantId grant_;
    Tokens reserved_;
    Tokens used_;
    /// When the ledger last showed that others hold the tokens that the request waits for.
    std::optional<MonoTime> blockedAt_;
    /// A byte may have left for an upstream.
    bool sent_ = false;
    std::vector<UpstreamId> tried_;
    AttemptId attempt_;
    UpstreamId upstream_;
    bool attemptOpen_ = false;
    MonoTime admittedAt_ {};
    /// The home daemon that reserved the tokens; empty if this daemon did.
    HolderId home_;
    /// Set if this daemon is the home and another daemon serves the caller.
    std::optional<ReservationOrigin> peer_;
    MonoTime dispatchedAt_ {};
    /// Counted in AccountAdmission::inFlight_.
    bool counted_ = false;
};

using LedgerCommit = ShardCommit<LedgerShard, LedgerOp>;
using RequestCommit = ShardCommit<RequestShard, RequestOp>;

/// @brief A grant that is not reserved from any more; it is released once its requests have ended.
struct RetiredGrant
{
    BudgetId budget_;
    HeldGrant held_;
};

/// @brief Which shard a call to the store belongs to.
struct ShardCall
{
    StoredKind kind_ = StoredKind::LedgerShard;
    ShardNumber shard_;
};

/// @brief Moving the records of one request shard to its next segment.
///
/// Invariant: requests_ are the records in the segment that call_ writes.
struct ArchiveState
{
    std::optional<CallId> call_;
    std::uint64_t segment_ = 0;
    std::vector<RequestId> requests_;
    /// The shard is not looked at before this time.
    MonoTime notBefore_ {};
};

/// @brief All control state of one daemon.
///
/// Invariants: each grant id is in grants_ or in retired_, never in both; byRequest_ maps each
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
    /// Holders to be written off at the next reply of a ledger shard.
    std::map<ShardNumber, std::set<HolderId>> deadHolders_;
    /// Budgets of which tokens were given back while this event was handled.
    std::set<BudgetId> freed_;
    std::map<AdmissionId, ActiveRequest> active_;
    std::unordered_map<RequestId, AdmissionId> byRequest_;
    std::unordered_map<CallId, ShardCall> calls_;
    std::map<ShardNumber, ArchiveState> archives_;
    RoutingState routing_;
    /// When the store last confirmed bundle_.
    MonoTime bundleConfirmedAt_ {};
    /// The bundle's unconfirmedLimit has passed since then.
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
/// @return what the daemon must do now, in order
Commands handle(ControlState &state, const Event &event, Now now);

/// @brief Returns when a Tick is due, or nothing if the state waits for events only.
/// @note O(shards in use + requests that wait)
std::optional<MonoTime> nextWake(const ControlState &state);

/// @brief Checks the invariants of the whole state, for tests.
Result<void> checkInvariants(const ControlState &state);

} // namespace tamarack
