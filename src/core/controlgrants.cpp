// Grants of this daemon: settlement, return, release and write-off.
#include "core/controlinternal.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack::detail {

namespace {

/// Time at the current consumption rate for which a holder keeps tokens after a release request.
constexpr Millis retainedOnRelease {1000};

HeldGrant *findGrant(ControlState &state, const BudgetId &budget, const GrantId &grant)
{
    const auto held = state.grants_.find(budget);
    if (held != state.grants_.end() && held->second.id_ == grant)
        return &held->second;
    const auto retired = state.retired_.find(grant);
    return retired == state.retired_.end() ? nullptr : &retired->second.held_;
}

void submitSettle(ControlState &state, const BudgetId &budget, HeldGrant &grant, Now now)
{
    if (grant.settlePending_ || grant.releasePending_ || grant.spent_ == grant.settled_)
        return;
    grant.settlePending_ = true;
    submitOp(ledgerShard(state, budget), LedgerOp {SettleOp {budget, grant.id_, grant.spent_}},
             now.mono_ + state.settings_.flushInterval_);
}

/// Releases a retired grant when nothing is reserved from it. The release waits for a draw that is
/// not committed yet, because that draw could create the grant again after the release.
void releaseIfDrained(ControlState &state, const GrantId &id, Now now)
{
    const auto it = state.retired_.find(id);
    if (it == state.retired_.end())
        return;
    HeldGrant &grant = it->second.held_;
    if (grant.releasePending_ || grant.drawPending_ || grant.reserved_ > Tokens {})
        return;
    if (grant.authorized_ == Tokens {}) {
        state.retired_.erase(it);
        return;
    }
    grant.releasePending_ = true;
    const BudgetId &budget = it->second.budget_;
    submitOp(ledgerShard(state, budget), LedgerOp {ReleaseOp {budget, id, grant.spent_}},
             now.mono_);
}

/// Takes the budget's grant out of use; later requests use a new one.
void retire(ControlState &state, const BudgetId &budget, Now now)
{
    auto node = state.grants_.extract(budget);
    const GrantId id = node.mapped().id_;
    state.retired_.emplace(id, RetiredGrant {budget, std::move(node.mapped())});
    releaseIfDrained(state, id, now);
}

void onDrawn(ControlState &state, HeldGrant &grant, const DrawOp &draw, Now now, Commands &out)
{
    grant.drawPending_ = false;
    grant.lastUsedAt_ = now.mono_;
    const Tokens before = grant.authorized_;
    const BudgetRecord *record = ledgerRecord(ledgerShard(state, draw.budget_), draw.budget_);
    if (record && record->grants_.contains(draw.grant_))
        grant.authorized_ = record->grants_.at(draw.grant_).authorized_;
    grant.lastDrawEmpty_ = grant.authorized_ == before;
    log(out, LogLevel::Info, "budget.draw",
        {{"budget", draw.budget_.value_},
         {"grant", draw.grant_.value_},
         {"armed", std::to_string(grant.authorized_.count_)},
         {"wanted", std::to_string(draw.authorizedTotal_.count_)}});
    releaseIfDrained(state, draw.grant_, now);
}

bool storeResponds(const LedgerCommit &shard)
{
    return shard.loaded_ && shard.failures_ == 0;
}

bool isIdleGrant(const ControlState &state, const HeldGrant &grant)
{
    return grant.reserved_ == Tokens {} && !grant.drawPending_ && !state.stopping_;
}

} // namespace

HeldGrant &heldGrant(ControlState &state, const BudgetId &budget, Now now)
{
    auto [it, created] = state.grants_.try_emplace(budget);
    if (created) {
        it->second.id_
            = GrantId {fmt::format("{}.{}", state.settings_.holder_.value_, nextId(state))};
        it->second.lastUsedAt_ = now.mono_;
    }
    return it->second;
}

const BudgetRecord *ledgerRecord(const LedgerCommit &shard, const BudgetId &budget)
{
    const auto it = shard.cached_.budgets_.find(budget);
    return it == shard.cached_.budgets_.end() ? nullptr : &it->second;
}

Tokens unsettledSpending(const ControlState &state, const BudgetId &budget)
{
    Tokens sum;
    const auto held = state.grants_.find(budget);
    if (held != state.grants_.end())
        sum += held->second.spent_ - held->second.settled_;
    for (const auto &[id, retired] : state.retired_) {
        if (retired.budget_ == budget)
            sum += retired.held_.spent_ - retired.held_.settled_;
    }
    return sum;
}

void settleReservation(ControlState &state, const BudgetId &budget, const GrantId &id,
                       Tokens reserved, Tokens spent, Now now)
{
    HeldGrant *grant = findGrant(state, budget, id);
    if (!grant)
        return;
    spendReserved(*grant, reserved, spent, now.mono_);
    grant->lastUsedAt_ = now.mono_;
    state.freedBudgets_.insert(budget);
    submitSettle(state, budget, *grant, now);
    releaseIfDrained(state, id, now);
}

