// Loans of tokens between daemons. A lender sets what it lends aside in its own grant, so loans are
// covered by the ledger whatever becomes of either daemon. All totals are cumulative for a pair of
// runs: messages may be lost, doubled or reordered.
#pragma once

#include "core/peermessage.h"
#include "core/relay/prepaid.h"

#include <set>

namespace tamarack {

/// @brief Asks a lender for what a request needs and for the next seconds. Does nothing while a
/// question about the account is open.
void askForLoan(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                PrepaidBalance &balance, const PeerAddress &lender, Tokens amount, MonoTime now);

/// @brief Asks ahead if the loans of an account run low.
void reviewLoans(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                 PrepaidBalance &balance, MonoTime now);

/// @brief Returns loans that were not used for @a idle and reports what was spent.
void returnIdleLoans(PrepaidState &state, const AccountId &account, PrepaidBalance &balance,
                     Millis idle, MonoTime now);

/// @brief Handles a borrower's question or report.
/// @param from the borrower's host
void takeLoanAsk(PrepaidState &state, const PrepaidSettings &settings, const LoanRequest &ask,
                 const HostId &from, MonoTime now);

/// @brief Takes over what was lent.
/// @param from the lender's host
void takeLoan(PrepaidState &state, const PrepaidSettings &settings, const LoanReply &lent,
              const HostId &from, MonoTime now);

/// @brief Returns what a recalled loan holds beyond its reservations.
void returnRecalled(PrepaidState &state, const LoanReply &lent);

/// @brief Answers the borrowers that wait for a call to the ledger, as far as is possible now.
void serveBorrowers(PrepaidState &state, const PrepaidSettings &settings, MonoTime now);

/// @brief Gives up questions without answer.
/// @return the accounts concerned
std::set<AccountId> expireAsks(PrepaidState &state, const PrepaidSettings &settings, MonoTime now);

/// @brief Returns true while a question about an account is open.
bool isAsking(const PrepaidState &state, const AccountId &account);

/// @brief Asks all borrowers to return what they don't need, and lends no more.
void stopLending(PrepaidState &state, const PrepaidSettings &settings);

/// @brief Returns all loans that no request uses and charges what borrowers still hold.
void closeLoans(PrepaidState &state, const AccountId &account, PrepaidBalance &balance,
                MonoTime now);

} // namespace tamarack
