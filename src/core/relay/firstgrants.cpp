// First grants of accounts.
#include "core/relay/firstgrants.h"

#include "core/hash.h"
#include "core/relay/prepaidinternal.h"

#include <algorithm>
#include <string>

namespace tamarack {

namespace {

using namespace prepaiddetail;

bool isFleetKnown(const PrepaidState &state)
{
    return !state.peerAddress_.empty() && !state.lenders_.sameZone_.empty();
}

std::vector<HostId> lendersOfZone(const PrepaidState &state, const PrepaidSettings &settings)
{
    const std::vector<PeerAddress> &daemons = state.lenders_.sameZone_;
    std::vector<HostId> lenders;
    for (std::size_t i = 0; i < std::min(daemons.size(), settings.lenders_.perZone_); ++i)
        lenders.push_back(daemons[i].host_);
    return lenders;
}

/// Returns true if this daemon process has drawn no tokens of the account.
bool lacksFirstGrant(const PrepaidBalance &balance)
{
    return balance.grant_.authorized_ == Tokens {};
}

Millis spreadOf(const PrepaidState &state, const PrepaidSettings &settings, ShardNumber number)
{
    const auto range = static_cast<std::uint64_t>(settings.firstGrantSpread_.count()) + 1;
    return Millis {rendezvousWeight(std::to_string(number.value_), state.lenders_.self_.value_)
                   % range};
}

/// Excluded lenders count as lenders: a daemon that replaces one for a short time draws on demand.
bool isLenderOf(const PrepaidState &state, const PrepaidSettings &settings, ShardNumber number,
                MonoTime now)
{
    Lenders known = state.lenders_;
    known.unresponsive_.clear();
    const LenderQuery query {number, false, {}};
    return chooseLender(known, settings.lenders_, query, now).source_ == TokenSource::Ledger;
}

/// Returns the size of a first grant; 0 if nothing may be drawn in advance.
Tokens firstGrantSize(const PrepaidState &state, const PrepaidSettings &settings,
                      const AccountId &account, const PrepaidBalance &balance)
{
    const BudgetRecord *record = findBudgetRecord(state, settings, account);
    if (record && isScarce(settings, *record))
        return Tokens {};
    const Tokens unallocated = record ? unallocatedTokens(*record) : balance.funded_;
    const double share
        = std::min(settings.firstGrantShare_,
                   settings.maxHeldShare_ / static_cast<double>(state.lenders_.zones_));
    return Tokens {static_cast<std::int64_t>(static_cast<double>(unallocated.count_) * share)};
}

/// Submits the draws of a shard that has been read.
/// @return false if no account lacks a grant that may be drawn
bool submitFirstGrants(PrepaidState &state, const PrepaidSettings &settings, ShardNumber number,
                       MonoTime now)
{
    // The copy from which the store has returned may lack grants of other holders.
    if (state.drawsPausedUntil_ || state.failures_ > 0)
        return true;
    bool lacking = false;
    for (auto &[account, balance] : state.balances_) {
        if (ledgerShardOf(BudgetId {account.value_}, settings.shards_) != number
            || !lacksFirstGrant(balance))
            continue;
        const Tokens size = firstGrantSize(state, settings, account, balance);
        if (size <= Tokens {})
            continue;
        lacking = true;
        if (balance.grant_.drawPending_)
            continue;
        if (!balance.fundingCommitted_)
            submitFunding(state, settings, account, balance, now);
        const DrawOp op {
            BudgetId {account.value_}, balance.grant_.id_, state.holder_, size, {}, {}, true};
        submitOp(shardNumbered(state, settings, number), LedgerOp {op}, now);
        balance.grant_.drawPending_ = true;
        balance.lastDrawAt_ = now;
    }
    return lacking;
}

} // namespace

void scheduleFirstGrants(PrepaidState &state, const PrepaidSettings &settings, MonoTime now)
{
    if (!isFleetKnown(state) || !managesShortage(state, settings))
        return;
    FirstGrants &first = state.firstGrants_;
    std::vector<HostId> lenders = lendersOfZone(state, settings);
    const bool lendersChanged = lenders != first.lenders_;
    first.lenders_ = std::move(lenders);
    for (const auto &[account, balance] : state.balances_) {
        const ShardNumber number = ledgerShardOf(BudgetId {account.value_}, settings.shards_);
        if (!lacksFirstGrant(balance) || (!lendersChanged && first.dueAt_.contains(number)))
            continue;
        first.dueAt_[number] = now + settings.firstGrantDelay_ + spreadOf(state, settings, number);
    }
}

void drawDueFirstGrants(PrepaidState &state, const PrepaidSettings &settings, MonoTime now)
{
    auto &dueAt = state.firstGrants_.dueAt_;
    for (auto it = dueAt.begin(); it != dueAt.end();) {
        auto &[number, due] = *it;
        if (due > now) {
            ++it;
            continue;
        }
        if (!isLenderOf(state, settings, number, now)) {
            it = dueAt.erase(it);
            continue;
        }
        PrepaidShard &shard = shardNumbered(state, settings, number);
        const bool failing = state.failures_ > 0 || state.drawsPausedUntil_;
        if (!failing && shard.loaded_) {
            if (!submitFirstGrants(state, settings, number, now)) {
                it = dueAt.erase(it);
                continue;
            }
        } else if (!failing && !shard.call_ && !shard.startBy_) {
            // The size of the grants depends on what is unallocated.
            scheduleCall(shard, now);
        }
        const Millis interval
            = shard.loaded_ && !failing ? settings.firstGrantRetryInterval_ : settings.maxBackoff_;
        due = now + interval + (failing ? spreadOf(state, settings, number) : Millis {});
        ++it;
    }
}

void joinFirstGrants(PrepaidState &state, const PrepaidSettings &settings, ShardNumber number,
                     MonoTime now)
{
    const bool loaded
        = state.shards_.contains(number) && state.shards_.at(number).loaded_ && isFleetKnown(state);
    if (loaded && state.firstGrants_.dueAt_.contains(number)
        && isLenderOf(state, settings, number, now))
        submitFirstGrants(state, settings, number, now);
}

std::optional<MonoTime> nextFirstGrantTime(const PrepaidState &state)
{
    std::optional<MonoTime> next;
    for (const auto &[number, due] : state.firstGrants_.dueAt_) {
        if (!next || due < *next)
            next = due;
    }
    return next;
}

} // namespace tamarack
