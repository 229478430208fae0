// Prepaid balances of a relay daemon.
#include "core/relay/prepaid.h"

#include "core/relay/grantreports.h"
#include "core/relay/loans.h"
#include "core/relay/prepaidinternal.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack {

namespace {

using namespace prepaiddetail;

/// Requests per second that are assumed for a new account, each of the size of the first one, until
/// the observed rate is reliable.
constexpr double initialRequestsPerSecond = 2.0;

/// Updates this daemon's view of its grant from the ledger copy.
void updateGrant(const PrepaidState &state, const PrepaidSettings &settings,
                 const AccountId &account, PrepaidBalance &balance)
{
    const BudgetRecord *record = findBudgetRecord(state, settings, account);
    if (!record)
        return;
    balance.fundingCommitted_ = record->fundingVersion_.value_ >= balance.fundingVersion_.value_;
    const auto grant = record->grants_.find(balance.grant_.id_);
    if (grant == record->grants_.end())
        return;
    // Totals never decrease, so an older copy must not reduce the grant.
    balance.grant_.authorized_ = std::max(balance.grant_.authorized_, grant->second.authorized_);
    balance.grant_.settled_ = std::max(balance.grant_.settled_, grant->second.settled_);
}

/// Submits draws for the other accounts of a shard that need one soon. One store call carries all
/// of them at the same price.
void submitJoiningDraws(PrepaidState &state, const PrepaidSettings &settings, ShardNumber number,
                        MonoTime now)
{
    for (auto &[account, balance] : state.balances_) {
        if (ledgerShardOf(BudgetId {account.value_}, settings.shards_) == number
            && isBelowShare(state, settings, account, balance, settings.joinShare_, now))
            submitDraw(state, settings, account, balance, Tokens {}, now, now);
    }
}

bool hasDraw(const PrepaidShard &shard)
{
    return std::any_of(shard.pending_.begin(), shard.pending_.end(),
                       [](const LedgerOp &op) { return std::holds_alternative<DrawOp>(op); });
}

/// Drops the draws of a shard after a failed call. Those that are still needed are submitted again;
/// by then another daemon may be the lender. A draw that took effect all the same is found by the
/// next read.
void dropDraws(PrepaidState &state, const PrepaidSettings &settings, ShardNumber number)
{
    std::erase_if(state.shards_.at(number).pending_,
                  [](const LedgerOp &op) { return std::holds_alternative<DrawOp>(op); });
    for (auto &[account, balance] : state.balances_) {
        if (ledgerShardOf(BudgetId {account.value_}, settings.shards_) == number)
            balance.grant_.drawPending_ = false;
    }
}

void pauseDraws(PrepaidState &state, const PrepaidSettings &settings, StoreEra era, MonoTime now)
{
    state.pausedEra_ = era;
    state.drawsPausedUntil_ = now + settings.returnSettleTime_;
    for (auto &[number, shard] : state.shards_)
        dropDraws(state, settings, number);
}

/// Returns true if the copy from which the store returned may lack tokens that other daemons hold:
/// none of them has written the shard since.
bool mayLackHistory(const PrepaidShard &shard)
{
    return !shard.cached_.budgets_.empty() && shard.cached_.writtenEra_ < shard.era_;
}

Millis maxStoreBackoff(const PrepaidState &state, const PrepaidSettings &settings)
{
    return std::clamp(settings.backoffPerDaemon_ * state.daemons_, settings.maxBackoff_,
                      maxCommitBackoff);
}

/// While calls fail, only one is made at a time.
bool mayCallStore(const PrepaidState &state, MonoTime now)
{
    return state.failures_ == 0 || (state.calls_.empty() && now >= state.backoffUntil_);
}

/// Reserves tokens from a loan or from this daemon's own grant.
std::optional<Reservation> reserveHeld(const PrepaidState &state, PrepaidBalance &balance,
                                       Tokens amount, MonoTime now)
{
    // Loans are used first, because returning unused loan tokens takes an additional message.
    for (auto &[lenderId, loan] : balance.receivedLoans_) {
        if (!tryReserve(loan.grant_, amount))
            continue;
        loan.lastUsedAt_ = now;
        return Reservation {lenderId, amount};
    }
    if (tryReserve(balance.grant_, amount))
        return Reservation {state.holder_, amount};
    return std::nullopt;
}

/// Returns true if the account is in use, or this daemon holds tokens of it.
bool needsReconciliation(const PrepaidBalance &balance)
{
    return balance.firstUsedAt_ || balance.grant_.authorized_ > Tokens {};
}

/// Returns true if the ledger must be read for this balance: it holds tokens that may have to be
/// returned, and no other call has read the shard recently.
bool needsLedgerRead(const PrepaidState &state, const PrepaidSettings &settings,
                     const AccountId &account, const PrepaidBalance &balance, MonoTime now)
{
    const auto copied
        = state.ledgerReadAt_.find(ledgerShardOf(BudgetId {account.value_}, settings.shards_));
    const bool recent
        = copied != state.ledgerReadAt_.end() && now - copied->second < settings.shortageLifetime_;
    return !recent && balance.grant_.authorized_ > balance.grant_.returned_ + balance.grant_.spent_;
}

} // namespace