void onLedgerCommitted(ControlState &state, const LedgerOp &op, Now now, Commands &out)
{
    const BudgetId &budget = budgetOf(op);
    if (const auto *draw = std::get_if<DrawOp>(&op)) {
        if (HeldGrant *grant = findGrant(state, budget, draw->grant_))
            onDrawn(state, *grant, *draw, now, out);
    } else if (const auto *settle = std::get_if<SettleOp>(&op)) {
        HeldGrant *grant = findGrant(state, budget, settle->grant_);
        if (!grant)
            return;
        grant->settlePending_ = false;
        grant->settled_ = std::max(grant->settled_, settle->settledTotal_);
        submitSettle(state, budget, *grant, now);
    } else if (const auto *release = std::get_if<ReleaseOp>(&op)) {
        log(out, LogLevel::Info, "budget.release",
            {{"budget", budget.value_},
             {"grant", release->grant_.value_},
             {"spent", std::to_string(release->settledTotal_.count_)}});
        state.retired_.erase(release->grant_);
    }
}

void retireWrittenOff(ControlState &state, ShardNumber shard, Now now)
{
    const LedgerCommit &commit = state.ledger_.at(shard);
    std::vector<BudgetId> writtenOff;
    for (const auto &[budget, held] : state.grants_) {
        const BudgetRecord *record = ledgerRecord(commit, budget);
        if (!record)
            continue;
        const auto stored = record->grants_.find(held.id_);
        if (stored != record->grants_.end() && stored->second.state_ == GrantState::WrittenOff)
            writtenOff.push_back(budget);
    }
    for (const BudgetId &budget : writtenOff)
        retire(state, budget, now);
}

void requestWriteOff(ControlState &state, const HolderDeclaredDead &event, Now now)
{
    if (event.holder_ == state.settings_.holder_)
        return;
    for (auto &[number, shard] : state.ledger_) {
        state.deadHolders_[number].insert(event.holder_);
        scheduleCall(shard, now.mono_);
    }
}

void writeOffDeadHolders(ControlState &state, ShardNumber number, Now now, Commands &out)
{
    const auto dead = state.deadHolders_.find(number);
    if (dead == state.deadHolders_.end())
        return;
    LedgerCommit &shard = state.ledger_.at(number);
    for (const auto &[budget, record] : shard.cached_.budgets_) {
        for (const auto &[id, grant] : record.grants_) {
            if (grant.state_ != GrantState::Active || !dead->second.contains(grant.holder_))
                continue;
            log(out, LogLevel::Warning, "budget.write_off",
                {{"budget", budget.value_},
                 {"grant", id.value_},
                 {"holder", grant.holder_.value_},
                 {"lost",
                  std::to_string((grant.authorized_ - grant.returned_ - grant.settled_).count_)}});
            submitOp(shard, LedgerOp {WriteOffOp {budget, id}}, now.mono_);
        }
    }
    state.deadHolders_.erase(dead);
}

void onReleaseRequested(ControlState &state, const ReleaseRequested &event, Now now, Commands &out)
{
    const auto held = state.grants_.find(event.budget_);
    // While the store does not respond, a return would make the tokens unusable here without
    // freeing them for others.
    if (held == state.grants_.end() || !storeResponds(ledgerShard(state, event.budget_)))
        return;
    HeldGrant &grant = held->second;
    const Tokens amount = returnableTokens(grant, retainedOnRelease, now.mono_);
    if (amount <= Tokens {} || grant.drawPending_)
        return;
    grant.returned_ += amount;
    log(out, LogLevel::Info, "budget.return",
        {{"budget", event.budget_.value_},
         {"grant", grant.id_.value_},
         {"tokens", std::to_string(amount.count_)}});
    submitOp(ledgerShard(state, event.budget_),
             LedgerOp {ReturnOp {event.budget_, grant.id_, grant.returned_}}, now.mono_);
}

void releaseIdleGrants(ControlState &state, Now now)
{
    std::vector<BudgetId> idle;
    for (auto &[budget, grant] : state.grants_) {
        if (!isIdleGrant(state, grant)
            || now.mono_ - grant.lastUsedAt_ < state.settings_.idleGrantTimeout_)
            continue;
        if (grant.authorized_ == Tokens {} || storeResponds(ledgerShard(state, budget)))
            idle.push_back(budget);
        else
            grant.lastUsedAt_ = now.mono_; // checked again after the same time
    }
    for (const BudgetId &budget : idle)
        retire(state, budget, now);
}

std::optional<MonoTime> nextIdleRelease(const ControlState &state)
{
    std::optional<MonoTime> earliest;
    for (const auto &[budget, grant] : state.grants_) {
        const MonoTime at = grant.lastUsedAt_ + state.settings_.idleGrantTimeout_;
        if (isIdleGrant(state, grant) && (!earliest || at < *earliest))
            earliest = at;
    }
    return earliest;
}

void releaseGrants(ControlState &state, Now now)
{
    while (!state.grants_.empty())
        retire(state, BudgetId {state.grants_.begin()->first}, now);
}

} // namespace tamarack::detail
