// Refusals: why a request is not served, whether it ran, and when to retry.
#pragma once

#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief Why a request is refused. Each reason has a stable code and an HTTP status.
enum class RefusalReason {
    InvalidRequest,
    UnknownKey,
    BudgetNotOwned,
    BudgetExhausted,
    BudgetHeldElsewhere,
    BudgetUnconfirmed,
    RateLimited,
    TooManyRequestsInFlight,
    Overloaded,
    NoUpstream,
    UpstreamFailed,
    OutcomeUnknown,
    DeadlineExceeded,
    Stopping,
    BundleUnconfirmed,
};

/// @brief Whether the request ran on an upstream, as told to the caller.
enum class Execution {
    NotRun, ///< no byte left for an upstream and none will
    Ran, ///< an upstream ran it
    Unknown, ///< it may have run
};

/// @brief Response to the caller in place of an upstream's response.
struct Refusal
{
    RefusalReason reason_ = RefusalReason::InvalidRequest;
    Execution execution_ = Execution::NotRun;
    /// The error, and what the caller can do about it.
    std::string message_;
    /// Delay after which a retry can succeed, if known.
    std::optional<Millis> retryAfter_;
};

/// @brief Returns the stable code of a reason, such as "budget_exhausted".
std::string_view refusalCode(RefusalReason reason);

/// @brief Returns the stable code of an execution state: "not_run", "ran" or "unknown".
std::string_view executionCode(Execution execution);

} // namespace tamarack