void applyFunding(PrepaidState &state, const PrepaidSettings &settings, const RelayConfig &config,
                  MonoTime now)
{
    for (const auto &[id, account] : config.accounts_) {
        if (!account.prepaid_)
            continue;
        PrepaidBalance &balance = state.balances_[id];
        if (balance.grant_.id_.isEmpty())
            balance.grant_.id_ = GrantId {state.holder_.value_};
        if (balance.fundingVersion_ >= config.version_)
            continue;
        const bool lowered = *account.prepaid_ < balance.funded_;
        const bool changed = *account.prepaid_ != balance.funded_;
        balance.funded_ = *account.prepaid_;
        balance.fundingVersion_ = config.version_;
        if (!changed)
            continue;
        balance.refusal_.reset();
        balance.fundingCommitted_ = false;
        if (lowered)
            submitReturn(state, settings, id, balance, reservableTokens(balance.grant_), now);
        else if (balance.grant_.authorized_ > Tokens {}
                 && lenderForAccount(state, settings, id, now).source_ == TokenSource::Ledger)
            // One write of each zone. The other daemons borrow, so they don't need the new total.
            submitFunding(state, settings, id, balance, now + settings.drawDelay_);
    }
}

std::optional<Reservation> reserveTokens(PrepaidState &state, const PrepaidSettings &settings,
                                         const AccountId &account, Tokens amount, MonoTime now,
                                         int urgency)
{
    PrepaidBalance &balance = state.balances_[account];
    recordFirstUse(balance, static_cast<double>(amount.count_) * initialRequestsPerSecond, now);
    balance.lastUsedAt_ = now;
    const std::optional<UrgentShare> share
        = findUrgentShare(state, settings, account, urgency, now);
    if (share && isReservedForUrgent(*share, amount))
        return std::nullopt;
    std::optional<Reservation> reservation = reserveHeld(state, balance, amount, now);
    if (reservation) {
        if (!balance.grant_.drawPending_)
            reconcileBalance(state, settings, account, balance, now);
        return reservation;
    }
    const LenderChoice choice = lenderForAccount(state, settings, account, now);
    if (choice.source_ == TokenSource::Lender) {
        if (!recentLenderRefusal(state, settings, account, amount, now, urgency))
            requestLoan(state, settings, account, balance, choice.lender_, amount, urgency, now);
    } else if (choice.source_ == TokenSource::Ledger
               && !isShortageKnown(state, settings, account, amount, now)) {
        submitDraw(state, settings, account, balance, amount, now, now);
    }
    return std::nullopt;
}

