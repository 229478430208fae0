// Prepaid balances of a relay daemon.
#include "core/relay/prepaid.h"

#include "core/relay/loans.h"
#include "core/relay/prepaidparts.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack {

namespace {

using namespace prepaiddetail;

/// Requests a second that a new grant expects of the size of its first one, until it has seen more.
constexpr double firstBurnRequestsPerSecond = 2.0;

/// The holder's own copy of its grant follows the store's.
void takeOverGrant(const PrepaidState &state, const PrepaidSettings &settings,
                   const AccountId &account, PrepaidBalance &balance)
{
    const BudgetRecord *record = recordOf(state, settings, account);
    if (!record)
        return;
    balance.fundingCommitted_ = record->fundingVersion_.value_ >= balance.fundingVersion_.value_;
    const auto grant = record->grants_.find(balance.grant_.id_);
    if (grant == record->grants_.end())
        return;
    // Armed totals only grow, so an older copy never takes tokens back.
    balance.grant_.authorized_ = std::max(balance.grant_.authorized_, grant->second.authorized_);
    balance.grant_.settled_ = std::max(balance.grant_.settled_, grant->second.settled_);
}

/// Draws for the other accounts of a shard that will need it soon, because a call costs the same
/// for all of them.
void joinCall(PrepaidState &state, const PrepaidSettings &settings, ShardNumber number,
              MonoTime now)
{
    for (auto &[account, balance] : state.balances_) {
        if (ledgerShardOf(BudgetId {account.value_}, settings.shards_) == number
            && isBelow(state, settings, account, balance, settings.joinShare_, now))
            submitDraw(state, settings, account, balance, Tokens {}, now, now);
    }
}

bool hasDraw(const PrepaidShard &shard)
{
    return std::any_of(shard.pending_.begin(), shard.pending_.end(),
                       [](const LedgerOp &op) { return std::holds_alternative<DrawOp>(op); });
}

/// Reserves from the own grant or from a loan.
std::optional<Reservation> reserveHeld(const PrepaidState &state, PrepaidBalance &balance,
                                       Tokens amount, MonoTime now)
{
    // Loans go first: what is left of them can only be returned with another message.
    for (auto &[run, loan] : balance.loans_) {
        if (!tryReserve(loan.grant_, amount))
            continue;
        loan.usedAt_ = now;
        return Reservation {run, amount};
    }
    if (tryReserve(balance.grant_, amount))
        return Reservation {state.holder_, amount};
    return std::nullopt;
}

/// Returns true if the ledger has to be read for this balance: it holds tokens that may have to be
/// handed back, and no other call has brought a copy lately.
bool isReviewed(const PrepaidState &state, const PrepaidSettings &settings,
                const AccountId &account, const PrepaidBalance &balance, MonoTime now)
{
    const auto copied
        = state.copiedAt_.find(ledgerShardOf(BudgetId {account.value_}, settings.shards_));
    const bool recent
        = copied != state.copiedAt_.end() && now - copied->second < settings.shortageLifetime_;
    return !recent && balance.grant_.authorized_ > balance.grant_.returned_ + balance.grant_.spent_;
}

} // namespace

ShortageFigures shortageFigures(const PrepaidState &state, const PrepaidSettings &settings,
                                const AccountId &account, MonoTime now)
{
    ShortageFigures figures;
    if (const BudgetRecord *record = recordOf(state, settings, account)) {
        figures.funded_ = record->funded_;
        figures.charged_ = record->charged_;
        figures.outstanding_ = outstandingTokens(*record);
        figures.unallocated_ = unallocatedTokens(*record);
    }
    const auto balance = state.balances_.find(account);
    if (balance != state.balances_.end())
        figures.available_ = reservableTokens(balance->second.grant_);
    const auto copied
        = state.copiedAt_.find(ledgerShardOf(BudgetId {account.value_}, settings.shards_));
    if (copied != state.copiedAt_.end())
        figures.age_ = std::chrono::duration_cast<Millis>(now - copied->second);
    return figures;
}

void fundAccounts(PrepaidState &state, const PrepaidSettings &settings, const RelayConfig &config,
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
        else if (balance.grant_.authorized_ > Tokens {})
            submitFunding(state, settings, id, balance, now + settings.drawDelay_);
    }
}

std::optional<Reservation> reserveTokens(PrepaidState &state, const PrepaidSettings &settings,
                                         const AccountId &account, Tokens amount, MonoTime now)
{
    PrepaidBalance &balance = state.balances_[account];
    noteFirstUse(balance, static_cast<double>(amount.count_) * firstBurnRequestsPerSecond, now);
    balance.usedAt_ = now;
    std::optional<Reservation> reservation = reserveHeld(state, balance, amount, now);
    if (reservation) {
        if (!balance.grant_.drawPending_)
            reviewBalance(state, settings, account, balance, now);
        return reservation;
    }
    const std::optional<PeerAddress> lender = drawerFor(state, settings, account, now);
    if (lender && lenderRefusal(state, settings, account, amount, now))
        return std::nullopt;
    if (lender)
        askForLoan(state, settings, account, balance, *lender, amount, now);
    else if (!isKnownShort(state, settings, account, amount, now))
        submitDraw(state, settings, account, balance, amount, now, now);
    return std::nullopt;
}

void settleTokens(PrepaidState &state, const AccountId &account, const Reservation &reservation,
                  Tokens spent, MonoTime now)
{
    PrepaidBalance &balance = state.balances_[account];
    const auto loan = balance.loans_.find(reservation.from_);
    HeldGrant &grant = loan == balance.loans_.end() ? balance.grant_ : loan->second.grant_;
    spendReserved(grant, reservation.amount_, std::min(spent, reservation.amount_), now);
}

