// Events: the inputs of the control state machine.
#pragma once

#include "core/bundle.h"
#include "core/ids.h"
#include "core/membership.h"
#include "core/peermessage.h"
#include "core/requestrecords.h"
#include "core/routing.h"
#include "core/store.h"
#include "core/storeposition.h"
#include "core/time.h"
#include "core/tokens.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// Identifies a traffic thread that waits for a decision.
using WaiterId = NumericId<struct WaiterTag>;

/// @brief An authenticated caller submits a request.
struct AdmissionRequested
{
    WaiterId waiter_;
    RequestId request_;
    AccountId account_;
    BudgetId budget_;
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    ModelId model_;
    ServiceId service_;
    /// Upper bound of the request's cost.
    Tokens worstCase_;
    bool idempotent_ = true;
    /// The caller gave an idempotency key, so the same request id may arrive again.
    bool hasIdempotencyKey_ = false;
    /// The caller receives an answer or a refusal by this time.
    MonoTime deadline_;
    /// Prompt part of worstCase_: the prompt's size in bytes, an upper bound of its tokens.
    Tokens promptBound_ {};
    /// Hashes of the prompt from its start to the end of each block, for prefix cache lookups.
    std::vector<std::uint64_t> promptBlocks_ {};
    AdapterId adapter_ {};
    ModelVersionId version_ {};
    /// The response is streamed, so its first byte is its first token.
    bool stream_ = false;
    /// The traffic thread posts FirstTokenReceived.
    bool reportsFirstToken_ = false;
};

/// @brief The traffic thread stopped waiting before anything was sent to an upstream.
struct AdmissionAbandoned
{
    WaiterId waiter_;
};

/// @brief An exchange with an upstream ended.
struct AttemptEnded
{
    AdmissionId admission_;
    AttemptId attempt_;
    AttemptResult result_ = AttemptResult::Complete;
    /// Time from sending the request to the first byte of the response, if one arrived.
    std::optional<Micros> timeToFirstByte_;
    /// Cost of the request so far, as far as known.
    Tokens used_;
    /// Set if the traffic thread waits for permission to retry or for a refusal.
    std::optional<WaiterId> retryWaiter_;
    /// Output tokens of this attempt.
    std::uint32_t outputTokens_ = 0;
    /// The upstream rejected the request because it is shutting down.
    bool upstreamLeaving_ = false;
};

/// @brief The first token of a response arrived.
struct FirstTokenReceived
{
    AdmissionId admission_;
    AttemptId attempt_;
    Micros after_ {};
};

/// @brief An engine responded to GET /load.
struct LoadReportReceived
{
    LoadReport report_;
};

/// @brief An upstream responded to GET /health, or the health check failed.
struct UpstreamHealthReceived
{
    UpstreamId upstream_;
    UpstreamHealth health_ = UpstreamHealth::Live;
};

/// @brief An engine responded to GET /cache-events.
struct CacheEventsReceived
{
    CacheEventBatch batch_;
};

/// @brief The caller has its answer and the actual cost of the request is known.
struct RequestFinished
{
    AdmissionId admission_;
    Tokens used_;
    Completeness completeness_ = Completeness::Complete;
};

/// @brief A call to the store succeeded or failed.
struct StoreReplied
{
    StoreReply reply_;
};

/// @brief A bundle was loaded and its signature verified.
struct BundleLoaded
{
    std::shared_ptr<const Bundle> bundle_;
};

/// @brief The store confirmed that this is the accepted bundle version.
struct BundleConfirmed
{
    BundleVersion version_;
};

/// @brief A message from another daemon arrived.
struct PeerMessageReceived
{
    /// Host named as the sender in the message.
    HostId from_;
    PeerMessage message_;
};

/// @brief All registrations were read from the store.
struct RegistrationsLoaded
{
    std::vector<RegisteredMember> members_;
    /// Era of the store that they were read from.
    StoreEra era_ {};
};

/// @brief The platform's list of hosts was read.
struct HostListLoaded
{
    std::vector<ListedHost> hosts_;
};

/// @brief The failure detector declared a holder dead.
struct HolderDeclaredDead
{
    HolderId holder_;
};

/// @brief Another daemon needs tokens of a budget that this daemon may hold unspent.
struct ReleaseRequested
{
    BudgetId budget_;
};

/// @brief An operator or the platform requests a graceful stop.
struct StopRequested
{ };

/// @brief Ends a graceful stop before it is complete; requests in flight are aborted.
struct StopForced
{
    /// What aborted it, such as "second signal".
    std::string cause_;
};

/// @brief A timer returned by nextWake() expired.
struct Tick
{ };

using Event = std::variant<AdmissionRequested, AdmissionAbandoned, AttemptEnded, RequestFinished,
                           StoreReplied, BundleLoaded, BundleConfirmed, PeerMessageReceived,
                           RegistrationsLoaded, HostListLoaded, HolderDeclaredDead,
                           ReleaseRequested, StopRequested, StopForced, Tick, FirstTokenReceived,
                           LoadReportReceived, UpstreamHealthReceived, CacheEventsReceived>;

} // namespace tamarack