void settleTokens(PrepaidState &state, const AccountId &account, const Reservation &reservation,
                  Tokens spent, MonoTime now)
{
    PrepaidBalance &balance = state.balances_[account];
    const auto loan = balance.receivedLoans_.find(reservation.from_);
    HeldGrant &grant = loan == balance.receivedLoans_.end() ? balance.grant_ : loan->second.grant_;
    spendReserved(grant, reservation.amount_, std::min(spent, reservation.amount_), now);
}

std::vector<SubmitStoreCall> startPrepaidCalls(PrepaidState &state, const PrepaidSettings &settings,
                                               MonoTime now)
{
    if (state.drawsPausedUntil_ && now >= *state.drawsPausedUntil_)
        state.drawsPausedUntil_.reset();
    std::vector<SubmitStoreCall> calls;
    for (auto &[number, shard] : state.shards_) {
        if (!mayCallStore(state, now))
            break;
        // The backoff of all shards applies instead.
        shard.maxBackoff_ = Millis {};
        const std::optional<MonoTime> due = nextCallTime(shard);
        if (due && *due <= now && hasDraw(shard))
            submitJoiningDraws(state, settings, number, now);
        if (due && *due <= now && !state.stopping_)
            joinFirstGrants(state, settings, number, now);
        const CallId id {state.lastCall_ + 1};
        std::optional<StoreCall> call = startCall(shard, id, now);
        if (!call)
            continue;
        state.lastCall_ = id.value_;
        state.calls_[id] = number;
        calls.push_back(SubmitStoreCall {id, std::move(*call)});
    }
    return calls;
}

std::set<AccountId> finishPrepaidCall(PrepaidState &state, const PrepaidSettings &settings,
                                      const StoreReply &reply, MonoTime now)
{
    std::set<AccountId> changed;
    const auto call = state.calls_.find(reply.call_);
    if (call == state.calls_.end())
        return changed;
    const ShardNumber number = call->second;
    state.calls_.erase(call);
    noticeStoreEra(state, settings, reply.era_, now);
    PrepaidShard &shard = state.shards_.at(number);
    const std::vector<LedgerOp> committed = finishCall(shard, reply, now);
    // A daemon that has started since the return has not noticed it.
    if (shard.loaded_ && mayLackHistory(shard) && state.pausedEra_ < shard.era_)
        pauseDraws(state, settings, shard.era_, now);
    if (state.drawsPausedUntil_)
        dropDraws(state, settings, number);
    if (!shard.loaded_) {
        dropDraws(state, settings, number);
        const Millis backoff = settings.minBackoff_ * (1U << std::min(state.failures_, 10U));
        state.backoffUntil_ = now + std::min(backoff, maxStoreBackoff(state, settings));
        ++state.failures_;
        if (!state.failingSince_)
            state.failingSince_ = now;
        return changed;
    }
    state.failures_ = 0;
    state.failingSince_.reset();
    state.backoffUntil_ = now;
    state.ledgerReadAt_[number] = now;
    reportCommittedGrants(state, number, committed, now);
    for (const LedgerOp &op : committed) {
        const auto balance = state.balances_.find(AccountId {budgetOf(op).value_});
        if (balance != state.balances_.end() && std::holds_alternative<DrawOp>(op))
            balance->second.grant_.drawPending_ = false;
    }
    for (auto &[account, balance] : state.balances_) {
        if (ledgerShardOf(BudgetId {account.value_}, settings.shards_) != number)
            continue;
        updateGrant(state, settings, account, balance);
        changed.insert(account);
    }
    return changed;
}

void reconcileBalances(PrepaidState &state, const PrepaidSettings &settings, MonoTime now)
{
    drawDueFirstGrants(state, settings, now);
    for (auto &[account, balance] : state.balances_) {
        if (!needsReconciliation(balance) || now < balance.nextReconcileAt_)
            continue;
        balance.nextReconcileAt_ = now + settings.reconcileInterval_;
        if (!balance.grant_.drawPending_)
            reconcileBalance(state, settings, account, balance, now);
        returnScarceTokens(state, settings, account, balance, now);
        returnIdleLoansAndReport(state, account, balance, settings.loanIdleTimeout_, now);
        // An unused first grant alone is not worth regular store calls.
        if (balance.firstUsedAt_ && needsLedgerRead(state, settings, account, balance, now))
            scheduleCall(shardFor(state, settings, account), now + settings.drawDelay_);
    }
}

