// Prepaid balances of a relay daemon.
#include "core/relay/prepaid.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

/// Requests a second that a new grant expects of the size of its first one, until it has seen more.
constexpr double firstBurnRequestsPerSecond = 2.0;

PrepaidShard &shardOf(PrepaidState &state, const PrepaidSettings &settings,
                      const AccountId &account)
{
    const ShardNumber number = ledgerShardOf(BudgetId {account.value_}, settings.shards_);
    auto [it, created] = state.shards_.try_emplace(number);
    if (created)
        it->second.maxBackoff_ = settings.maxBackoff_;
    if (created)
        it->second.key_ = StoreKey {fmt::format("{}/{}", settings.keyPrefix_, number.value_)};
    return it->second;
}

const BudgetRecord *recordOf(const PrepaidState &state, const PrepaidSettings &settings,
                             const AccountId &account)
{
    const BudgetId budget {account.value_};
    const auto shard = state.shards_.find(ledgerShardOf(budget, settings.shards_));
    if (shard == state.shards_.end())
        return nullptr;
    const auto &budgets = shard->second.copy_.budgets_;
    const auto record = budgets.find(budget);
    return record == budgets.end() ? nullptr : &record->second;
}

void submitFunding(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                   const PrepaidBalance &balance, MonoTime due)
{
    submitOp(shardOf(state, settings, account),
             LedgerOp {FundOp {BudgetId {account.value_}, balance.funded_,
                               BundleVersion {balance.fundedBy_.value_}}},
             due);
}

/// Tokens a second. The smoothed rate of the grant is too low until its window has passed, which
/// matters when the store goes away soon after a start.
double burnRate(const PrepaidBalance &balance, MonoTime now)
{
    if (!balance.usedSince_)
        return 0.0;
    const std::chrono::duration<double> age
        = std::max(now - *balance.usedSince_, MonoTime::duration {Seconds {1}});
    const double seen = 1.0 - std::exp(-age / burnRateWindow);
    const double guess = balance.firstBurn_ * (1.0 - seen);
    return std::max(balance.grant_.burnRate_ / seen, guess);
}

Tokens reachTokens(const PrepaidSettings &settings, const PrepaidBalance &balance, MonoTime now)
{
    const std::chrono::duration<double> reach = settings.reach_;
    return Tokens {static_cast<std::int64_t>(burnRate(balance, now) * reach.count())};
}

/// Unallocated tokens as the last copy shows them; the whole total before the first copy.
Tokens unallocatedOf(const PrepaidState &state, const PrepaidSettings &settings,
                     const AccountId &account, const PrepaidBalance &balance)
{
    const BudgetRecord *record = recordOf(state, settings, account);
    return record ? unallocated(*record) : balance.funded_;
}

ReachPolicy reachPolicy(const PrepaidState &state, const PrepaidSettings &settings)
{
    constexpr double perMille = 1000.0;
    const double share = settings.heldShare_ * perMille / std::max(state.daemons_, 1U);
    return ReachPolicy {settings.reach_, std::max(static_cast<std::uint32_t>(share), 1U)};
}

/// Returns true if a fresh copy of the ledger shows that a draw can't succeed.
bool isKnownShort(const PrepaidState &state, const PrepaidSettings &settings,
                  const AccountId &account, Tokens amount, MonoTime now)
{
    const auto copied
        = state.copiedAt_.find(ledgerShardOf(BudgetId {account.value_}, settings.shards_));
    if (copied == state.copiedAt_.end() || now - copied->second > settings.shortageLifetime_)
        return false;
    const Shortage shortage = judgeShortage(state, settings, account, amount);
    return shortage == Shortage::Exhausted || shortage == Shortage::HeldElsewhere;
}

