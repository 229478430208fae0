// Grants held by this daemon, from which it spends without further access to the store.
#pragma once

#include "core/bundle.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/ledger.h"
#include "core/time.h"
#include "core/tokens.h"

#include <optional>

namespace tamarack {

/// @brief A grant held by this daemon, including totals that the store has not recorded yet.
///
/// Invariant: spent_ >= settled_, reserved_ >= 0, spent_ + reserved_ + returned_ <= authorized_.
struct HeldGrant
{
    GrantId id_;
    /// Cumulative tokens authorized, as confirmed by the store.
    Tokens authorized_;
    /// Cumulative tokens returned; they must not be spent any more.
    Tokens returned_;
    /// Cumulative tokens billed from this grant.
    Tokens spent_;
    /// Part of spent_ that the ledger shard has recorded, as confirmed by the store.
    Tokens settled_;
    /// Sum of the worst-case costs of requests that are not billed yet.
    Tokens reserved_;
    /// A draw operation has been submitted and is not committed yet.
    bool drawPending_ = false;
    /// A settle operation has been submitted and is not committed yet.
    bool settlePending_ = false;
    /// A release operation has been submitted; no more tokens may be reserved.
    bool releasePending_ = false;
    /// The last committed draw did not authorize any tokens.
    bool lastDrawEmpty_ = false;
    /// Smoothed spending rate at lastSpentAt_, in tokens per second.
    double consumptionRate_ = 0.0;
    MonoTime lastSpentAt_ {};
    /// Time of the last reservation, settled reservation or committed draw.
    MonoTime lastUsedAt_ {};
    /// When other holders of this budget were last requested to return tokens.
    std::optional<MonoTime> lastReleaseRequestAt_;
};

/// Time constant of the exponential smoothing of the consumption rate, in seconds.
inline constexpr std::chrono::duration<double> consumptionRateWindow {10.0};

/// @brief Returns the tokens that can be reserved now.
Tokens reservableTokens(const HeldGrant &grant);

/// @brief Reserves @a amount if it is available.
/// @return false, leaving the grant unchanged, if fewer tokens are available
bool tryReserve(HeldGrant &grant, Tokens amount);

/// @brief Returns the smoothed consumption rate at @a now, in tokens per second.
double consumptionRateAt(const HeldGrant &grant, MonoTime now);

/// @brief Ends a reservation of @a reserved tokens and records @a spent of them as spent.
/// @pre spent <= reserved
void spendReserved(HeldGrant &grant, Tokens reserved, Tokens spent, MonoTime now);

/// @brief Returns the cumulative authorized total to request from the ledger.
///
/// The total covers the waiting requests and the expected spending during the offline duration of
/// @a policy. The expected spending is limited to the policy's share of the unallocated tokens, so
/// that grants shrink as the budget runs out.
/// @param needed sum of the worst-case costs of the waiting requests
Tokens drawTarget(const HeldGrant &grant, Tokens needed, Tokens unallocated,
                  const GrantPolicy &policy);

/// @brief Returns the number of unreserved tokens to return when another holder needs them.
///
/// The holder keeps the tokens that it would spend within @a keepTime at the current consumption
/// rate, but at most half of the available tokens, so that repeated requests eventually free all of
/// them.
Tokens returnableTokens(const HeldGrant &grant, Millis keepTime, MonoTime now);

/// @brief Checks the invariant of a grant.
Result<void> checkInvariants(const HeldGrant &grant);

} // namespace tamarack
