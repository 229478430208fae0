// Draws from and returns to the ledger: when, and how many tokens.
#include "core/relay/loans.h"
#include "core/relay/prepaidinternal.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace tamarack::prepaiddetail {

namespace {

Tokens grantHorizonTokens(const PrepaidSettings &settings, const PrepaidBalance &balance,
                          MonoTime now)
{
    const std::chrono::duration<double> horizon = settings.grantHorizon_;
    return Tokens {static_cast<std::int64_t>(consumptionRate(balance, now) * horizon.count())};
}

/// Returns the unallocated tokens of the last ledger copy, or the whole total before the first
/// read.
Tokens unallocatedOf(const PrepaidState &state, const PrepaidSettings &settings,
                     const AccountId &account, const PrepaidBalance &balance)
{
    const BudgetRecord *record = findBudgetRecord(state, settings, account);
    return record ? unallocatedTokens(*record) : balance.funded_;
}

/// Returns the fraction of an account's use by this daemon and its borrowers, as seen in the
/// ledger.
double useShare(const BudgetRecord &record, const GrantId &own)
{
    Tokens all;
    Tokens mine;
    for (const auto &[id, grant] : record.grants_) {
        all += grant.authorized_;
        if (id == own)
            mine = grant.authorized_;
    }
    return all > Tokens {} ? static_cast<double>(mine.count_) / static_cast<double>(all.count_)
                           : 0.0;
}

GrantPolicy grantPolicy(const PrepaidState &state, const PrepaidSettings &settings,
                        const AccountId &account, bool forZone)
{
    constexpr double perMille = 1000.0;
    const bool oneForZone = forZone && !state.lenders_.sameZone_.empty();
    const std::uint32_t holders = oneForZone ? state.lenders_.zones_ : state.daemons_;
    const BudgetRecord *record = findBudgetRecord(state, settings, account);
    double part = 1.0 / std::max(holders, 1U);
    // All clients of an account may be in the same zone.
    if (record && forZone)
        part = std::max(part, useShare(*record, GrantId {state.holder_.value_}));
    const double share = settings.maxHeldShare_ * perMille * part;
    const bool scarce = record && isScarce(settings, *record);
    return GrantPolicy {scarce ? settings.scarceHorizon_ : settings.grantHorizon_,
                        std::max(static_cast<std::uint32_t>(share), 1U)};
}

/// Returns the target size of a grant: its horizon at the consumption rate, limited to its share of
/// the unallocated tokens.
Tokens targetGrantSize(const PrepaidState &state, const PrepaidSettings &settings,
                       const AccountId &account, const PrepaidBalance &balance, MonoTime now)
{
    const std::int64_t unallocated = unallocatedOf(state, settings, account, balance).count_;
    const GrantPolicy policy = grantPolicy(state, settings, account, true);
    const Tokens share {unallocated * policy.maxSharePerMille_ / 1000};
    return std::min(grantHorizonTokens(settings, balance, now), share);
}

} // namespace

PrepaidShard &shardFor(PrepaidState &state, const PrepaidSettings &settings,
                       const AccountId &account)
{
    return shardNumbered(state, settings,
                         ledgerShardOf(BudgetId {account.value_}, settings.shards_));
}

PrepaidShard &shardNumbered(PrepaidState &state, const PrepaidSettings &settings,
                            ShardNumber number)
{
    auto [it, created] = state.shards_.try_emplace(number);
    if (created)
        it->second.key_ = StoreKey {fmt::format("{}/{}", settings.keyPrefix_, number.value_)};
    return it->second;
}

const BudgetRecord *findBudgetRecord(const PrepaidState &state, const PrepaidSettings &settings,
                                     const AccountId &account)
{
    const BudgetId budget {account.value_};
    const auto shard = state.shards_.find(ledgerShardOf(budget, settings.shards_));
    if (shard == state.shards_.end())
        return nullptr;
    const auto &budgets = shard->second.cached_.budgets_;
    const auto record = budgets.find(budget);
    return record == budgets.end() ? nullptr : &record->second;
}

