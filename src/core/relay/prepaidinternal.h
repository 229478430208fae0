// Parts of the prepaid balances that their source files share. Internal to the library.
#pragma once

#include "core/relay/prepaid.h"

namespace tamarack::prepaiddetail {

/// @brief Returns the group commit of an account's ledger shard.
PrepaidShard &shardFor(PrepaidState &state, const PrepaidSettings &settings,
                       const AccountId &account);

/// @brief Submits the account's total as the configuration names it.
void submitFunding(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                   const PrepaidBalance &balance, MonoTime due);

/// @brief Submits the hand-back of an amount of the own grant.
void submitReturn(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                  PrepaidBalance &balance, Tokens amount, MonoTime due);

/// @brief Returns true if a grant in use has less than a share of what it should hold.
bool isBelowShare(const PrepaidState &state, const PrepaidSettings &settings,
                  const AccountId &account, const PrepaidBalance &balance, double share,
                  MonoTime now);

/// @brief Returns tokens a second, own requests and borrowers together.
double burnRate(const PrepaidBalance &balance, MonoTime now);

/// @brief Returns tokens a second that borrowers take, less what they return.
double lendRate(const PrepaidBalance &balance, MonoTime now);

/// @brief Notes tokens that were lent, or returned if the amount is negative.
void recordLent(PrepaidBalance &balance, Tokens amount, MonoTime now);

/// @brief Notes the first use of an account.
/// @param burn tokens a second that are expected until more has been seen
void recordFirstUse(PrepaidBalance &balance, double expectedRate, MonoTime now);

/// @brief Returns the account's record in the last copy of the ledger, nullptr if there is none.
const BudgetRecord *findBudgetRecord(const PrepaidState &state, const PrepaidSettings &settings,
                                     const AccountId &account);

/// @brief Returns true if little of the total is unallocated.
bool isScarce(const PrepaidSettings &settings, const BudgetRecord &record);

/// @brief Returns true if a fresh copy of the ledger shows that a draw can't succeed.
bool isShortageKnown(const PrepaidState &state, const PrepaidSettings &settings,
                     const AccountId &account, Tokens amount, MonoTime now);

/// @brief Submits a draw that covers @a needed and, if this daemon draws for its zone, the reach.
void submitDraw(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                PrepaidBalance &balance, Tokens needed, MonoTime now, MonoTime due);

/// @brief Hands back what a scarce account's grant holds beyond the next moment's need.
void returnScarceTokens(PrepaidState &state, const PrepaidSettings &settings,
                        const AccountId &account, PrepaidBalance &balance, MonoTime now);

/// @brief Draws or borrows ahead, or hands back a grant that this daemon should not hold.
void reconcileBalance(PrepaidState &state, const PrepaidSettings &settings,
                      const AccountId &account, PrepaidBalance &balance, MonoTime now);

/// @brief Returns who draws for an account, nothing if this daemon does.
std::optional<PeerAddress> lenderForAccount(const PrepaidState &state,
                                            const PrepaidSettings &settings,
                                            const AccountId &account, MonoTime now);

} // namespace tamarack::prepaiddetail
