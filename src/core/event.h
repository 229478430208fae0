// Events: everything that happens to a daemon, as input of the control state machine.
#pragma once

#include "core/bundle.h"
#include "core/ids.h"
#include "core/requestrecords.h"
#include "core/routing.h"
#include "core/store.h"
#include "core/time.h"
#include "core/tokens.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace tamarack {

/// Identifies a traffic thread that waits for a decision.
using WaiterId = Number<struct WaiterTag>;

/// @brief A caller's authenticated request asks to be served.
struct AdmitRequested
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
    bool keyed_ = false;
    /// The caller is answered by then, one way or the other.
    MonoTime deadline_;
};

/// @brief The traffic thread stopped waiting and has sent nothing to an upstream.
struct AdmitAbandoned
{
    WaiterId waiter_;
};

/// @brief An exchange with an upstream ended.
struct AttemptEnded
{
    AdmissionId admission_;
    AttemptId attempt_;
    AttemptResult result_ = AttemptResult::Whole;
    /// Time from sending the request to the first byte of the answer, if one came.
    std::optional<Micros> firstByte_;
    /// Cost of the request so far, as far as it is known.
    Tokens used_;
    /// Set if the traffic thread waits for another attempt or a refusal.
    std::optional<WaiterId> retryWaiter_;
};

/// @brief The caller has been answered; the request's real cost is known.
struct RequestFinished
{
    AdmissionId admission_;
    Tokens used_;
    Completeness completeness_ = Completeness::Whole;
};

/// @brief A call to the store was answered or failed.
struct StoreReplied
{
    StoreReply reply_;
};

/// @brief A bundle was loaded and its signature verified.
struct BundleSeen
{
    std::shared_ptr<const Bundle> bundle_;
};

/// @brief The store confirmed that this version is the accepted one.
struct BundleConfirmed
{
    BundleVersion version_;
};

/// @brief Another holder waits for tokens of a budget that this daemon holds.
struct ReleaseAsked
{
    BudgetId budget_;
};

/// @brief A holder is believed dead. It may only be paused, so its armed tokens stay set aside.
struct HolderDead
{
    HolderId holder_;
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

using Event = std::variant<AdmitRequested, AdmitAbandoned, AttemptEnded, RequestFinished,
                           StoreReplied, BundleSeen, BundleConfirmed, StopRequested, StopForced,
                           Tick, ReleaseAsked, HolderDead>;

} // namespace tamarack