/// The grant's smoothed rate is too low until its averaging window has elapsed. The correction
/// matters if a store outage begins soon after a start.
double consumptionRate(const PrepaidBalance &balance, MonoTime now)
{
    if (!balance.firstUsedAt_)
        return 0.0;
    const std::chrono::duration<double> age
        = std::max(now - *balance.firstUsedAt_, MonoTime::duration {Seconds {1}});
    const double observedFraction = 1.0 - std::exp(-age / consumptionRateWindow);
    const double initialEstimate = balance.initialConsumptionRate_ * (1.0 - observedFraction);
    double smoothed = consumptionRateAt(balance.grant_, now) + lendRate(balance, now);
    for (const auto &[lenderId, loan] : balance.receivedLoans_)
        smoothed += consumptionRateAt(loan.grant_, now);
    return std::max(smoothed / observedFraction, initialEstimate);
}

double lendRate(const PrepaidBalance &balance, MonoTime now)
{
    const std::chrono::duration<double> gap = now - balance.lendRateAt_;
    return balance.lendRate_ * std::exp(-gap / consumptionRateWindow);
}

void recordLent(PrepaidBalance &balance, Tokens amount, MonoTime now)
{
    balance.lendRate_ = std::max(
        lendRate(balance, now) + static_cast<double>(amount.count_) / consumptionRateWindow.count(),
        0.0);
    balance.lendRateAt_ = now;
}

void recordFirstUse(PrepaidBalance &balance, double expectedRate, MonoTime now)
{
    if (balance.firstUsedAt_)
        return;
    balance.firstUsedAt_ = now;
    balance.initialConsumptionRate_ = expectedRate;
}

LenderChoice lenderForAccount(const PrepaidState &state, const PrepaidSettings &settings,
                              const AccountId &account, MonoTime now)
{
    if (state.peerAddress_.empty())
        return LenderChoice {};
    LenderQuery query;
    query.shard_ = ledgerShardOf(BudgetId {account.value_}, settings.shards_);
    query.ledgerFailing_ = isLedgerFailing(state, settings, account);
    const auto balance = state.balances_.find(account);
    if (balance != state.balances_.end())
        query.withoutTokens_ = balance->second.lendersWithoutTokens_;
    return chooseLender(state.lenders_, settings.lenders_, query, now);
}

void submitFunding(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                   const PrepaidBalance &balance, MonoTime due)
{
    PrepaidShard &shard = shardFor(state, settings, account);
    const FundOp funding {BudgetId {account.value_}, balance.funded_,
                          BundleVersion {balance.fundingVersion_.value_}};
    // Draws are submitted again after failed calls; the funding must not accumulate.
    std::erase_if(shard.pending_, [&funding](const LedgerOp &op) {
        const auto *pending = std::get_if<FundOp>(&op);
        return pending && pending->budget_ == funding.budget_;
    });
    submitOp(shard, LedgerOp {funding}, due);
}

bool isShortageKnown(const PrepaidState &state, const PrepaidSettings &settings,
                     const AccountId &account, Tokens amount, MonoTime now)
{
    const auto copied
        = state.ledgerReadAt_.find(ledgerShardOf(BudgetId {account.value_}, settings.shards_));
    if (copied == state.ledgerReadAt_.end() || now - copied->second > settings.shortageLifetime_)
        return false;
    const Shortage shortage = classifyShortage(state, settings, account, amount);
    return shortage == Shortage::Exhausted || shortage == Shortage::HeldElsewhere;
}

