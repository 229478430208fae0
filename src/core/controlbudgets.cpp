// Budgets: serving requests from held grants, drawing from the ledger and settling.
#include "core/controlparts.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack::detail {

namespace {

HeldGrant &heldGrant(ControlState &state, const BudgetId &budget)
{
    auto [it, created] = state.grants_.try_emplace(budget);
    if (created)
        it->second.id_
            = GrantId {fmt::format("{}.{}", state.settings_.holder_.value_, nextId(state))};
    return it->second;
}

const BudgetRecord *ledgerRecord(const LedgerCommit &shard, const BudgetId &budget)
{
    const auto it = shard.copy_.budgets_.find(budget);
    return it == shard.copy_.budgets_.end() ? nullptr : &it->second;
}

std::vector<AdmissionId> requestsAwaitingTokens(const ControlState &state, const BudgetId &budget)
{
    std::vector<AdmissionId> waiting;
    for (const auto &[id, request] : state.active_) {
        if (request.stage_ == RequestStage::AwaitingTokens && request.ask_.budget_ == budget)
            waiting.push_back(id);
    }
    return waiting;
}

void submitDraw(ControlState &state, const BudgetId &budget, Tokens needed, MonoTime due)
{
    const Budget &funding = state.bundle_->budgets_.at(budget);
    const ClientAccount &account = state.bundle_->accounts_.at(funding.account_);
    HeldGrant &grant = heldGrant(state, budget);
    LedgerCommit &shard = ledgerShard(state, budget);
    const BudgetRecord *record = ledgerRecord(shard, budget);
    const Tokens free = record ? unallocated(*record) : funding.funded_;
    DrawOp draw;
    draw.budget_ = budget;
    draw.grant_ = grant.id_;
    draw.holder_ = state.settings_.holder_;
    draw.atLeast_ = grant.spent_ + grant.reserved_ + needed;
    draw.armedTotal_ = drawTarget(grant, needed, free, account.reach_);
    submitOp(shard, LedgerOp {FundOp {budget, funding.funded_, state.bundle_->version_}}, due);
    submitOp(shard, LedgerOp {std::move(draw)}, due);
    grant.drawing_ = true;
}

/// Tokens that a request could get if every other request and holder gave back what it has not
/// spent.
Tokens largestPossible(const BudgetRecord &record, const HeldGrant &grant)
{
    return record.funded_ - record.charged_ - lost(record) - (grant.spent_ - grant.settled_);
}

void refuseExhausted(ControlState &state, const AdmissionId &admission, const BudgetRecord &record,
                     Tokens possible, Now now, Commands &out)
{
    const ActiveRequest &request = state.active_.at(admission);
    log(out, LogLevel::Info, "budget.exhausted",
        {{"budget", request.ask_.budget_.value_},
         {"worst_case", std::to_string(request.ask_.worstCase_.count_)},
         {"possible", std::to_string(possible.count_)},
         {"funded", std::to_string(record.funded_.count_)},
         {"charged", std::to_string(record.charged_.count_)},
         {"lost", std::to_string(lost(record).count_)}});
    refuse(state, admission,
           Refusal {RefusalReason::BudgetExhausted, Execution::NotRun,
                    fmt::format("the request can cost {} tokens but budget {} has {} left; top up "
                                "the budget or lower max_tokens",
                                request.ask_.worstCase_.count_, request.ask_.budget_.value_,
                                std::max<std::int64_t>(possible.count_, 0)),
                    std::nullopt},
           now, out);
}

} // namespace

void serveBudget(ControlState &state, const BudgetId &budget, bool refreshed, Now now,
                 Commands &out)
{
    HeldGrant &grant = heldGrant(state, budget);
    LedgerCommit &shard = ledgerShard(state, budget);
    for (const AdmissionId &admission : requestsAwaitingTokens(state, budget)) {
        ActiveRequest &request = state.active_.at(admission);
        const Tokens worstCase = request.ask_.worstCase_;
        if (tryReserve(grant, worstCase)) {
            request.reserved_ = worstCase;
            onReserved(state, admission, now, out);
            continue;
        }
        const BudgetRecord *record = ledgerRecord(shard, budget);
        if (refreshed && record && record->fundedBy_ >= state.bundle_->version_) {
            const Tokens possible = largestPossible(*record, grant);
            if (possible < worstCase) {
                refuseExhausted(state, admission, *record, possible, now, out);
                continue;
            }
        }
        if (grant.drawing_)
            continue;
        const Tokens shortfall = worstCase - available(grant);
        const bool freeNow = !refreshed || !record || unallocated(*record) >= shortfall;
        const MonoTime due = freeNow ? now.mono_ : now.mono_ + state.settings_.redrawInterval_;
        submitDraw(state, budget, worstCase, due);
    }
}

void onLedgerCommitted(ControlState &state, const LedgerOp &op, Now now, Commands &out)
{
    const BudgetId &budget = budgetOf(op);
    const auto held = state.grants_.find(budget);
    if (held == state.grants_.end())
        return;
    HeldGrant &grant = held->second;
    if (const auto *draw = std::get_if<DrawOp>(&op)) {
        grant.drawing_ = false;
        const BudgetRecord *record = ledgerRecord(ledgerShard(state, budget), budget);
        const auto stored
            = record ? record->grants_.find(grant.id_) : decltype(record->grants_.end()) {};
        if (record && stored != record->grants_.end())
            grant.armed_ = stored->second.armed_;
        log(out, LogLevel::Info, "budget.draw",
            {{"budget", budget.value_},
             {"grant", draw->grant_.value_},
             {"armed", std::to_string(grant.armed_.count_)},
             {"wanted", std::to_string(draw->armedTotal_.count_)}});
        return;
    }
    if (const auto *settle = std::get_if<SettleOp>(&op)) {
        grant.settling_ = false;
        grant.settled_ = std::max(grant.settled_, settle->settledTotal_);
        submitSettle(state, budget, now);
        return;
    }
    if (std::holds_alternative<ReleaseOp>(op)) {
        log(out, LogLevel::Info, "budget.release",
            {{"budget", budget.value_},
             {"grant", grant.id_.value_},
             {"spent", std::to_string(grant.spent_.count_)}});
        state.grants_.erase(held);
    }
}

void submitSettle(ControlState &state, const BudgetId &budget, Now now)
{
    HeldGrant &grant = heldGrant(state, budget);
    if (grant.settling_ || grant.spent_ == grant.settled_)
        return;
    grant.settling_ = true;
    submitOp(ledgerShard(state, budget), LedgerOp {SettleOp {budget, grant.id_, grant.spent_}},
             now.mono_ + state.settings_.flushInterval_);
}

void settleReservation(ControlState &state, const BudgetId &budget, Tokens reserved, Tokens spent,
                       Now now)
{
    spendReserved(heldGrant(state, budget), reserved, spent, now.mono_);
    submitSettle(state, budget, now);
}

void releaseGrants(ControlState &state, Now now)
{
    for (auto &[budget, grant] : state.grants_) {
        if (grant.releasing_)
            continue;
        grant.releasing_ = true;
        submitOp(ledgerShard(state, budget), LedgerOp {ReleaseOp {budget, grant.id_, grant.spent_}},
                 now.mono_);
    }
}

} // namespace tamarack::detail
