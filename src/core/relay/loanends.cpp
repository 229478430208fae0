// How loans end before they are spent: by a recall, or with the stop of the lender or borrower.
#include "core/relay/granthandover.h"
#include "core/relay/loans.h"
#include "core/relay/prepaidinternal.h"

namespace tamarack {

using namespace prepaiddetail;

void returnRecalledLoan(PrepaidState &state, const LoanReply &reply)
{
    const auto found = state.balances_.find(reply.account_);
    const bool isOwn = reply.borrower_ == state.holder_;
    if (!reply.recalled_ || !isOwn || found == state.balances_.end())
        return;
    const auto loan = found->second.receivedLoans_.find(reply.lender_);
    if (loan == found->second.receivedLoans_.end())
        return;
    const std::optional<PendingLoanRequest> &pending = found->second.pendingRequest_;
    // The pending request asks for what is missing to the tokens of this loan.
    if (pending && pending->host_ == loan->second.lenderHost_)
        return;
    HeldGrant &grant = loan->second.grant_;
    // The lender can distribute the remaining tokens to all daemons of the zone.
    grant.returned_ += reservableTokens(grant);
    sendReport(state, reply.account_, loan->first, loan->second);
}

void stopLending(PrepaidState &state, const PrepaidSettings &settings, MonoTime now)
{
    state.stopping_ = true;
    for (auto &[account, balance] : state.balances_) {
        if (isHandingOver(state, settings, account)) {
            const std::chrono::duration<double> time = settings.handoverKeepTime_;
            const double ownUse = consumptionRateAt(balance.grant_, now) * time.count();
            handOver(state, settings, account, balance, Tokens {static_cast<std::int64_t>(ownUse)},
                     now);
        }
        for (auto &[borrower, issuedLoan] : balance.issuedLoans_) {
            if (outstandingOf(issuedLoan) > Tokens {} || issuedLoan.replyPending_)
                sendUnavailable(state, settings, account, issuedLoan);
        }
    }
}

void closeLoans(PrepaidState &state, const AccountId &account, PrepaidBalance &balance,
                MonoTime now)
{
    for (auto &[lenderId, loan] : balance.receivedLoans_) {
        loan.grant_.returned_ += reservableTokens(loan.grant_);
        sendReport(state, account, lenderId, loan);
    }
    for (auto &[borrower, issuedLoan] : balance.issuedLoans_) {
        // Borrowers may still spend outstanding tokens after this daemon has stopped, so they are
        // charged now.
        settleIssuedLoan(balance, issuedLoan, issuedLoan.lent_ - issuedLoan.returned_,
                         issuedLoan.returned_, now);
    }
}

} // namespace tamarack
