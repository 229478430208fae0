// Reservations from held grants and sizing of draws and returns.
#include "core/grants.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

void updateConsumptionRate(HeldGrant &grant, Tokens spent, MonoTime now)
{
    grant.consumptionRate_ = consumptionRateAt(grant, now)
        + static_cast<double>(spent.count_) / consumptionRateWindow.count();
    grant.lastSpentAt_ = now;
}

} // namespace

double consumptionRateAt(const HeldGrant &grant, MonoTime now)
{
    const std::chrono::duration<double> gap = now - grant.lastSpentAt_;
    return grant.consumptionRate_ * std::exp(-gap / consumptionRateWindow);
}

Tokens reservableTokens(const HeldGrant &grant)
{
    return grant.authorized_ - grant.returned_ - grant.spent_ - grant.reserved_;
}

bool tryReserve(HeldGrant &grant, Tokens amount)
{
    if (reservableTokens(grant) < amount)
        return false;
    grant.reserved_ += amount;
    return true;
}

void spendReserved(HeldGrant &grant, Tokens reserved, Tokens spent, MonoTime now)
{
    grant.reserved_ -= reserved;
    grant.spent_ += spent;
    if (spent > Tokens {})
        updateConsumptionRate(grant, spent, now);
}

Tokens drawTarget(const HeldGrant &grant, Tokens needed, Tokens unallocated,
                  const GrantPolicy &policy)
{
    const std::chrono::duration<double> duration = policy.offlineDuration_;
    const Tokens expectedSpend {
        static_cast<std::int64_t>(grant.consumptionRate_ * duration.count())};
    const Tokens share {unallocated.count_ * policy.maxSharePerMille_ / 1000};
    const Tokens target = std::max(needed, std::min(needed + expectedSpend, share));
    return grant.returned_ + grant.spent_ + grant.reserved_ + target;
}

Tokens returnableTokens(const HeldGrant &grant, Millis keepTime, MonoTime now)
{
    const std::chrono::duration<double> time = keepTime;
    const Tokens expectedSpend {
        static_cast<std::int64_t>(consumptionRateAt(grant, now) * time.count())};
    const Tokens half {reservableTokens(grant).count_ / 2};
    return reservableTokens(grant) - std::min(expectedSpend, half);
}

Result<void> checkInvariants(const HeldGrant &grant)
{
    const bool valid = grant.spent_ >= grant.settled_ && grant.reserved_ >= Tokens {}
        && reservableTokens(grant) >= Tokens {};
    if (!valid)
        return fail(ErrorKind::LedgerInvariant, "tamarack.grant.101",
                    fmt::format("grant {}: armed {}, spent {}, settled {}, reserved {} are "
                                "inconsistent; restart this daemon and report the error",
                                grant.id_.value_, grant.authorized_.count_, grant.spent_.count_,
                                grant.settled_.count_, grant.reserved_.count_));
    return {};
}

} // namespace tamarack
