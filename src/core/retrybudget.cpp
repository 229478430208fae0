// Retry budgets.
#include "core/retrybudget.h"

#include <algorithm>

namespace tamarack {

namespace {

void refill(RetryBudget &budget, const RetrySettings &settings, MonoTime now)
{
    if (!budget.started_) {
        budget.started_ = true;
        budget.left_ = settings.initial_;
        budget.updatedAt_ = now;
        return;
    }
    const std::chrono::duration<double> passed = now - budget.updatedAt_;
    budget.updatedAt_ = now;
    // Time alone refills only the initial amount; requests refill up to the burst.
    if (budget.left_ < settings.initial_)
        budget.left_
            = std::min(budget.left_ + passed.count() * settings.idlePerSecond_, settings.initial_);
}

} // namespace

void creditRequest(RetryBudget &budget, const RetrySettings &settings, MonoTime now)
{
    refill(budget, settings, now);
    budget.left_ = std::min(budget.left_ + settings.share_, settings.burst_);
}

bool isRetryAllowed(RetryBudget &budget, const RetrySettings &settings, MonoTime now)
{
    refill(budget, settings, now);
    return budget.left_ >= 1.0;
}

void consumeRetry(RetryBudget &budget)
{
    budget.left_ = std::max(budget.left_ - 1.0, 0.0);
}

} // namespace tamarack
