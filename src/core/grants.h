// The grants that this daemon holds: what it may spend without asking the store.
#pragma once

#include "core/bundle.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/ledger.h"
#include "core/time.h"
#include "core/tokens.h"

#include <optional>

namespace tamarack {

/// @brief A grant of this daemon, as far as the store has confirmed it.
///
/// Invariant: spent_ >= settled_, reserved_ >= 0, spent_ + reserved_ + returned_ <= authorized_.
struct HeldGrant
{
    GrantId id_;
    /// Cumulative tokens armed, confirmed by the store.
    Tokens authorized_;
    /// Cumulative tokens handed back; they may not be spent any more.
    Tokens returned_;
    /// Cumulative tokens billed from this grant.
    Tokens spent_;
    /// Part of spent_ that the ledger shard has recorded.
    Tokens settled_;
    /// Worst cases of requests that are not billed yet.
    Tokens reserved_;
    /// A draw operation was submitted and is not committed yet.
    bool drawPending_ = false;
    /// A settle operation was submitted and is not committed yet.
    bool settlePending_ = false;
    /// A release operation was submitted; nothing more may be reserved.
    bool releasePending_ = false;
    /// The last committed draw armed nothing.
    bool lastDrawEmpty_ = false;
    /// Tokens spent per second, smoothed.
    double burnRate_ = 0.0;
    MonoTime lastSpent_ {};
    /// When the grant was last reserved from or drawn.
    MonoTime lastUsedAt_ {};
    /// When other holders were last asked to hand back tokens of this budget.
    std::optional<MonoTime> lastReleaseRequestAt_;
};

/// Time constant of the smoothed burn rate.
inline constexpr std::chrono::duration<double> burnRateWindow {10.0};

/// @brief Tokens that can be reserved now.
Tokens reservableTokens(const HeldGrant &grant);

/// @brief Reserves @a amount if it is available.
/// @return false if it is not; the grant is unchanged then
bool tryReserve(HeldGrant &grant, Tokens amount);

/// @brief Returns the smoothed tokens spent per second as of @a now.
double burnRateAt(const HeldGrant &grant, MonoTime now);

/// @brief Gives back a reservation and spends part of it.
/// @pre spent <= reserved
void spendReserved(HeldGrant &grant, Tokens reserved, Tokens spent, MonoTime now);

/// @brief Returns the cumulative armed total to ask the ledger for.
///
/// The result covers the request at hand and the reach policy's time at the current burn rate, but
/// at most the policy's share of what is unallocated, so that grants shrink near exhaustion.
/// @param needed worst case of the requests that are waiting
Tokens drawTarget(const HeldGrant &grant, Tokens needed, Tokens unallocatedTokens,
                  const GrantPolicy &reach);

/// @brief Returns what the holder can hand back to others that need it.
///
/// Reserved tokens stay, and so does what is spent in @a keep at the current burn rate, but at most
/// half of what is available, so that repeated asking frees everything.
Tokens returnableTokens(const HeldGrant &grant, Millis keep, MonoTime now);

/// @brief Checks the invariant of a grant.
Result<void> checkInvariants(const HeldGrant &grant);

} // namespace tamarack
