// Shares of an account's tokens by urgency. While tokens are short, the large requests of a less
// urgent route would otherwise use up what more urgent requests need.
#pragma once

#include "core/time.h"
#include "core/tokens.h"

#include <map>
#include <optional>

namespace tamarack {

/// Time constant of the smoothed demand, in seconds. A daemon of a large fleet sees an urgent
/// request of an account once in some seconds.
inline constexpr std::chrono::duration<double> demandWindow {20.0};

/// @brief Smoothed tokens per second that requests of one urgency ask for.
struct TokenDemand
{
    double rate_ = 0.0;
    MonoTime updatedAt_ {};
};

/// @brief Demand for the tokens of one account by urgency, 0 first.
struct TokenShares
{
    std::map<int, TokenDemand> byUrgency_;
    std::optional<MonoTime> observedSince_;
};

/// @brief Records that a request asks for tokens; at most once for each request.
void recordDemand(TokenShares &shares, int urgency, Tokens amount, MonoTime now);

/// @brief Returns true if requests of more than one urgency ask for tokens of the account.
bool hasSeveralUrgencies(const TokenShares &shares);

/// @brief Returns the least urgent urgency that is in use, or 0.
int leastUrgent(const TokenShares &shares);

/// @brief Returns the tokens that requests more urgent than @a urgency are expected to use within
/// @a horizon: their demand, or their part of @a totalRate if that is more.
/// @param totalRate tokens per second that this daemon and its borrowers use
/// @note O(urgencies)
Tokens expectedUrgentUse(const TokenShares &shares, int urgency, double totalRate, Millis horizon,
                         MonoTime now);

} // namespace tamarack