std::optional<LenderRefusal> lenderRefusal(const PrepaidState &state,
                                           const PrepaidSettings &settings,
                                           const AccountId &account, Tokens amount, MonoTime now)
{
    const auto balance = state.balances_.find(account);
    if (balance == state.balances_.end() || !balance->second.refusal_)
        return std::nullopt;
    const LenderRefusal &refusal = *balance->second.refusal_;
    const bool applies
        = amount >= refusal.amount_ && now - refusal.at_ <= settings.refusalLifetime_;
    return applies ? balance->second.refusal_ : std::nullopt;
}

Shortage judgeShortage(const PrepaidState &state, const PrepaidSettings &settings,
                       const AccountId &account, Tokens amount)
{
    const BudgetRecord *record = recordOf(state, settings, account);
    const auto balance = state.balances_.find(account);
    if (!record || balance == state.balances_.end() || !balance->second.fundingCommitted_)
        return Shortage::Unknown;
    const HeldGrant &own = balance->second.grant_;
    if (unallocatedTokens(*record) + reservableTokens(own) >= amount)
        return Shortage::None;
    // Settlements of others arrive late, so their unsettled tokens count as unspent.
    const Tokens left = record->funded_ - record->charged_ - (own.spent_ - own.settled_);
    return left < amount ? Shortage::Exhausted : Shortage::HeldElsewhere;
}

std::vector<SubmitStoreCall> startPrepaidCalls(PrepaidState &state, const PrepaidSettings &settings,
                                               MonoTime now)
{
    std::vector<SubmitStoreCall> calls;
    const Millis maxBackoff = std::clamp(settings.backoffPerDaemon_ * state.daemons_,
                                         settings.maxBackoff_, maxCommitBackoff);
    for (auto &[number, shard] : state.shards_) {
        shard.maxBackoff_ = maxBackoff;
        const std::optional<MonoTime> due = nextCallTime(shard);
        if (due && *due <= now && hasDraw(shard))
            joinCall(state, settings, number, now);
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
    PrepaidShard &shard = state.shards_.at(number);
    const std::vector<LedgerOp> committed = finishCall(shard, reply, now);
    if (!shard.loaded_)
        return changed;
    state.copiedAt_[number] = now;
    for (const LedgerOp &op : committed) {
        const auto balance = state.balances_.find(AccountId {budgetOf(op).value_});
        if (balance != state.balances_.end() && std::holds_alternative<DrawOp>(op))
            balance->second.grant_.drawPending_ = false;
    }
    for (auto &[account, balance] : state.balances_) {
        if (ledgerShardOf(BudgetId {account.value_}, settings.shards_) != number)
            continue;
        takeOverGrant(state, settings, account, balance);
        changed.insert(account);
    }
    return changed;
}

void reviewBalances(PrepaidState &state, const PrepaidSettings &settings, MonoTime now)
{
    for (auto &[account, balance] : state.balances_) {
        if (!balance.usedSince_ || now < balance.reviewAt_)
            continue;
        balance.reviewAt_ = now + settings.reviewInterval_;
        if (!balance.grant_.drawPending_)
            reviewBalance(state, settings, account, balance, now);
        handBackScarce(state, settings, account, balance, now);
        returnIdleLoans(state, account, balance, settings.loanIdle_, now);
        if (isReviewed(state, settings, account, balance, now))
            scheduleCall(shardOf(state, settings, account), now + settings.drawDelay_);
    }
}

void releaseGrants(PrepaidState &state, const PrepaidSettings &settings, MonoTime now)
{
    for (auto &[account, balance] : state.balances_) {
        closeLoans(state, account, balance, now);
        if (balance.grant_.authorized_ > Tokens {})
            submitReturn(state, settings, account, balance, reservableTokens(balance.grant_), now);
    }
}

bool isLedgerFailing(const PrepaidState &state, const PrepaidSettings &settings,
                     const AccountId &account)
{
    const auto shard
        = state.shards_.find(ledgerShardOf(BudgetId {account.value_}, settings.shards_));
    return shard != state.shards_.end() && shard->second.failures_ > 0;
}

bool isPrepaidIdle(const PrepaidState &state)
{
    return std::all_of(state.shards_.begin(), state.shards_.end(),
                       [](const auto &item) { return isIdle(item.second); });
}

std::optional<MonoTime> nextPrepaidTime(const PrepaidState &state)
{
    std::optional<MonoTime> next;
    const auto consider = [&next](std::optional<MonoTime> time) {
        if (time && (!next || *time < *next))
            next = time;
    };
    for (const auto &[number, shard] : state.shards_)
        consider(nextCallTime(shard));
    for (const auto &[account, balance] : state.balances_) {
        if (balance.usedSince_ && !state.stopping_)
            consider(balance.reviewAt_);
        if (balance.ask_)
            consider(balance.ask_->expiresAt_);
    }
    return next;
}

Result<void> checkInvariants(const PrepaidState &state)
{
    for (const auto &[account, balance] : state.balances_) {
        BOOST_LEAF_CHECK(checkInvariants(balance.grant_));
        Tokens lent;
        for (const auto &[borrower, line] : balance.lines_)
            lent += line.lent_ - line.spent_ - line.returned_;
        if (lent > balance.grant_.reserved_)
            return fail(ErrorKind::LedgerInvariant, "tamarack.loan.101",
                        fmt::format("account {}: {} tokens are lent but {} are set aside; restart "
                                    "this daemon and report this",
                                    account.value_, lent.count_, balance.grant_.reserved_.count_));
        for (const auto &[run, loan] : balance.loans_)
            BOOST_LEAF_CHECK(checkInvariants(loan.grant_));
    }
    return {};
}

} // namespace tamarack
