// Loans of tokens between daemons. A lender reserves the lent tokens in its own grant, so every
// loan stays covered by the ledger even if the lender or the borrower crashes. All totals are
// cumulative for one process of the lender and one of the borrower, because messages may be lost,
// duplicated or reordered.
#pragma once

#include "core/peermessage.h"
#include "core/relay/prepaid.h"

#include <set>

namespace tamarack {

/// @brief Requests a loan that covers @a amount and the expected use during the loan horizon. Does
/// nothing while a loan request for the account is pending.
/// @param urgency urgency of the request that waits for the loan
void requestLoan(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                 PrepaidBalance &balance, const PeerAddress &lender, Tokens amount, int urgency,
                 MonoTime now);

/// @brief Requests a loan in advance if the tokens held for an account run low.
void refillLoans(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                 PrepaidBalance &balance, MonoTime now);

/// @brief Returns loans that have been unused for longer than @a idleTime, and reports spent and
/// returned tokens to the lenders.
void returnIdleLoansAndReport(PrepaidState &state, const AccountId &account,
                              PrepaidBalance &balance, Millis idleTime, MonoTime now);

/// @brief Handles a borrower's loan request or usage report.
/// @param from the borrower's host
void handleLoanRequest(PrepaidState &state, const PrepaidSettings &settings,
                       const LoanRequest &request, const HostId &from, MonoTime now);

/// @brief Handles a lender's reply and adds the lent tokens to the balance.
/// @param from the lender's host
void handleLoanReply(PrepaidState &state, const PrepaidSettings &settings, const LoanReply &reply,
                     const HostId &from, MonoTime now);

/// @brief Returns the unreserved tokens of a recalled loan.
void returnRecalledLoan(PrepaidState &state, const LoanReply &reply);

/// @brief Replies to the borrowers that wait for a ledger call, as far as the result allows.
void serveBorrowers(PrepaidState &state, const PrepaidSettings &settings, MonoTime now);

/// @brief Drops loan requests that timed out, and excludes their lenders for a while.
/// @return the accounts of the dropped requests
std::set<AccountId> expireLoanRequests(PrepaidState &state, const PrepaidSettings &settings,
                                       MonoTime now);

/// @brief Returns true while a loan request for the account is pending.
bool isLoanRequestPending(const PrepaidState &state, const AccountId &account);

/// @brief Recalls all issued loans and stops lending.
void stopLending(PrepaidState &state, const PrepaidSettings &settings, MonoTime now);

/// @brief Returns the unreserved tokens of all received loans and charges the outstanding tokens of
/// all issued loans as spent.
void closeLoans(PrepaidState &state, const AccountId &account, PrepaidBalance &balance,
                MonoTime now);

} // namespace tamarack
