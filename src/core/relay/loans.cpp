// Loans of tokens between daemons.
#include "core/relay/loans.h"

#include "core/relay/granthandover.h"
#include "core/relay/prepaidinternal.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace prepaiddetail {

namespace {

/// Returns a message with the totals of a loan. It is a usage report unless wanted_ is set.
LoanRequest makeReport(const PrepaidState &state, const AccountId &account,
                       const HolderId &lenderId, const ReceivedLoan &loan)
{
    LoanRequest request;
    request.borrower_ = state.holder_;
    request.replyAddress_ = state.peerAddress_;
    request.lender_ = lenderId;
    request.account_ = account;
    request.spent_ = loan.grant_.spent_;
    request.returned_ = loan.grant_.returned_;
    return request;
}

void markReported(ReceivedLoan &loan)
{
    loan.grant_.settled_ = loan.grant_.spent_;
    loan.reportedReturned_ = loan.grant_.returned_;
}

bool isRecalling(const PrepaidState &state, const PrepaidSettings &settings,
                 const AccountId &account)
{
    // Tokens that came back could not be returned to the ledger.
    if (isHandingOver(state, settings, account))
        return false;
    const BudgetRecord *record = findBudgetRecord(state, settings, account);
    return state.stopping_ || (record && isScarce(settings, *record));
}

/// Returns a reply with the current total, which lends no additional tokens.
LoanReply makeLoanReply(const PrepaidState &state, const PrepaidSettings &settings,
                        const AccountId &account, const IssuedLoan &issuedLoan)
{
    LoanReply reply;
    reply.lender_ = state.holder_;
    reply.borrower_ = issuedLoan.borrower_;
    reply.account_ = account;
    reply.lent_ = issuedLoan.lent_;
    reply.recalled_ = isRecalling(state, settings, account);
    return reply;
}

void send(PrepaidState &state, IssuedLoan &issuedLoan, LoanReply reply)
{
    issuedLoan.replyPending_ = false;
    state.outbox_.push_back(
        SendPeer {issuedLoan.borrowerHost_, issuedLoan.borrowerAddress_, std::move(reply)});
}

} // namespace

double borrowingRate(const IssuedLoan &issuedLoan, MonoTime now)
{
    const std::chrono::duration<double> gap = now - issuedLoan.lentRateAt_;
    return issuedLoan.lentRate_ * std::exp(-gap / consumptionRateWindow);
}

Tokens outstandingOf(const IssuedLoan &issuedLoan)
{
    return issuedLoan.lent_ - issuedLoan.spent_ - issuedLoan.returned_;
}

void sendReport(PrepaidState &state, const AccountId &account, const HolderId &lenderId,
                ReceivedLoan &loan)
{
    const bool changed = loan.grant_.settled_ != loan.grant_.spent_
        || loan.reportedReturned_ != loan.grant_.returned_;
    if (!changed)
        return;
    markReported(loan);
    state.outbox_.push_back(SendPeer {loan.lenderHost_, loan.lenderAddress_,
                                      makeReport(state, account, lenderId, loan)});
}

void settleIssuedLoan(PrepaidBalance &balance, IssuedLoan &issuedLoan, Tokens spent,
                      Tokens returned, MonoTime now)
{
    HeldGrant &grant = balance.grant_;
    const Tokens newlySpent
        = std::clamp(spent - issuedLoan.spent_, Tokens {}, outstandingOf(issuedLoan));
    issuedLoan.spent_ += newlySpent;
    grant.reserved_ -= newlySpent;
    grant.spent_ += newlySpent;
    const Tokens newlyReturned
        = std::clamp(returned - issuedLoan.returned_, Tokens {}, outstandingOf(issuedLoan));
    issuedLoan.returned_ += newlyReturned;
    grant.reserved_ -= newlyReturned;
    recordLent(balance, Tokens {} - newlyReturned, now);
}

void sendUnavailable(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                     IssuedLoan &issuedLoan)
{
    LoanReply reply = makeLoanReply(state, settings, account, issuedLoan);
    reply.unavailable_ = true;
    send(state, issuedLoan, std::move(reply));
}

} // namespace prepaiddetail

