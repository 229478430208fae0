// Functions shared by the source files of the prepaid balances. Internal to the library.
#pragma once

#include "core/relay/prepaid.h"
#include "core/relay/prepaidshortage.h"

namespace tamarack::prepaiddetail {

/// @brief Returns the ledger shard of an account, which batches its operations into group commits.
PrepaidShard &shardFor(PrepaidState &state, const PrepaidSettings &settings,
                       const AccountId &account);

/// @brief Returns a ledger shard by its number.
PrepaidShard &shardNumbered(PrepaidState &state, const PrepaidSettings &settings,
                            ShardNumber number);

/// @brief Submits the account's total from the configuration.
void submitFunding(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                   const PrepaidBalance &balance, MonoTime due);

/// @brief Submits the return of an amount of this daemon's own grant.
void submitReturn(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                  PrepaidBalance &balance, Tokens amount, MonoTime due);

/// @brief Returns true if a grant in use holds less than the fraction @a share of its target size.
bool isBelowShare(const PrepaidState &state, const PrepaidSettings &settings,
                  const AccountId &account, const PrepaidBalance &balance, double share,
                  MonoTime now);

/// @brief Returns the tokens per second that this daemon's requests and its borrowers use.
double consumptionRate(const PrepaidBalance &balance, MonoTime now);

/// @brief Returns the tokens per second that are lent, minus those that are returned.
double lendRate(const PrepaidBalance &balance, MonoTime now);

/// @brief Records lent tokens, or returned ones if the amount is negative.
void recordLent(PrepaidBalance &balance, Tokens amount, MonoTime now);

/// @brief Records the first use of an account.
/// @param expectedRate estimated tokens per second until the observed rate is reliable
void recordFirstUse(PrepaidBalance &balance, double expectedRate, MonoTime now);

/// @brief Returns the account's record in the last copy of the ledger, or nullptr if there is none.
const BudgetRecord *findBudgetRecord(const PrepaidState &state, const PrepaidSettings &settings,
                                     const AccountId &account);

/// @brief Returns true if the unallocated part of the total is below PrepaidSettings::scarceShare_.
bool isScarce(const PrepaidSettings &settings, const BudgetRecord &record);

/// @brief Returns true if a fresh copy of the ledger shows that a draw can't succeed.
bool isShortageKnown(const PrepaidState &state, const PrepaidSettings &settings,
                     const AccountId &account, Tokens amount, MonoTime now);

/// @brief Submits a draw that covers @a needed and, if this daemon is a lender of its zone, the
/// expected use during PrepaidSettings::grantHorizon_.
void submitDraw(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                PrepaidBalance &balance, Tokens needed, MonoTime now, MonoTime due);

/// @brief Returns tokens of a scarce account to the ledger, except those that this daemon is
/// expected to use within PrepaidSettings::scarceHorizon_.
void returnScarceTokens(PrepaidState &state, const PrepaidSettings &settings,
                        const AccountId &account, PrepaidBalance &balance, MonoTime now);

/// @brief Draws or borrows in advance, or returns a grant that this daemon no longer needs.
void reconcileBalance(PrepaidState &state, const PrepaidSettings &settings,
                      const AccountId &account, PrepaidBalance &balance, MonoTime now);

/// @brief Returns from where this daemon gets tokens of an account.
LenderChoice lenderForAccount(const PrepaidState &state, const PrepaidSettings &settings,
                              const AccountId &account, MonoTime now);

/// @brief Returns what a borrower has borrowed lately, in tokens per second.
double borrowingRate(const IssuedLoan &issuedLoan, MonoTime now);

/// @brief Returns the lent tokens that the borrower has neither spent nor returned.
Tokens outstandingOf(const IssuedLoan &issuedLoan);

/// @brief Applies a borrower's report. Totals never decrease and never exceed the lent amount.
void settleIssuedLoan(PrepaidBalance &balance, IssuedLoan &issuedLoan, Tokens spent,
                      Tokens returned, MonoTime now);

/// @brief Reports the spent and returned tokens of a loan to its lender, if they have changed.
void sendReport(PrepaidState &state, const AccountId &account, const HolderId &lenderId,
                ReceivedLoan &loan);

/// @brief Tells a borrower the total lent so far, and that this daemon lends no more for now.
void sendUnavailable(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                     IssuedLoan &issuedLoan);

} // namespace tamarack::prepaiddetail
