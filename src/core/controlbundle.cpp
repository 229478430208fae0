// Bundles in the control state machine: adoption, confirmation and the snapshot of traffic threads.
#include "core/controlparts.h"

#include <fmt/format.h>

#include <set>

namespace tamarack::detail {

namespace {

/// Budgets and requests would change shards with the shard counts: a budget would be funded a
/// second time in its new shard. The counts that this daemon started with stay in force.
std::shared_ptr<const Bundle> keepShardCounts(const ControlState &state,
                                              std::shared_ptr<const Bundle> bundle, Commands &out)
{
    if (!state.bundle_)
        return bundle;
    const Policies &old = state.bundle_->policies_;
    if (old.ledgerShards_ == bundle->policies_.ledgerShards_
        && old.requestShards_ == bundle->policies_.requestShards_)
        return bundle;
    log(out, LogLevel::Error, "bundle.shard_counts_ignored",
        {{"version", std::to_string(bundle->version_.value_)},
         {"ledger_shards", std::to_string(old.ledgerShards_)},
         {"request_shards", std::to_string(old.requestShards_)}});
    auto corrected = std::make_shared<Bundle>(*bundle);
    corrected->policies_.ledgerShards_ = old.ledgerShards_;
    corrected->policies_.requestShards_ = old.requestShards_;
    return corrected;
}

/// Refuses requests that wait for tokens of a budget that the new version no longer gives them.
void refuseLostBudgets(ControlState &state, Now now, Commands &out)
{
    std::vector<AdmissionId> lost;
    for (const auto &[id, request] : state.active_) {
        if (request.stage_ != RequestStage::AwaitingTokens)
            continue;
        const auto budget = state.bundle_->budgets_.find(request.ask_.budget_);
        if (budget == state.bundle_->budgets_.end()
            || budget->second.account_ != request.ask_.account_)
            lost.push_back(id);
    }
    for (const AdmissionId &id : lost) {
        const std::string budget = state.active_.at(id).ask_.budget_.value_;
        refuse(state, id,
               Refusal {RefusalReason::BudgetNotOwned, Execution::NotRun,
                        fmt::format("bundle version {} took budget {} away from the client "
                                    "account; name another budget",
                                    state.bundle_->version_.value_, budget),
                        std::nullopt},
               now, out);
    }
}

/// A top-up may serve requests that wait for tokens.
void serveWaitingBudgets(ControlState &state, Now now, Commands &out)
{
    std::set<BudgetId> waiting;
    for (const auto &[id, request] : state.active_) {
        if (request.stage_ == RequestStage::AwaitingTokens)
            waiting.insert(request.ask_.budget_);
    }
    for (const BudgetId &budget : waiting)
        serveBudget(state, budget, false, now, out);
}

} // namespace

void publishSnapshot(const ControlState &state, Commands &out)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->bundle_ = state.bundle_;
    snapshot->stopping_ = state.stopping_;
    if (state.bundle_) {
        for (const auto &[id, account] : state.bundle_->accounts_) {
            for (const KeyHash &key : account.keys_)
                snapshot->keys_.emplace(key.sha256_, KeyOwner {id, key.defaultBudget_});
        }
    }
    out.emplace_back(PublishSnapshot {std::move(snapshot)});
}

void onBundle(ControlState &state, const BundleLoaded &event, Now now, Commands &out)
{
    const BundleVersion version = event.bundle_->version_;
    if (state.bundle_ && version <= state.bundle_->version_)
        return;
    if (!state.bundle_)
        state.bundleConfirmedAt_ = now.mono_;
    state.bundle_ = keepShardCounts(state, event.bundle_, out);
    log(out, LogLevel::Info, "bundle.applied", {{"version", std::to_string(version.value_)}});
    publishSnapshot(state, out);
    refuseLostBudgets(state, now, out);
    serveWaitingBudgets(state, now, out);
}

void onBundleConfirmed(ControlState &state, const BundleConfirmed &event, Now now, Commands &out)
{
    if (!state.bundle_ || event.version_ != state.bundle_->version_)
        return;
    state.bundleConfirmedAt_ = now.mono_;
    if (!state.unconfirmed_)
        return;
    state.unconfirmed_ = false;
    log(out, LogLevel::Info, "bundle.confirmed",
        {{"version", std::to_string(event.version_.value_)}});
}

std::optional<MonoTime> unconfirmedAt(const ControlState &state)
{
    if (!state.bundle_ || state.unconfirmed_)
        return std::nullopt;
    return state.bundleConfirmedAt_ + state.bundle_->policies_.unconfirmedLimit_;
}

void checkUnconfirmed(ControlState &state, Now now, Commands &out)
{
    const std::optional<MonoTime> due = unconfirmedAt(state);
    if (!due || now.mono_ < *due)
        return;
    state.unconfirmed_ = true;
    const bool refuses = state.bundle_->policies_.whenUnconfirmed_ == UnconfirmedPolicy::Refuse;
    log(out, LogLevel::Warning, "bundle.unconfirmed",
        {{"version", std::to_string(state.bundle_->version_.value_)},
         {"limit_ms", std::to_string(state.bundle_->policies_.unconfirmedLimit_.count())},
         {"policy", refuses ? "refuse" : "serve"}});
}

std::optional<Refusal> unconfirmedRefusal(const ControlState &state)
{
    const bool refuses = state.bundle_ && state.unconfirmed_
        && state.bundle_->policies_.whenUnconfirmed_ == UnconfirmedPolicy::Refuse;
    if (!refuses)
        return std::nullopt;
    return Refusal {RefusalReason::BundleUnconfirmed, Execution::NotRun,
                    "this daemon could not confirm its bundle for longer than the operators "
                    "allow; retry later",
                    Millis {1000}};
}

} // namespace tamarack::detail