void submitDraw(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                PrepaidBalance &balance, Tokens needed, MonoTime now, MonoTime due)
{
    HeldGrant &grant = balance.grant_;
    HeldGrant estimate = grant;
    estimate.burnRate_ = burnRate(balance, now);
    DrawOp op;
    op.budget_ = BudgetId {account.value_};
    op.grant_ = grant.id_;
    op.holder_ = state.holder_;
    op.armedTotal_ = drawTarget(estimate, needed, unallocatedOf(state, settings, account, balance),
                                reachPolicy(state, settings));
    op.atLeast_ = grant.returned_ + grant.spent_ + grant.reserved_ + needed;
    op.create_ = grant.armed_ == Tokens {};
    if (op.armedTotal_ <= grant.armed_)
        return;
    // Funding goes first: a draw from a budget without a record has no effect.
    if (!balance.fundingCommitted_)
        submitFunding(state, settings, account, balance, due);
    submitOp(shardOf(state, settings, account), LedgerOp {op}, due);
    grant.drawing_ = true;
}

void submitReturn(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                  PrepaidBalance &balance, Tokens amount, MonoTime due)
{
    if (amount <= Tokens {})
        return;
    HeldGrant &grant = balance.grant_;
    grant.returned_ += amount;
    PrepaidShard &shard = shardOf(state, settings, account);
    const BudgetId budget {account.value_};
    submitOp(shard, LedgerOp {SettleOp {budget, grant.id_, grant.spent_}}, due);
    submitOp(shard, LedgerOp {ReturnOp {budget, grant.id_, grant.returned_}}, due);
    submitFunding(state, settings, account, balance, due);
}

/// What a full grant holds: its reach, but not more than its share of what is left.
Tokens fullGrant(const PrepaidState &state, const PrepaidSettings &settings,
                 const AccountId &account, const PrepaidBalance &balance, MonoTime now)
{
    const std::int64_t unallocated = unallocatedOf(state, settings, account, balance).count_;
    const Tokens share {unallocated * reachPolicy(state, settings).maxSharePerMille_ / 1000};
    return std::min(reachTokens(settings, balance, now), share);
}

/// The holder's own copy of its grant follows the store's.
void takeOverGrant(const PrepaidState &state, const PrepaidSettings &settings,
                   const AccountId &account, PrepaidBalance &balance)
{
    const BudgetRecord *record = recordOf(state, settings, account);
    if (!record)
        return;
    balance.fundingCommitted_ = record->fundedBy_.value_ >= balance.fundedBy_.value_;
    const auto grant = record->grants_.find(balance.grant_.id_);
    if (grant == record->grants_.end())
        return;
    // Armed totals only grow, so an older copy never takes tokens back.
    balance.grant_.armed_ = std::max(balance.grant_.armed_, grant->second.armed_);
    balance.grant_.settled_ = std::max(balance.grant_.settled_, grant->second.settled_);
}

bool isScarce(const PrepaidSettings &settings, const BudgetRecord &record)
{
    return static_cast<double>(unallocated(record).count_)
        < static_cast<double>(record.funded_.count_) * settings.scarceShare_;
}

/// Returns true if a grant in use has less than a share of what it should hold.
bool isBelow(const PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
             const PrepaidBalance &balance, double share, MonoTime now)
{
    const HeldGrant &grant = balance.grant_;
    if (grant.drawing_ || grant.armed_ == Tokens {})
        return false;
    const Tokens full = fullGrant(state, settings, account, balance, now);
    const std::chrono::duration<double> minReach = settings.minReach_;
    if (static_cast<double>(full.count_) < burnRate(balance, now) * minReach.count())
        return false;
    const double wanted = static_cast<double>(full.count_) * share;
    return static_cast<double>(available(grant).count_) < wanted;
}

void reviewBalance(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                   PrepaidBalance &balance, MonoTime now)
{
    HeldGrant &grant = balance.grant_;
    const BudgetRecord *record = recordOf(state, settings, account);
    if (record && isScarce(settings, *record)) {
        // What is needed next is drawn when a request asks for it.
        submitReturn(state, settings, account, balance,
                     returnable(grant, settings.scarceReach_, now), now + settings.drawDelay_);
        return;
    }
    if (isBelow(state, settings, account, balance, settings.refillShare_, now))
        submitDraw(state, settings, account, balance, Tokens {}, now, now + settings.drawDelay_);
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

} // namespace

