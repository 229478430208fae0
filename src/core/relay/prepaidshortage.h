// Why tokens of an account are short, and which requests get those that are left.
#pragma once

#include "core/relay/prepaid.h"

#include <optional>

namespace tamarack {

/// @brief Why the grant does not cover an amount, according to the last copy of the ledger.
enum class Shortage {
    /// The ledger has not been read yet.
    Unknown,
    /// The remaining total is smaller than the amount.
    Exhausted,
    /// The remaining total covers the amount, but other daemons hold too much of it.
    HeldElsewhere,
    /// A draw can still succeed.
    None,
};

/// @brief Ledger values behind a Shortage, for the log.
struct ShortageDetails
{
    Tokens funded_;
    Tokens charged_;
    /// Held by all daemons, including this one, and not settled.
    Tokens outstanding_;
    Tokens unallocated_;
    /// Unreserved tokens of this daemon's own grant.
    Tokens available_;
    /// Age of the ledger copy.
    Millis age_ {};
};

ShortageDetails shortageDetails(const PrepaidState &state, const PrepaidSettings &settings,
                                const AccountId &account, MonoTime now);

/// @brief Returns the lender's refusal if it applies to @a amount and has not expired.
std::optional<LenderRefusal> recentLenderRefusal(const PrepaidState &state,
                                                 const PrepaidSettings &settings,
                                                 const AccountId &account, Tokens amount,
                                                 MonoTime now, int urgency = 0);

/// @brief Returns why an amount can't be reserved, according to this daemon's copy of the ledger.
Shortage classifyShortage(const PrepaidState &state, const PrepaidSettings &settings,
                          const AccountId &account, Tokens amount);

/// @brief Returns true if the last store call failed, or the last one for the account's ledger
/// shard, or draws are paused.
bool isLedgerFailing(const PrepaidState &state, const PrepaidSettings &settings,
                     const AccountId &account);

/// @brief Returns true if the fleet is large enough for PrepaidSettings::manageShortageFrom_.
bool managesShortage(const PrepaidState &state, const PrepaidSettings &settings);

/// @brief Returns true if isLedgerFailing(), or if all lenders have said that they have no tokens.
bool isTokenSupplyFailing(const PrepaidState &state, const PrepaidSettings &settings,
                          const AccountId &account, MonoTime now);

/// @brief Returns the expected time until the ledger can be drawn on, or the time that a grant
/// covers if nothing fails.
Millis expectedShortageRest(const PrepaidState &state, const PrepaidSettings &settings,
                            MonoTime now);

/// @brief Returns what is left for requests of an urgency, or nothing if tokens are not short, the
/// account is used with one urgency only, or a lender decides.
std::optional<UrgentShare> findUrgentShare(const PrepaidState &state,
                                           const PrepaidSettings &settings,
                                           const AccountId &account, int urgency, MonoTime now);

/// @brief Returns true if the tokens would cover @a amount, but more urgent requests need them.
bool isReservedForUrgent(const UrgentShare &share, Tokens amount);

/// @brief Records whether the store can be reached. If it can, the backoff after failed calls ends.
void noticeStoreContact(PrepaidState &state, bool contact, MonoTime now);

} // namespace tamarack
