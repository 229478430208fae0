// Budgets: serving waiting requests from held grants and drawing from the ledger.
#include "core/controlparts.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack::detail {

namespace {

std::vector<AdmissionId> requestsAwaitingTokens(const ControlState &state, const BudgetId &budget)
{
    std::vector<AdmissionId> waiting;
    for (const auto &[id, request] : state.active_) {
        if (request.stage_ == RequestStage::AwaitingTokens && request.ask_.budget_ == budget)
            waiting.push_back(id);
    }
    return waiting;
}

/// What the requests that wait for tokens of one budget need from the ledger.
struct Demand
{
    /// The smallest worst case: less is of no use to any of them.
    Tokens smallest_;
    /// Worst cases of the requests that can be served, in order of arrival.
    Tokens wanted_;
    /// At least one of them can be served.
    bool fits_ = false;
};

Demand demandOf(const ControlState &state, const std::vector<AdmissionId> &blocked, Tokens possible)
{
    Demand demand;
    demand.smallest_ = state.active_.at(blocked.front()).ask_.worstCase_;
    for (const AdmissionId &admission : blocked) {
        const Tokens worstCase = state.active_.at(admission).ask_.worstCase_;
        demand.smallest_ = std::min(demand.smallest_, worstCase);
        if (demand.wanted_ + worstCase > possible)
            continue;
        demand.wanted_ += worstCase;
        demand.fits_ = true;
    }
    demand.wanted_ = std::max(demand.wanted_, demand.smallest_);
    return demand;
}

void submitDraw(ControlState &state, const BudgetId &budget,
                const std::vector<AdmissionId> &blocked, bool refreshed, Now now)
{
    const Budget &funding = state.bundle_->budgets_.at(budget);
    const ClientAccount &account = state.bundle_->accounts_.at(funding.account_);
    HeldGrant &grant = heldGrant(state, budget, now);
    LedgerCommit &shard = ledgerShard(state, budget);
    const BudgetRecord *record = ledgerRecord(shard, budget);
    const Tokens free = record ? unallocatedTokens(*record) : funding.funded_;
    const Demand demand = demandOf(state, blocked, free + reservableTokens(grant));
    DrawOp draw;
    draw.budget_ = budget;
    draw.grant_ = grant.id_;
    draw.holder_ = state.settings_.holder_;
    draw.mayCreate_ = grant.authorized_ == Tokens {};
    draw.minAuthorizedTotal_ = grant.returned_ + grant.spent_ + grant.reserved_ + demand.smallest_;
    draw.authorizedTotal_ = drawTarget(grant, demand.wanted_, free, account.grantPolicy_);
    // After a look at the ledger that did not help, the next look waits.
    const bool wait = refreshed && (!demand.fits_ || grant.lastDrawEmpty_);
    const MonoTime due = wait ? now.mono_ + state.settings_.redrawInterval_ : now.mono_;
    submitOp(shard, LedgerOp {FundOp {budget, funding.funded_, state.bundle_->version_}}, due);
    submitOp(shard, LedgerOp {std::move(draw)}, due);
    grant.drawPending_ = true;
}

/// Tokens that a request could get if every other request and holder gave back what it has not
/// spent.
Tokens largestPossible(const ControlState &state, const BudgetRecord &record,
                       const BudgetId &budget)
{
    return record.funded_ - record.charged_ - lostTokens(record) - unsettledSpending(state, budget);
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
         {"lost", std::to_string(lostTokens(record).count_)}});
    refuse(state, admission,
           Refusal {RefusalReason::BudgetExhausted, Execution::NotRun,
                    fmt::format("the request can cost {} tokens but budget {} has {} left; top up "
                                "the budget or lower max_tokens",
                                request.ask_.worstCase_.count_, request.ask_.budget_.value_,
                                std::max<std::int64_t>(possible.count_, 0)),
                    std::nullopt},
           now, out);
}

