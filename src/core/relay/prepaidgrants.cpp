// The ledger side of prepaid balances: when to draw, how much, and when to hand back.
#include "core/relay/loans.h"
#include "core/relay/prepaidparts.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace tamarack::prepaiddetail {

namespace {

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
    return record ? unallocatedTokens(*record) : balance.funded_;
}

/// Part of an account's use that this daemon and its borrowers make up, as far as the ledger shows.
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

GrantPolicy reachPolicy(const PrepaidState &state, const PrepaidSettings &settings,
                        const AccountId &account, bool forZone)
{
    constexpr double perMille = 1000.0;
    const bool oneForZone = forZone && !state.lenders_.near_.empty();
    const std::uint32_t holders = oneForZone ? state.lenders_.zones_ : state.daemons_;
    const BudgetRecord *record = recordOf(state, settings, account);
    double part = 1.0 / std::max(holders, 1U);
    // The clients of one account may all use one zone.
    if (record && forZone)
        part = std::max(part, useShare(*record, GrantId {state.holder_.value_}));
    const double share = settings.heldShare_ * perMille * part;
    const bool scarce = record && isScarce(settings, *record);
    return GrantPolicy {scarce ? settings.scarceReach_ : settings.reach_,
                        std::max(static_cast<std::uint32_t>(share), 1U)};
}

/// What a full grant holds: its reach, but not more than its share of what is left.
Tokens fullGrant(const PrepaidState &state, const PrepaidSettings &settings,
                 const AccountId &account, const PrepaidBalance &balance, MonoTime now)
{
    const std::int64_t unallocatedTokens = unallocatedOf(state, settings, account, balance).count_;
    const GrantPolicy policy = reachPolicy(state, settings, account, true);
    const Tokens share {unallocatedTokens * policy.maxSharePerMille_ / 1000};
    return std::min(reachTokens(settings, balance, now), share);
}

} // namespace

PrepaidShard &shardOf(PrepaidState &state, const PrepaidSettings &settings,
                      const AccountId &account)
{
    const ShardNumber number = ledgerShardOf(BudgetId {account.value_}, settings.shards_);
    auto [it, created] = state.shards_.try_emplace(number);
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
    const auto &budgets = shard->second.cached_.budgets_;
    const auto record = budgets.find(budget);
    return record == budgets.end() ? nullptr : &record->second;
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
    double smoothed = burnRateAt(balance.grant_, now) + lendRate(balance, now);
    for (const auto &[run, loan] : balance.loans_)
        smoothed += burnRateAt(loan.grant_, now);
    return std::max(smoothed / seen, guess);
}

double lendRate(const PrepaidBalance &balance, MonoTime now)
{
    const std::chrono::duration<double> gap = now - balance.lentAt_;
    return balance.lendRate_ * std::exp(-gap / burnRateWindow);
}

void noteLent(PrepaidBalance &balance, Tokens amount, MonoTime now)
{
    balance.lendRate_ = std::max(
        lendRate(balance, now) + static_cast<double>(amount.count_) / burnRateWindow.count(), 0.0);
    balance.lentAt_ = now;
}

void noteFirstUse(PrepaidBalance &balance, double burn, MonoTime now)
{
    if (balance.usedSince_)
        return;
    balance.usedSince_ = now;
    balance.firstBurn_ = burn;
}

std::optional<PeerAddress> drawerFor(const PrepaidState &state, const PrepaidSettings &settings,
                                     const AccountId &account, MonoTime now)
{
    if (state.peerAddress_.empty())
        return std::nullopt;
    LenderQuery query;
    query.shard_ = ledgerShardOf(BudgetId {account.value_}, settings.shards_);
    query.ledgerFailing_ = isLedgerFailing(state, settings, account);
    const auto balance = state.balances_.find(account);
    if (balance != state.balances_.end())
        query.empty_ = balance->second.emptyLenders_;
    return lenderOf(state.lenders_, settings.lenders_, query, now);
}

void submitFunding(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                   const PrepaidBalance &balance, MonoTime due)
{
    submitOp(shardOf(state, settings, account),
             LedgerOp {FundOp {BudgetId {account.value_}, balance.funded_,
                               BundleVersion {balance.fundingVersion_.value_}}},
             due);
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
    const bool forZone = !drawerFor(state, settings, account, now);
    op.authorizedTotal_
        = drawTarget(estimate, needed, unallocatedOf(state, settings, account, balance),
                     reachPolicy(state, settings, account, forZone));
    op.minAuthorizedTotal_ = grant.returned_ + grant.spent_ + grant.reserved_ + needed;
    op.mayCreate_ = grant.authorized_ == Tokens {};
    if (op.authorizedTotal_ <= grant.authorized_)
        return;
    const BudgetRecord *record = recordOf(state, settings, account);
    if (record && isScarce(settings, *record))
        due = std::max(due, now + settings.scarceDelay_);
    // Funding goes first: a draw from a budget without a record has no effect.
    if (!balance.fundingCommitted_)
        submitFunding(state, settings, account, balance, due);
    submitOp(shardOf(state, settings, account), LedgerOp {op}, due);
    grant.drawPending_ = true;
    balance.drewAt_ = now;
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

bool isScarce(const PrepaidSettings &settings, const BudgetRecord &record)
{
    return static_cast<double>(unallocatedTokens(record).count_)
        < static_cast<double>(record.funded_.count_) * settings.scarceShare_;
}

/// Returns true if a grant in use has less than a share of what it should hold.
bool isBelow(const PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
             const PrepaidBalance &balance, double share, MonoTime now)
{
    const HeldGrant &grant = balance.grant_;
    if (grant.drawPending_ || !balance.usedSince_)
        return false;
    const Tokens full = fullGrant(state, settings, account, balance, now);
    const std::chrono::duration<double> minReach = settings.minReach_;
    if (static_cast<double>(full.count_) < burnRate(balance, now) * minReach.count())
        return false;
    const double wanted = static_cast<double>(full.count_) * share;
    return static_cast<double>(reservableTokens(grant).count_) < wanted;
}

void reviewBalance(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                   PrepaidBalance &balance, MonoTime now)
{
    HeldGrant &grant = balance.grant_;
    // What is needed next of a scarce account is drawn when a request asks for it.
    const BudgetRecord *record = recordOf(state, settings, account);
    if (record && isScarce(settings, *record))
        return;
    if (drawerFor(state, settings, account, now)) {
        // This grant is left from when this daemon drew for the zone. A daemon that only can't
        // reach the ledger keeps it, because its borrowers live on it.
        const bool idle = now - balance.drewAt_ > settings.loanIdle_;
        if (idle && !isLedgerFailing(state, settings, account))
            submitReturn(state, settings, account, balance,
                         returnableTokens(grant, settings.loanReach_, now),
                         now + settings.drawDelay_);
        reviewLoans(state, settings, account, balance, now);
        return;
    }
    if (isBelow(state, settings, account, balance, settings.refillShare_, now))
        submitDraw(state, settings, account, balance, Tokens {}, now, now + settings.drawDelay_);
}

void handBackScarce(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                    PrepaidBalance &balance, MonoTime now)
{
    const BudgetRecord *record = recordOf(state, settings, account);
    if (record && isScarce(settings, *record))
        submitReturn(state, settings, account, balance,
                     returnableTokens(balance.grant_, settings.scarceReach_, now),
                     now + settings.drawDelay_);
}

} // namespace tamarack::prepaiddetail
