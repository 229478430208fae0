// Retry budgets limit retries to a share of recent requests, so that a failing upstream does not
// multiply the load on the others.
#pragma once

#include "core/time.h"

namespace tamarack {

/// @brief Limits of a retry budget.
struct RetrySettings
{
    /// Retries credited per request.
    double share_ = 0.2;
    /// Largest number of retries that a budget can hold.
    double burst_ = 50.0;
    /// Initial number of retries.
    double initial_ = 3.0;
    /// Retries credited per second without requests, up to initial_, so that an account with little
    /// traffic can retry.
    double idlePerSecond_ = 0.2;
};

/// @brief A token bucket of retries.
/// Invariant: 0 <= available_ <= RetrySettings::burst_.
struct RetryBudget
{
    double available_ = 0.0;
    MonoTime updatedAt_ {};
    bool started_ = false;
};

/// @brief Credits the budget for a first attempt.
void creditRequest(RetryBudget &budget, const RetrySettings &settings, MonoTime now);

/// @brief Returns true if the budget permits a retry. Does not consume it.
bool isRetryAllowed(RetryBudget &budget, const RetrySettings &settings, MonoTime now);

/// @brief Consumes one retry.
/// @pre isRetryAllowed() returned true
void consumeRetry(RetryBudget &budget);

} // namespace tamarack