namespace {

using namespace prepaiddetail;

Tokens usedOf(const HeldGrant &grant)
{
    return grant.returned_ + grant.spent_ + grant.reserved_;
}

Tokens loanHorizonTokens(const PrepaidSettings &settings, const PrepaidBalance &balance,
                         MonoTime now)
{
    const std::chrono::duration<double> horizon = settings.loanHorizon_;
    return Tokens {static_cast<std::int64_t>(consumptionRate(balance, now) * horizon.count())};
}

/// Returns the tokens per second that a borrower expects to use, from the amount it requests in
/// advance.
double requestedConsumptionRate(const PrepaidSettings &settings, const LoanRequest &request)
{
    const std::chrono::duration<double> horizon = settings.loanHorizon_;
    return static_cast<double>((request.wanted_ - request.needed_).count_) / horizon.count();
}

void sendRefusal(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                 IssuedLoan &issuedLoan, Tokens needed)
{
    LoanReply reply = makeLoanReply(state, settings, account, issuedLoan);
    reply.refusal_ = classifyShortage(state, settings, account, needed) == Shortage::Exhausted
        ? LoanRefusal::Exhausted
        : LoanRefusal::HeldElsewhere;
    send(state, issuedLoan, std::move(reply));
}

/// Lends the requested tokens, refuses, or waits for a draw.
void serveBorrower(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                   PrepaidBalance &balance, IssuedLoan &issuedLoan, MonoTime now)
{
    HeldGrant &grant = balance.grant_;
    const Tokens needed = std::max(issuedLoan.needed_ - issuedLoan.lent_, Tokens {});
    if (state.stopping_) {
        sendUnavailable(state, settings, account, issuedLoan);
        return;
    }
    const std::optional<UrgentShare> share
        = findUrgentShare(state, settings, account, issuedLoan.urgency_, now);
    if (share && needed > Tokens {} && isReservedForUrgent(*share, needed)) {
        state.reservedForUrgent_.push_back(ReservedForUrgent {account, issuedLoan.borrowerHost_,
                                                              needed, issuedLoan.urgency_, *share});
        sendRefusal(state, settings, account, issuedLoan, needed);
        return;
    }
    if (reservableTokens(grant) >= needed) {
        Tokens amount = needed;
        if (!isRecalling(state, settings, account)) {
            const Tokens kept = share ? share->expected_ : Tokens {};
            const double spare = static_cast<double>(
                std::max(reservableTokens(grant) - needed - kept, Tokens {}).count_);
            const Tokens ahead = std::max(issuedLoan.wanted_ - issuedLoan.lent_, needed) - needed;
            amount += std::min(ahead,
                               Tokens {static_cast<std::int64_t>(spare * settings.maxLoanShare_)});
        }
        grant.reserved_ += amount;
        issuedLoan.lent_ += amount;
        issuedLoan.lentRate_ = borrowingRate(issuedLoan, now)
            + static_cast<double>(amount.count_) / consumptionRateWindow.count();
        issuedLoan.lentRateAt_ = now;
        recordLent(balance, amount, now);
        send(state, issuedLoan, makeLoanReply(state, settings, account, issuedLoan));
        if (!grant.drawPending_)
            reconcileBalance(state, settings, account, balance, now);
        return;
    }
    // A draw that takes longer than borrowers wait may be the first of an outage. The reply shows
    // that this daemon is alive.
    const bool drawOverdue
        = grant.drawPending_ && now - balance.lastDrawAt_ >= settings.loanTimeout_;
    if (drawOverdue || isLedgerFailing(state, settings, account))
        sendUnavailable(state, settings, account, issuedLoan);
    else if (isShortageKnown(state, settings, account, needed, now))
        sendRefusal(state, settings, account, issuedLoan, needed);
    else if (!grant.drawPending_)
        submitDraw(state, settings, account, balance, needed, now, now);
    else if (PrepaidShard &shard = shardFor(state, settings, account); !shard.call_)
        // The pending draw was delayed for batching, but now a request waits for it.
        scheduleCall(shard, now);
}

} // namespace

