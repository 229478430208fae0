// Shares of an account's tokens by urgency.
#include "core/relay/tokenshares.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

double rateAt(const TokenDemand &demand, MonoTime now)
{
    const std::chrono::duration<double> gap = now - demand.updatedAt_;
    return demand.rate_ * std::exp(-gap / demandWindow);
}

} // namespace

void recordDemand(TokenShares &shares, int urgency, Tokens amount, MonoTime now)
{
    if (!shares.observedSince_)
        shares.observedSince_ = now;
    TokenDemand &demand = shares.byUrgency_[urgency];
    demand.rate_ = rateAt(demand, now) + static_cast<double>(amount.count_) / demandWindow.count();
    demand.updatedAt_ = now;
}

bool hasSeveralUrgencies(const TokenShares &shares)
{
    return shares.byUrgency_.size() > 1;
}

int leastUrgent(const TokenShares &shares)
{
    return shares.byUrgency_.empty() ? 0 : shares.byUrgency_.rbegin()->first;
}

Tokens expectedUrgentUse(const TokenShares &shares, int urgency, double totalRate, Millis horizon,
                         MonoTime now)
{
    if (!shares.observedSince_)
        return Tokens {};
    double urgent = 0.0;
    double all = 0.0;
    for (const auto &[key, demand] : shares.byUrgency_) {
        const double rate = rateAt(demand, now);
        all += rate;
        urgent += key < urgency ? rate : 0.0;
    }
    if (urgent <= 0.0)
        return Tokens {};
    // The smoothed rate is too low until the window has elapsed.
    const std::chrono::duration<double> age
        = std::max(now - *shares.observedSince_, MonoTime::duration {Seconds {1}});
    const double observedFraction = 1.0 - std::exp(-age / demandWindow);
    const double rate = std::max(urgent / observedFraction, urgent / all * totalRate);
    const std::chrono::duration<double> time = std::max(horizon, Millis {});
    return Tokens {static_cast<std::int64_t>(std::llround(rate * time.count()))};
}

} // namespace tamarack