ShortageFigures shortageFigures(const PrepaidState &state, const PrepaidSettings &settings,
                                const AccountId &account, MonoTime now)
{
    ShortageFigures figures;
    if (const BudgetRecord *record = recordOf(state, settings, account)) {
        figures.funded_ = record->funded_;
        figures.charged_ = record->charged_;
        figures.outstanding_ = outstanding(*record);
        figures.unallocated_ = unallocated(*record);
    }
    const auto balance = state.balances_.find(account);
    if (balance != state.balances_.end())
        figures.available_ = available(balance->second.grant_);
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
        if (balance.fundedBy_ >= config.version_)
            continue;
        const bool lowered = *account.prepaid_ < balance.funded_;
        const bool changed = *account.prepaid_ != balance.funded_;
        balance.funded_ = *account.prepaid_;
        balance.fundedBy_ = config.version_;
        if (!changed)
            continue;
        balance.fundingCommitted_ = false;
        if (lowered)
            submitReturn(state, settings, id, balance, available(balance.grant_), now);
        else if (balance.grant_.armed_ > Tokens {})
            submitFunding(state, settings, id, balance, now + settings.drawDelay_);
    }
}

bool reserveTokens(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                   Tokens amount, MonoTime now)
{
    PrepaidBalance &balance = state.balances_[account];
    HeldGrant &grant = balance.grant_;
    if (!balance.usedSince_) {
        balance.usedSince_ = now;
        balance.firstBurn_ = static_cast<double>(amount.count_) * firstBurnRequestsPerSecond;
    }
    const bool reserved = tryReserve(grant, amount);
    if (!reserved && isKnownShort(state, settings, account, amount, now))
        return false;
    if (!reserved)
        submitDraw(state, settings, account, balance, amount, now, now);
    else if (!grant.drawing_)
        reviewBalance(state, settings, account, balance, now);
    return reserved;
}

void settleTokens(PrepaidState &state, const PrepaidSettings &, const AccountId &account,
                  Tokens reserved, Tokens spent, MonoTime now)
{
    PrepaidBalance &balance = state.balances_[account];
    spendReserved(balance.grant_, reserved, std::min(spent, reserved), now);
}

Shortage judgeShortage(const PrepaidState &state, const PrepaidSettings &settings,
                       const AccountId &account, Tokens amount)
{
    const BudgetRecord *record = recordOf(state, settings, account);
    const auto balance = state.balances_.find(account);
    if (!record || balance == state.balances_.end() || !balance->second.fundingCommitted_)
        return Shortage::Unknown;
    const HeldGrant &own = balance->second.grant_;
    if (unallocated(*record) + available(own) >= amount)
        return Shortage::None;
    // Settlements of others arrive late, so their unsettled tokens count as unspent.
    const Tokens left = record->funded_ - record->charged_ - (own.spent_ - own.settled_);
    return left < amount ? Shortage::Exhausted : Shortage::HeldElsewhere;
}

std::vector<SubmitStoreCall> startPrepaidCalls(PrepaidState &state, const PrepaidSettings &settings,
                                               MonoTime now)
{
    std::vector<SubmitStoreCall> calls;
    for (auto &[number, shard] : state.shards_) {
        if (!shard.call_ && now - state.copiedAt_[number] > settings.copyLifetime_)
            shard.loaded_ = false;
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
            balance->second.grant_.drawing_ = false;
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
        if (balance.grant_.armed_ == Tokens {} || now < balance.reviewAt_)
            continue;
        balance.reviewAt_ = now + settings.reviewInterval_;
        reviewBalance(state, settings, account, balance, now);
        requestCall(shardOf(state, settings, account), now + settings.drawDelay_);
    }
}

void releaseGrants(PrepaidState &state, const PrepaidSettings &settings, MonoTime now)
{
    for (auto &[account, balance] : state.balances_) {
        if (balance.grant_.armed_ > Tokens {})
            submitReturn(state, settings, account, balance, available(balance.grant_), now);
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
        if (balance.grant_.armed_ > Tokens {})
            consider(balance.reviewAt_);
    }
    return next;
}

Result<void> checkInvariants(const PrepaidState &state)
{
    for (const auto &[account, balance] : state.balances_)
        BOOST_LEAF_CHECK(checkInvariants(balance.grant_));
    return {};
}

} // namespace tamarack