void requestLoan(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                 PrepaidBalance &balance, const PeerAddress &lender, Tokens amount, int urgency,
                 MonoTime now)
{
    if (balance.pendingRequest_)
        return;
    const auto known = state.lenderProcesses_.find(lender.host_);
    ReceivedLoan unknown;
    ReceivedLoan *loan = &unknown;
    HolderId lenderProcess;
    if (known != state.lenderProcesses_.end()) {
        lenderProcess = known->second;
        loan = &balance.receivedLoans_[lenderProcess];
        loan->lenderHost_ = lender.host_;
        loan->lenderAddress_ = lender.address_;
    }
    LoanRequest request = makeReport(state, account, lenderProcess, *loan);
    request.needed_ = usedOf(loan->grant_) + amount;
    request.wanted_ = request.needed_ + loanHorizonTokens(settings, balance, now);
    request.urgency_ = urgency;
    markReported(*loan);
    balance.loanRequestedAt_ = now;
    balance.pendingRequest_
        = PendingLoanRequest {lender.host_, amount, now + settings.loanTimeout_, urgency};
    state.unansweredSince_.emplace(lender.host_, now);
    state.outbox_.push_back(SendPeer {lender.host_, lender.address_, std::move(request)});
}

void refillLoans(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                 PrepaidBalance &balance, MonoTime now)
{
    const bool wanted = !balance.pendingRequest_
        && now - balance.loanRequestedAt_ >= settings.loanRequestInterval_
        && now - balance.lastUsedAt_ <= settings.loanIdleTimeout_;
    if (!wanted)
        return;
    Tokens held = reservableTokens(balance.grant_);
    for (const auto &[lenderId, loan] : balance.receivedLoans_)
        held += reservableTokens(loan.grant_);
    const Tokens horizon = loanHorizonTokens(settings, balance, now);
    if (static_cast<double>(held.count_)
        >= static_cast<double>(horizon.count_) * settings.refillShare_)
        return;
    const LenderChoice choice = lenderForAccount(state, settings, account, now);
    if (choice.source_ == TokenSource::Lender)
        requestLoan(state, settings, account, balance, choice.lender_, Tokens {},
                    leastUrgent(balance.shares_), now);
}

void returnIdleLoansAndReport(PrepaidState &state, const AccountId &account,
                              PrepaidBalance &balance, Millis idleTime, MonoTime now)
{
    for (auto &[lenderId, loan] : balance.receivedLoans_) {
        // The lender of a handed-over loan has ended or is about to.
        if (now - loan.lastUsedAt_ > idleTime && !loan.handedOver_)
            loan.grant_.returned_ += reservableTokens(loan.grant_);
        sendReport(state, account, lenderId, loan);
    }
}

void handleLoanRequest(PrepaidState &state, const PrepaidSettings &settings,
                       const LoanRequest &request, const HostId &from, MonoTime now)
{
    const auto found = state.balances_.find(request.account_);
    if (found == state.balances_.end()) {
        // The configuration that contains the account has not been received yet.
        IssuedLoan issuedLoan;
        issuedLoan.borrower_ = request.borrower_;
        issuedLoan.borrowerHost_ = from;
        issuedLoan.borrowerAddress_ = request.replyAddress_;
        sendUnavailable(state, settings, request.account_, issuedLoan);
        return;
    }
    PrepaidBalance &balance = found->second;
    IssuedLoan &issuedLoan = balance.issuedLoans_[request.borrower_];
    issuedLoan.borrower_ = request.borrower_;
    issuedLoan.borrowerHost_ = from;
    issuedLoan.borrowerAddress_ = request.replyAddress_;
    const bool otherProcess = !request.lender_.isEmpty() && request.lender_ != state.holder_;
    if (otherProcess) {
        // The totals refer to an earlier process of this lender; the reply names the current one.
        send(state, issuedLoan, makeLoanReply(state, settings, request.account_, issuedLoan));
        return;
    }
    settleIssuedLoan(balance, issuedLoan, request.spent_, request.returned_, now);
    const bool isReport = request.wanted_ == Tokens {};
    if (isReport)
        return;
    // A request is repeated while its reply is late; it is not counted again.
    const bool isRepeated = issuedLoan.replyPending_ && request.needed_ <= issuedLoan.needed_;
    if (!isRepeated && request.needed_ > issuedLoan.lent_)
        recordDemand(balance.loanShares_, request.urgency_, request.needed_ - issuedLoan.lent_,
                     now);
    issuedLoan.largestNeed_ = std::max(issuedLoan.largestNeed_, request.needed_ - issuedLoan.lent_);
    issuedLoan.urgency_ = request.urgency_;
    issuedLoan.needed_ = request.needed_;
    issuedLoan.wanted_ = request.wanted_;
    issuedLoan.replyPending_ = true;
    recordFirstUse(balance, requestedConsumptionRate(settings, request), now);
    serveBorrower(state, settings, request.account_, balance, issuedLoan, now);
}

