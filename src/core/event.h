// Events: everything that happens to a daemon, as input of the control state machine.
#pragma once

#include "core/bundle.h"
#include "core/ids.h"
#include "core/membership.h"
#include "core/peermessage.h"
#include "core/requestrecords.h"
#include "core/routing.h"
#include "core/store.h"
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

/// @brief A caller's authenticated request asks to be served.
struct AdmissionRequested
{
    WaiterId waiter_;
    RequestId request_;
    AccountId account_;
    BudgetId budget_;
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    ModelId model_;
    ServiceId service_;
    /// Upper bound of what the request can cost.
    Tokens worstCase_;
    bool idempotent_ = true;
    /// The caller gave an idempotency key, so the same request id may arrive again.
    bool hasIdempotencyKey_ = false;
    /// The caller is answered by then, one way or the other.
    MonoTime deadline_;
    /// Part of worstCase_ that is the prompt: its bytes, an upper bound of its tokens.
    Tokens promptBound_ {};
    /// Hashes of the prompt from its start to the end of each block, for the prefix cache.
    std::vector<std::uint64_t> promptBlocks_ {};
    AdapterId adapter_ {};
    ModelVersionId version_ {};
    /// The answer is a stream, so its first byte is its first token.
    bool stream_ = false;
    /// The traffic thread posts FirstTokenReceived.
    bool reportsFirstToken_ = false;
};

/// @brief The traffic thread stopped waiting and has sent nothing to an upstream.
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
    /// Time from sending the request to the first byte of the answer, if one came.
    std::optional<Micros> firstByte_;
    /// Cost of the request so far, as far as it is known.
    Tokens used_;
    /// Set if the traffic thread waits for another attempt or a refusal.
    std::optional<WaiterId> retryWaiter_;
    /// Tokens of this attempt's answer.
    std::uint32_t outputTokens_ = 0;
    /// The upstream refused the request because it is leaving.
    bool upstreamLeaving_ = false;
};

/// @brief The first token of an answer has arrived.
struct FirstTokenReceived
{
    AdmissionId admission_;
    AttemptId attempt_;
    Micros after_ {};
};

/// @brief An engine answered GET /load.
struct LoadReportReceived
{
    LoadReport report_;
};

/// @brief An upstream answered GET /health, or did not answer.
struct UpstreamHealthReceived
{
    UpstreamId upstream_;
    UpstreamHealth health_ = UpstreamHealth::Live;
};

/// @brief An engine answered GET /cache-events.
struct CacheEventsReceived
{
    CacheEventBatch batch_;
};

/// @brief The caller has been answered; the request's real cost is known.
struct RequestFinished
{
    AdmissionId admission_;
    Tokens used_;
    Completeness completeness_ = Completeness::Complete;
};

/// @brief A call to the store was answered or failed.
struct StoreReplied
{
    StoreReply reply_;
};

/// @brief A bundle was loaded and its signature verified.
struct BundleLoaded
{
    std::shared_ptr<const Bundle> bundle_;
};

/// @brief The store confirmed that this version is the accepted one.
struct BundleConfirmed
{
    BundleVersion version_;
};

/// @brief A message from another daemon arrived.
struct PeerMessageReceived
{
    /// Host that the message names as its sender.
    HostId from_;
    PeerMessage message_;
};

/// @brief All registrations were read from the store.
struct RegistrationsLoaded
{
    std::vector<RegisteredMember> members_;
};

/// @brief The platform's list of hosts was read.
struct HostListLoaded
{
    std::vector<ListedHost> hosts_;
};

/// @brief A holder is dead by the membership's verdict.
struct HolderDeclaredDead
{
    HolderId holder_;
};

/// @brief Another daemon needs tokens of a budget that this daemon may hold unspent.
struct ReleaseRequested
{
    BudgetId budget_;
};

/// @brief An operator or the platform asks the daemon to stop.
struct StopRequested
{ };

/// @brief A planned stop is ended before it is complete; everything in flight is cut off.
struct StopForced
{
    /// What ended it, such as "second signal".
    std::string cause_;
};

/// @brief Time has passed; due work is started.
struct Tick
{ };

using Event = std::variant<AdmissionRequested, AdmissionAbandoned, AttemptEnded, RequestFinished,
                           StoreReplied, BundleLoaded, BundleConfirmed, PeerMessageReceived,
                           RegistrationsLoaded, HostListLoaded, HolderDeclaredDead,
                           ReleaseRequested, StopRequested, StopForced, Tick, FirstTokenReceived,
                           LoadReportReceived, UpstreamHealthReceived, CacheEventsReceived>;

} // namespace tamarack