void submitDraw(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                PrepaidBalance &balance, Tokens needed, MonoTime now, MonoTime due)
{
    if (state.drawsPausedUntil_ && now < *state.drawsPausedUntil_)
        return;
    HeldGrant &grant = balance.grant_;
    HeldGrant estimate = grant;
    estimate.consumptionRate_ = consumptionRate(balance, now);
    DrawOp op;
    op.budget_ = BudgetId {account.value_};
    op.grant_ = grant.id_;
    op.holder_ = state.holder_;
    const bool forZone
        = lenderForAccount(state, settings, account, now).source_ == TokenSource::Ledger;
    op.authorizedTotal_
        = drawTarget(estimate, needed, unallocatedOf(state, settings, account, balance),
                     grantPolicy(state, settings, account, forZone));
    op.minAuthorizedTotal_ = grant.returned_ + grant.spent_ + grant.reserved_ + needed;
    op.mayCreate_ = grant.authorized_ == Tokens {};
    if (op.authorizedTotal_ <= grant.authorized_)
        return;
    const BudgetRecord *record = findBudgetRecord(state, settings, account);
    if (record && isScarce(settings, *record))
        due = std::max(due, now + settings.scarceDelay_);
    // Funding goes first: a draw from a budget without a record has no effect.
    if (!balance.fundingCommitted_)
        submitFunding(state, settings, account, balance, due);
    submitOp(shardFor(state, settings, account), LedgerOp {op}, due);
    grant.drawPending_ = true;
    balance.lastDrawAt_ = now;
}

void submitReturn(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                  PrepaidBalance &balance, Tokens amount, MonoTime due)
{
    if (amount <= Tokens {})
        return;
    HeldGrant &grant = balance.grant_;
    grant.returned_ += amount;
    PrepaidShard &shard = shardFor(state, settings, account);
    const BudgetId budget {account.value_};
    submitOp(shard, LedgerOp {SettleOp {budget, grant.id_, grant.spent_}}, due);
    submitOp(shard, LedgerOp {ReturnOp {budget, grant.id_, grant.returned_}}, due);
    submitFunding(state, settings, account, balance, due);
}

bool isScarce(const PrepaidSettings &settings, const BudgetRecord &record)
{
    return static_cast<double>(unallocatedTokens(record).count_)
        < static_cast<double>(record.funded_.count_) * settings.scarceShare_;
}

bool isBelowShare(const PrepaidState &state, const PrepaidSettings &settings,
                  const AccountId &account, const PrepaidBalance &balance, double share,
                  MonoTime now)
{
    const HeldGrant &grant = balance.grant_;
    if (grant.drawPending_ || !balance.firstUsedAt_)
        return false;
    const Tokens full = targetGrantSize(state, settings, account, balance, now);
    const std::chrono::duration<double> minHorizon = settings.minHorizon_;
    if (static_cast<double>(full.count_) < consumptionRate(balance, now) * minHorizon.count())
        return false;
    const double wanted = static_cast<double>(full.count_) * share;
    return static_cast<double>(reservableTokens(grant).count_) < wanted;
}

void reconcileBalance(PrepaidState &state, const PrepaidSettings &settings,
                      const AccountId &account, PrepaidBalance &balance, MonoTime now)
{
    HeldGrant &grant = balance.grant_;
    // Tokens of a scarce account are drawn on demand only.
    const BudgetRecord *record = findBudgetRecord(state, settings, account);
    if (record && isScarce(settings, *record))
        return;
    if (lenderForAccount(state, settings, account, now).source_ != TokenSource::Ledger) {
        // The grant dates from a time when this daemon was a lender for the zone. During a ledger
        // failure it is kept, because borrowers depend on it.
        const bool idle = now - balance.lastDrawAt_ > settings.loanIdleTimeout_;
        if (idle && !isLedgerFailing(state, settings, account))
            submitReturn(state, settings, account, balance,
                         returnableTokens(grant, settings.loanHorizon_, now),
                         now + settings.drawDelay_);
        refillLoans(state, settings, account, balance, now);
        return;
    }
    if (isBelowShare(state, settings, account, balance, settings.refillShare_, now))
        submitDraw(state, settings, account, balance, Tokens {}, now, now + settings.drawDelay_);
}

void returnScarceTokens(PrepaidState &state, const PrepaidSettings &settings,
                        const AccountId &account, PrepaidBalance &balance, MonoTime now)
{
    const BudgetRecord *record = findBudgetRecord(state, settings, account);
    if (record && isScarce(settings, *record))
        submitReturn(state, settings, account, balance,
                     returnableTokens(balance.grant_, settings.scarceHorizon_, now),
                     now + settings.drawDelay_);
}

} // namespace tamarack::prepaiddetail