void handleLoanReply(PrepaidState &state, const PrepaidSettings &settings, const LoanReply &reply,
                     const HostId &from, MonoTime now)
{
    const auto found = state.balances_.find(reply.account_);
    if (found == state.balances_.end() || reply.borrower_ != state.holder_)
        return;
    PrepaidBalance &balance = found->second;
    state.lenderProcesses_[from] = reply.lender_;
    state.silentLenders_.erase(from);
    state.unansweredSince_.erase(from);
    ReceivedLoan &loan = balance.receivedLoans_[reply.lender_];
    if (loan.grant_.id_.isEmpty()) {
        loan.grant_.id_ = GrantId {reply.lender_.value_};
        loan.lenderHost_ = from;
        loan.lastUsedAt_ = now;
        const auto &sameZone = state.lenders_.sameZone_;
        const auto &otherZones = state.lenders_.otherZones_;
        for (const auto *daemons : {&sameZone, &otherZones}) {
            const auto lender
                = std::find_if(daemons->begin(), daemons->end(),
                               [&from](const PeerAddress &peer) { return peer.host_ == from; });
            if (lender != daemons->end())
                loan.lenderAddress_ = lender->address_;
        }
    }
    const bool increased = reply.lent_ > loan.grant_.authorized_;
    loan.handedOver_ = reply.unavailable_ && !reply.recalled_ && (increased || loan.handedOver_);
    // Replies may be reordered; an older total must not reduce the loan.
    loan.grant_.authorized_ = std::max(loan.grant_.authorized_, reply.lent_);
    if (balance.pendingRequest_ && balance.pendingRequest_->host_ == from) {
        if (reply.refusal_ != LoanRefusal::None)
            balance.refusal_
                = LenderRefusal {from, reply.refusal_, balance.pendingRequest_->amount_, now,
                                 balance.pendingRequest_->urgency_};
        balance.pendingRequest_.reset();
    }
    if (reply.unavailable_)
        balance.lendersWithoutTokens_[from] = now + settings.lenders_.noTokensExclusion_;
}

void serveBorrowers(PrepaidState &state, const PrepaidSettings &settings, MonoTime now)
{
    for (auto &[account, balance] : state.balances_) {
        for (auto &[borrower, issuedLoan] : balance.issuedLoans_) {
            if (issuedLoan.replyPending_)
                serveBorrower(state, settings, account, balance, issuedLoan, now);
        }
    }
}

std::set<AccountId> expireLoanRequests(PrepaidState &state, const PrepaidSettings &settings,
                                       MonoTime now)
{
    std::set<AccountId> expired;
    for (auto &[account, balance] : state.balances_) {
        if (!balance.pendingRequest_ || balance.pendingRequest_->expiresAt_ > now)
            continue;
        const HostId &host = balance.pendingRequest_->host_;
        const auto silent = state.silentLenders_.emplace(host, now).first;
        // A lender that waits for the ledger replies to later requests at once. If it counted as
        // dead, the next daemon would become a lender and draw as well.
        if (now - silent->second < settings.lenders_.maxSilence_)
            balance.lendersWithoutTokens_[host] = now + settings.lenders_.noTokensExclusion_;
        else
            state.lenders_.unresponsive_[host] = now + settings.lenders_.unresponsiveExclusion_;
        balance.pendingRequest_.reset();
        expired.insert(account);
    }
    return expired;
}

bool isLoanRequestPending(const PrepaidState &state, const AccountId &account)
{
    const auto balance = state.balances_.find(account);
    return balance != state.balances_.end() && balance->second.pendingRequest_.has_value();
}

} // namespace tamarack