void releaseGrants(PrepaidState &state, const PrepaidSettings &settings, MonoTime now)
{
    for (auto &[account, balance] : state.balances_) {
        if (isHandingOver(state, settings, account)) {
            handOver(state, settings, account, balance, Tokens {}, now);
            repeatHandover(state, settings, account, balance);
        }
        closeLoans(state, account, balance, now);
        const HeldGrant &grant = balance.grant_;
        if (reservableTokens(grant) > Tokens {})
            submitReturn(state, settings, account, balance, reservableTokens(grant), now);
        else if (grant.spent_ > grant.settled_)
            // Everything was handed over, but its use must be charged.
            submitOp(shardFor(state, settings, account),
                     LedgerOp {SettleOp {BudgetId {account.value_}, grant.id_, grant.spent_}}, now);
    }
}

void noticeStoreEra(PrepaidState &state, const PrepaidSettings &settings, StoreEra era,
                    MonoTime now)
{
    if (era <= state.storeEra_)
        return;
    const bool returned = state.storeEra_ != StoreEra {};
    state.storeEra_ = era;
    if (!returned)
        return;
    pauseDraws(state, settings, era, now);
    for (auto &[number, shard] : state.shards_) {
        shard.loaded_ = false;
        scheduleCall(shard, now);
    }
    restoreReportedGrants(state, settings, now);
}

void endBackoff(PrepaidState &state, MonoTime now)
{
    state.backoffUntil_ = now;
}

bool isPrepaidIdle(const PrepaidState &state)
{
    return std::all_of(state.shards_.begin(), state.shards_.end(),
                       [](const auto &item) { return isIdle(item.second); });
}

std::optional<MonoTime> nextPrepaidTime(const PrepaidState &state)
{
    std::optional<MonoTime> next;
    const auto takeEarlier = [&next](std::optional<MonoTime> time) {
        if (time && (!next || *time < *next))
            next = time;
    };
    if (state.drawsPausedUntil_)
        takeEarlier(*state.drawsPausedUntil_);
    if (!state.stopping_)
        takeEarlier(nextFirstGrantTime(state));
    const bool waitsForReply = state.failures_ > 0 && !state.calls_.empty();
    for (const auto &[number, shard] : state.shards_) {
        const std::optional<MonoTime> call = nextCallTime(shard);
        if (call && !waitsForReply)
            takeEarlier(state.failures_ > 0 ? std::max(*call, state.backoffUntil_) : *call);
    }
    for (const auto &[account, balance] : state.balances_) {
        if (needsReconciliation(balance) && !state.stopping_)
            takeEarlier(balance.nextReconcileAt_);
        if (balance.pendingRequest_)
            takeEarlier(balance.pendingRequest_->expiresAt_);
    }
    return next;
}

Result<void> checkInvariants(const PrepaidState &state)
{
    for (const auto &[account, balance] : state.balances_) {
        BOOST_LEAF_CHECK(checkInvariants(balance.grant_));
        Tokens lent;
        for (const auto &[borrower, issuedLoan] : balance.issuedLoans_)
            lent += issuedLoan.lent_ - issuedLoan.spent_ - issuedLoan.returned_;
        if (lent > balance.grant_.reserved_)
            return fail(ErrorKind::LedgerInvariant, "tamarack.loan.101",
                        fmt::format("account {}: {} tokens are lent but {} are reserved; restart "
                                    "this daemon and report the error",
                                    account.value_, lent.count_, balance.grant_.reserved_.count_));
        for (const auto &[lenderId, loan] : balance.receivedLoans_)
            BOOST_LEAF_CHECK(checkInvariants(loan.grant_));
    }
    return {};
}

} // namespace tamarack
