// Token buckets of the retry budgets.
#include "core/retrybudget.h"

#include <algorithm>

namespace tamarack {

namespace {

void refill(RetryBudget &budget, const RetrySettings &settings, MonoTime now)
{
    if (!budget.started_) {
        budget.started_ = true;
        budget.available_ = settings.initial_;
        budget.updatedAt_ = now;
        return;
    }
    const std::chrono::duration<double> passed = now - budget.updatedAt_;
    budget.updatedAt_ = now;
    // Elapsed time refills only up to the initial amount; requests refill up to the burst.
    if (budget.available_ < settings.initial_)
        budget.available_ = std::min(budget.available_ + passed.count() * settings.idlePerSecond_,
                                     settings.initial_);
}

} // namespace

void creditRequest(RetryBudget &budget, const RetrySettings &settings, MonoTime now)
{
    refill(budget, settings, now);
    budget.available_ = std::min(budget.available_ + settings.share_, settings.burst_);
}

bool isRetryAllowed(RetryBudget &budget, const RetrySettings &settings, MonoTime now)
{
    refill(budget, settings, now);
    return budget.available_ >= 1.0;
}

void consumeRetry(RetryBudget &budget)
{
    budget.available_ = std::max(budget.available_ - 1.0, 0.0);
}

} // namespace tamarack
