// Token bucket from which permits are granted.
#pragma once

#include "core/time.h"

#include <optional>

namespace tamarack {

/// @brief How fast a bucket fills, and how many permits it holds at most.
struct PermitAllowance
{
    double perSecond_ = 0.0;
    double capacity_ = 1.0;
};

/// @brief Permits that can be granted at once, and when the next ones are expected.
///
/// Invariant: at most capacity_ + perSecond_ x T permits are taken in any time T.
struct TokenBucket
{
    double available_ = 0.0;
    MonoTime refilledAt_ {};
    /// When the next daemon that is denied a permit is told to come back.
    MonoTime nextRetryAt_ {};
};

/// @brief Takes a permit.
/// @param maxRetryAfter longest time after which a daemon is told to come back
/// @return nothing if a permit is available, otherwise when to come back
/// @pre allowance.perSecond_ > 0
std::optional<Millis> takePermit(TokenBucket &bucket, const PermitAllowance &allowance,
                                 Millis maxRetryAfter, MonoTime now);

} // namespace tamarack
