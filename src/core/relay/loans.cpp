// Loans of tokens between daemons.
#include "core/relay/loans.h"

#include "core/relay/prepaidparts.h"

#include <algorithm>

namespace tamarack {

namespace {

using namespace prepaiddetail;

Tokens usedOf(const HeldGrant &grant)
{
    return grant.returned_ + grant.spent_ + grant.reserved_;
}

Tokens outstandingOf(const CreditLine &line)
{
    return line.lent_ - line.spent_ - line.returned_;
}

Tokens reachOf(const PrepaidSettings &settings, const PrepaidBalance &balance, MonoTime now)
{
    const std::chrono::duration<double> reach = settings.loanReach_;
    return Tokens {static_cast<std::int64_t>(burnRate(balance, now) * reach.count())};
}

/// A message with the totals of a loan; a report, as long as nothing is wanted.
LoanRequest reportOf(const PrepaidState &state, const AccountId &account, const HolderId &run,
                     const Loan &loan)
{
    LoanRequest ask;
    ask.borrower_ = state.holder_;
    ask.replyAddress_ = state.peerAddress_;
    ask.lender_ = run;
    ask.account_ = account;
    ask.spent_ = loan.grant_.spent_;
    ask.returned_ = loan.grant_.returned_;
    return ask;
}

void noteReported(Loan &loan)
{
    loan.grant_.settled_ = loan.grant_.spent_;
    loan.reportedReturns_ = loan.grant_.returned_;
}

void sendReport(PrepaidState &state, const AccountId &account, const HolderId &run, Loan &loan)
{
    const bool changed = loan.grant_.settled_ != loan.grant_.spent_
        || loan.reportedReturns_ != loan.grant_.returned_;
    if (!changed)
        return;
    noteReported(loan);
    state.outbox_.push_back(
        SendPeer {loan.lenderHost_, loan.lenderAddress_, reportOf(state, account, run, loan)});
}

/// Takes over what a borrower reports. Totals never decrease and stay within what was lent.
void settleLine(PrepaidBalance &balance, CreditLine &line, Tokens spent, Tokens returned,
                MonoTime now)
{
    HeldGrant &grant = balance.grant_;
    const Tokens newlySpent = std::clamp(spent - line.spent_, Tokens {}, outstandingOf(line));
    line.spent_ += newlySpent;
    grant.reserved_ -= newlySpent;
    grant.spent_ += newlySpent;
    const Tokens newlyReturned
        = std::clamp(returned - line.returned_, Tokens {}, outstandingOf(line));
    line.returned_ += newlyReturned;
    grant.reserved_ -= newlyReturned;
    noteLent(balance, Tokens {} - newlyReturned, now);
}

/// Tokens a second that a borrower expects to use, by what it wants ahead.
double burnAsked(const PrepaidSettings &settings, const LoanRequest &ask)
{
    const std::chrono::duration<double> reach = settings.loanReach_;
    return static_cast<double>((ask.wanted_ - ask.needed_).count_) / reach.count();
}

bool isRecalling(const PrepaidState &state, const PrepaidSettings &settings,
                 const AccountId &account)
{
    const BudgetRecord *record = recordOf(state, settings, account);
    return state.stopping_ || (record && isScarce(settings, *record));
}

/// An answer without more tokens than were lent before.
LoanReply answerOf(const PrepaidState &state, const PrepaidSettings &settings,
                   const AccountId &account, const CreditLine &line)
{
    LoanReply lent;
    lent.lender_ = state.holder_;
    lent.account_ = account;
    lent.lent_ = line.lent_;
    lent.recalled_ = isRecalling(state, settings, account);
    return lent;
}

void send(PrepaidState &state, CreditLine &line, LoanReply lent)
{
    line.answerDue_ = false;
    state.outbox_.push_back(SendPeer {line.borrowerHost_, line.borrowerAddress_, std::move(lent)});
}

void sendUnavailable(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                     CreditLine &line)
{
    LoanReply lent = answerOf(state, settings, account, line);
    lent.unavailable_ = true;
    send(state, line, std::move(lent));
}

void sendRefusal(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                 CreditLine &line, Tokens needed)
{
    LoanReply lent = answerOf(state, settings, account, line);
    lent.refusal_ = judgeShortage(state, settings, account, needed) == Shortage::Exhausted
        ? LoanRefusal::Exhausted
        : LoanRefusal::HeldElsewhere;
    send(state, line, std::move(lent));
}

/// Lends what is asked for, answers why not, or waits for a draw.
void serveLine(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
               PrepaidBalance &balance, CreditLine &line, MonoTime now)
{
    HeldGrant &grant = balance.grant_;
    const Tokens needed = std::max(line.needed_ - line.lent_, Tokens {});
    if (state.stopping_) {
        sendUnavailable(state, settings, account, line);
        return;
    }
    if (reservableTokens(grant) >= needed) {
        Tokens amount = needed;
        if (!isRecalling(state, settings, account)) {
            const double spare = static_cast<double>((reservableTokens(grant) - needed).count_);
            const Tokens ahead = std::max(line.wanted_ - line.lent_, needed) - needed;
            amount
                += std::min(ahead, Tokens {static_cast<std::int64_t>(spare * settings.loanShare_)});
        }
        grant.reserved_ += amount;
        line.lent_ += amount;
        noteLent(balance, amount, now);
        send(state, line, answerOf(state, settings, account, line));
        if (!grant.drawPending_)
            reviewBalance(state, settings, account, balance, now);
        return;
    }
    if (isLedgerFailing(state, settings, account))
        sendUnavailable(state, settings, account, line);
    else if (isKnownShort(state, settings, account, needed, now))
        sendRefusal(state, settings, account, line, needed);
    else if (!grant.drawPending_)
        submitDraw(state, settings, account, balance, needed, now, now);
    else if (PrepaidShard &shard = shardOf(state, settings, account); !shard.call_)
        // A draw ahead was about to wait for others.
        scheduleCall(shard, now);
}

} // namespace

void askForLoan(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                PrepaidBalance &balance, const PeerAddress &lender, Tokens amount, MonoTime now)
{
    if (balance.ask_)
        return;
    const auto run = state.runs_.find(lender.host_);
    Loan unknown;
    Loan *loan = &unknown;
    HolderId lenderRun;
    if (run != state.runs_.end()) {
        lenderRun = run->second;
        loan = &balance.loans_[lenderRun];
        loan->lenderHost_ = lender.host_;
        loan->lenderAddress_ = lender.address_;
    }
    LoanRequest ask = reportOf(state, account, lenderRun, *loan);
    ask.needed_ = usedOf(loan->grant_) + amount;
    ask.wanted_ = ask.needed_ + reachOf(settings, balance, now);
    noteReported(*loan);
    balance.askedAt_ = now;
    balance.ask_ = PendingAsk {lender.host_, amount, now + settings.loanLimit_};
    state.outbox_.push_back(SendPeer {lender.host_, lender.address_, std::move(ask)});
}

void reviewLoans(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                 PrepaidBalance &balance, MonoTime now)
{
    const bool wanted = !balance.ask_ && now - balance.askedAt_ >= settings.loanPause_
        && now - balance.usedAt_ <= settings.loanIdle_;
    if (!wanted)
        return;
    Tokens held = reservableTokens(balance.grant_);
    for (const auto &[run, loan] : balance.loans_)
        held += reservableTokens(loan.grant_);
    const Tokens reach = reachOf(settings, balance, now);
    if (static_cast<double>(held.count_)
        >= static_cast<double>(reach.count_) * settings.refillShare_)
        return;
    if (const auto lender = drawerFor(state, settings, account, now))
        askForLoan(state, settings, account, balance, *lender, Tokens {}, now);
}

void returnIdleLoans(PrepaidState &state, const AccountId &account, PrepaidBalance &balance,
                     Millis idle, MonoTime now)
{
    for (auto &[run, loan] : balance.loans_) {
        if (now - loan.usedAt_ > idle)
            loan.grant_.returned_ += reservableTokens(loan.grant_);
        sendReport(state, account, run, loan);
    }
}

void takeLoanAsk(PrepaidState &state, const PrepaidSettings &settings, const LoanRequest &ask,
                 const HostId &from, MonoTime now)
{
    const auto found = state.balances_.find(ask.account_);
    if (found == state.balances_.end()) {
        // The configuration that names the account is not known here yet.
        CreditLine line;
        line.borrowerHost_ = from;
        line.borrowerAddress_ = ask.replyAddress_;
        sendUnavailable(state, settings, ask.account_, line);
        return;
    }
    PrepaidBalance &balance = found->second;
    CreditLine &line = balance.lines_[ask.borrower_];
    line.borrowerHost_ = from;
    line.borrowerAddress_ = ask.replyAddress_;
    const bool otherRun = !ask.lender_.isEmpty() && ask.lender_ != state.holder_;
    if (otherRun) {
        // The totals are those of an earlier run; the answer names this one.
        send(state, line, answerOf(state, settings, ask.account_, line));
        return;
    }
    settleLine(balance, line, ask.spent_, ask.returned_, now);
    const bool isReport = ask.wanted_ == Tokens {};
    if (isReport)
        return;
    line.needed_ = ask.needed_;
    line.wanted_ = ask.wanted_;
    line.answerDue_ = true;
    noteFirstUse(balance, burnAsked(settings, ask), now);
    serveLine(state, settings, ask.account_, balance, line, now);
}

void takeLoan(PrepaidState &state, const PrepaidSettings &settings, const LoanReply &lent,
              const HostId &from, MonoTime now)
{
    const auto found = state.balances_.find(lent.account_);
    if (found == state.balances_.end())
        return;
    PrepaidBalance &balance = found->second;
    state.runs_[from] = lent.lender_;
    Loan &loan = balance.loans_[lent.lender_];
    if (loan.grant_.id_.isEmpty()) {
        loan.grant_.id_ = GrantId {lent.lender_.value_};
        loan.lenderHost_ = from;
        loan.usedAt_ = now;
        const auto &near = state.lenders_.near_;
        const auto &far = state.lenders_.far_;
        for (const auto *daemons : {&near, &far}) {
            const auto lender
                = std::find_if(daemons->begin(), daemons->end(),
                               [&from](const PeerAddress &peer) { return peer.host_ == from; });
            if (lender != daemons->end())
                loan.lenderAddress_ = lender->address_;
        }
    }
    // An older answer never takes tokens back.
    loan.grant_.authorized_ = std::max(loan.grant_.authorized_, lent.lent_);
    if (balance.ask_ && balance.ask_->host_ == from) {
        if (lent.refusal_ != LoanRefusal::None)
            balance.refusal_ = LenderRefusal {from, lent.refusal_, balance.ask_->amount_, now};
        balance.ask_.reset();
    }
    if (lent.unavailable_)
        balance.emptyLenders_[from] = now + settings.lenders_.emptyPause_;
}

void returnRecalled(PrepaidState &state, const LoanReply &lent)
{
    const auto found = state.balances_.find(lent.account_);
    if (!lent.recalled_ || found == state.balances_.end())
        return;
    const auto loan = found->second.loans_.find(lent.lender_);
    if (loan == found->second.loans_.end())
        return;
    HeldGrant &grant = loan->second.grant_;
    // What little is left should be with the lender, where all daemons of the zone can have it.
    grant.returned_ += reservableTokens(grant);
    sendReport(state, lent.account_, loan->first, loan->second);
}

void serveBorrowers(PrepaidState &state, const PrepaidSettings &settings, MonoTime now)
{
    for (auto &[account, balance] : state.balances_) {
        for (auto &[borrower, line] : balance.lines_) {
            if (line.answerDue_)
                serveLine(state, settings, account, balance, line, now);
        }
    }
}

std::set<AccountId> expireAsks(PrepaidState &state, const PrepaidSettings &settings, MonoTime now)
{
    std::set<AccountId> expired;
    for (auto &[account, balance] : state.balances_) {
        if (!balance.ask_ || balance.ask_->expiresAt_ > now)
            continue;
        state.lenders_.silent_[balance.ask_->host_] = now + settings.lenders_.silentPause_;
        balance.ask_.reset();
        expired.insert(account);
    }
    return expired;
}

bool isAsking(const PrepaidState &state, const AccountId &account)
{
    const auto balance = state.balances_.find(account);
    return balance != state.balances_.end() && balance->second.ask_.has_value();
}

void stopLending(PrepaidState &state, const PrepaidSettings &settings)
{
    state.stopping_ = true;
    for (auto &[account, balance] : state.balances_) {
        for (auto &[borrower, line] : balance.lines_) {
            if (outstandingOf(line) > Tokens {} || line.answerDue_)
                sendUnavailable(state, settings, account, line);
        }
    }
}

void closeLoans(PrepaidState &state, const AccountId &account, PrepaidBalance &balance,
                MonoTime now)
{
    for (auto &[run, loan] : balance.loans_) {
        loan.grant_.returned_ += reservableTokens(loan.grant_);
        sendReport(state, account, run, loan);
    }
    for (auto &[borrower, line] : balance.lines_) {
        // The borrowers may spend it later.
        settleLine(balance, line, line.lent_ - line.returned_, line.returned_, now);
    }
}

} // namespace tamarack
