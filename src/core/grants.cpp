// Reservations and sizes of the grants that this daemon holds.
#include "core/grants.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

void updateBurnRate(HeldGrant &grant, Tokens spent, MonoTime now)
{
    grant.burnRate_
        = burnRateAt(grant, now) + static_cast<double>(spent.count_) / burnRateWindow.count();
    grant.lastSpent_ = now;
}

} // namespace

double burnRateAt(const HeldGrant &grant, MonoTime now)
{
    const std::chrono::duration<double> gap = now - grant.lastSpent_;
    return grant.burnRate_ * std::exp(-gap / burnRateWindow);
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
        updateBurnRate(grant, spent, now);
}

Tokens drawTarget(const HeldGrant &grant, Tokens needed, Tokens unallocatedTokens,
                  const GrantPolicy &reach)
{
    const std::chrono::duration<double> reachTime = reach.offlineDuration_;
    const Tokens ahead {static_cast<std::int64_t>(grant.burnRate_ * reachTime.count())};
    const Tokens share {unallocatedTokens.count_ * reach.maxSharePerMille_ / 1000};
    const Tokens wanted = std::max(needed, std::min(needed + ahead, share));
    return grant.returned_ + grant.spent_ + grant.reserved_ + wanted;
}

Tokens returnableTokens(const HeldGrant &grant, Millis keep, MonoTime now)
{
    const std::chrono::duration<double> time = keep;
    const Tokens burnt {static_cast<std::int64_t>(burnRateAt(grant, now) * time.count())};
    const Tokens half {reservableTokens(grant).count_ / 2};
    return reservableTokens(grant) - std::min(burnt, half);
}

Result<void> checkInvariants(const HeldGrant &grant)
{
    const bool valid = grant.spent_ >= grant.settled_ && grant.reserved_ >= Tokens {}
        && reservableTokens(grant) >= Tokens {};
    if (!valid)
        return fail(ErrorKind::LedgerInvariant, "tamarack.grant.101",
                    fmt::format("grant {}: armed {}, spent {}, settled {}, reserved {} are "
                                "inconsistent; restart this daemon and report this",
                                grant.id_.value_, grant.authorized_.count_, grant.spent_.count_,
                                grant.settled_.count_, grant.reserved_.count_));
    return {};
}

} // namespace tamarack