/// Returns true if the bundle in force has the budget and its account, which may have changed while
/// the request waited.
bool ownsBudget(const ControlState &state, const ActiveRequest &request)
{
    const auto budget = state.bundle_->budgets_.find(request.ask_.budget_);
    return budget != state.bundle_->budgets_.end()
        && budget->second.account_ == request.ask_.account_
        && state.bundle_->accounts_.contains(request.ask_.account_);
}

void refuseRemoved(ControlState &state, const AdmissionId &admission, Now now, Commands &out)
{
    const AdmissionRequested &ask = state.active_.at(admission).ask_;
    refuse(state, admission,
           Refusal {RefusalReason::BudgetNotOwned, Execution::NotRun,
                    fmt::format("budget {} was withdrawn from client account {} while the request "
                                "waited; name another budget",
                                ask.budget_.value_, ask.account_.value_),
                    std::nullopt},
           now, out);
}

/// Serves a waiting request or refuses it.
/// @return true if it goes on waiting
bool staysBlocked(ControlState &state, const AdmissionId &admission, bool refreshed, Now now,
                  Commands &out)
{
    ActiveRequest &request = state.active_.at(admission);
    const BudgetId budget = request.ask_.budget_;
    if (!ownsBudget(state, request)) {
        refuseRemoved(state, admission, now, out);
        return false;
    }
    HeldGrant &grant = heldGrant(state, budget, now);
    if (tryReserve(grant, request.ask_.worstCase_)) {
        grant.lastUsedAt_ = now.mono_;
        request.grant_ = grant.id_;
        request.reserved_ = request.ask_.worstCase_;
        onReserved(state, admission, now, out);
        return false;
    }
    const BudgetRecord *record = ledgerRecord(ledgerShard(state, budget), budget);
    if (!refreshed || !record || record->fundingVersion_ < state.bundle_->version_)
        return true;
    const Tokens possible = largestPossible(state, *record, budget);
    if (possible < request.ask_.worstCase_) {
        refuseExhausted(state, admission, *record, possible, now, out);
        return false;
    }
    if (unallocatedTokens(*record) + reservableTokens(grant) < request.ask_.worstCase_)
        request.blockedAt_ = now.mono_;
    return true;
}

/// Asks the other holders of a budget to hand back what they do not need.
void askHolders(ControlState &state, const BudgetId &budget, Now now, Commands &out)
{
    const BudgetRecord *record = ledgerRecord(ledgerShard(state, budget), budget);
    std::optional<MonoTime> &last = heldGrant(state, budget, now).lastReleaseRequestAt_;
    if (!record || (last && now.mono_ - *last < state.settings_.askInterval_))
        return;
    last = now.mono_;
    std::set<HolderId> holders;
    for (const auto &[id, grant] : record->grants_) {
        const Tokens unsettled
            = grant.authorized_ - grant.returned_ - grant.settled_ + grant.reserve_;
        if (grant.state_ == GrantState::Active && unsettled > Tokens {}
            && grant.holder_ != state.settings_.holder_)
            holders.insert(grant.holder_);
    }
    for (const HolderId &holder : holders)
        out.emplace_back(RequestRelease {holder, budget});
}

} // namespace

void serveBudget(ControlState &state, const BudgetId &budget, bool refreshed, Now now,
                 Commands &out)
{
    std::vector<AdmissionId> blocked;
    bool heldElsewhere = false;
    for (const AdmissionId &admission : requestsAwaitingTokens(state, budget)) {
        if (!staysBlocked(state, admission, refreshed, now, out))
            continue;
        blocked.push_back(admission);
        heldElsewhere |= state.active_.at(admission).blockedAt_ == now.mono_;
    }
    if (blocked.empty())
        return;
    if (heldElsewhere)
        askHolders(state, budget, now, out);
    if (!heldGrant(state, budget, now).drawPending_)
        submitDraw(state, budget, blocked, refreshed, now);
}

void serveFreed(ControlState &state, Now now, Commands &out)
{
    while (!state.freed_.empty()) {
        for (const BudgetId &budget : std::exchange(state.freed_, {}))
            serveBudget(state, budget, false, now, out);
    }
}

} // namespace tamarack::detail
