// Retry budgets: retries are limited to a share of recent requests, so that a failing upstream does
// not multiply the load on the others.
#pragma once

#include "core/time.h"

namespace tamarack {

/// @brief Limits of a retry budget.
struct RetrySettings
{
    /// Retries for each request in the long run.
    double share_ = 0.2;
    /// Largest number of retries in a burst.
    double burst_ = 50.0;
    /// A budget starts with this many retries.
    double initial_ = 3.0;
    /// Retries for each second without any request, so that a quiet account can retry at all.
    double idlePerSecond_ = 0.2;
};

/// @brief A bucket of permitted retries.
/// Invariant: 0 <= left_ <= RetrySettings::burst_.
struct RetryBudget
{
    double left_ = 0.0;
    MonoTime updatedAt_ {};
    bool started_ = false;
};

/// @brief Credits a first attempt.
void creditRequest(RetryBudget &budget, const RetrySettings &settings, MonoTime now);

/// @brief Returns true if a retry is permitted; nothing is taken.
bool isRetryAllowed(RetryBudget &budget, const RetrySettings &settings, MonoTime now);

/// @brief Takes one retry.
/// @pre isRetryAllowed() returned true
void consumeRetry(RetryBudget &budget);

} // namespace tamarack
