// Store calls: group commits of ledger and request shards.
#include "core/controlinternal.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack::detail {

namespace {

template <typename Commit>
Commit &findShard(std::map<ShardNumber, Commit> &shards, ShardNumber number, StoredKind kind,
                  const std::string &prefix)
{
    auto [it, created] = shards.try_emplace(number);
    if (created) {
        it->second.key_ = StoreKey {fmt::format("{}/{}", prefix, number.value_)};
        it->second.kind_ = kind;
    }
    return it->second;
}

template <typename Commit>
void startShardCalls(ControlState &state, std::map<ShardNumber, Commit> &shards, StoredKind kind,
                     Now now, Commands &out)
{
    for (auto &[number, shard] : shards) {
        const CallId id {state.lastId_ + 1};
        std::optional<StoreCall> call = startCall(shard, id, now.mono_);
        if (!call)
            continue;
        nextId(state);
        state.calls_.emplace(id, ShardCall {kind, number});
        out.emplace_back(SubmitStoreCall {id, std::move(*call)});
    }
}

void logFailure(const StoreKey &key, const StoreReply &reply, Commands &out)
{
    if (reply.status_ == StoreStatus::Unknown)
        log(out, LogLevel::Warning, "store.outcome_unknown", {{"key", key.value_}});
    else if (reply.status_ == StoreStatus::Unavailable)
        log(out, LogLevel::Warning, "store.unavailable", {{"key", key.value_}});
}

std::set<BudgetId> budgetsAwaitingTokens(const ControlState &state, ShardNumber shard)
{
    std::set<BudgetId> budgets;
    for (const auto &[id, request] : state.active_) {
        const bool waits = request.stage_ == RequestStage::AwaitingTokens;
        if (waits
            && ledgerShardOf(request.params_.budget_, state.bundle_->policies_.ledgerShards_)
                == shard)
            budgets.insert(request.params_.budget_);
    }
    return budgets;
}

void onLedgerReply(ControlState &state, ShardNumber number, const StoreReply &reply, Now now,
                   Commands &out)
{
    LedgerCommit &shard = state.ledger_.at(number);
    logFailure(shard.key_, reply, out);
    const std::vector<LedgerOp> committed = finishCall(shard, reply, now.mono_);
    for (const LedgerOp &op : committed)
        onLedgerCommitted(state, op, now, out);
    if (!shard.loaded_)
        return;
    retireWrittenOff(state, number, now);
    writeOffDeadHolders(state, number, now, out);
    for (const BudgetId &budget : budgetsAwaitingTokens(state, number))
        serveBudgetWaiters(state, budget, true, now, out);
}

void onRequestReply(ControlState &state, ShardNumber number, const StoreReply &reply, Now now,
                    Commands &out)
{
    RequestCommit &shard = state.requestShards_.at(number);
    logFailure(shard.key_, reply, out);
    const std::vector<RequestOp> committed = finishCall(shard, reply, now.mono_);
    for (const RequestOp &op : committed) {
        if (const auto *intent = std::get_if<CreateIntentOp>(&op))
            onIntentCommitted(state, *intent, now, out);
        else if (const auto *bill = std::get_if<BillOp>(&op))
            onBillCommitted(state, *bill, now, out);
    }
}

template <typename Shards>
bool allIdle(const Shards &shards)
{
    return std::all_of(shards.begin(), shards.end(),
                       [](const auto &entry) { return isIdle(entry.second); });
}

} // namespace

bool commitsIdle(const ControlState &state)
{
    return allIdle(state.ledger_) && allIdle(state.requestShards_);
}

LedgerCommit &ledgerShard(ControlState &state, const BudgetId &budget)
{
    const ShardNumber number = ledgerShardOf(budget, state.bundle_->policies_.ledgerShards_);
    return findShard(state.ledger_, number, StoredKind::LedgerShard,
                     state.settings_.storePrefix_ + "/ledger");
}

RequestCommit &requestShard(ControlState &state, const RequestId &request)
{
    const ShardNumber number = requestShardOf(request, state.bundle_->policies_.requestShards_);
    return findShard(state.requestShards_, number, StoredKind::RequestShard,
                     state.settings_.storePrefix_ + "/requests");
}

void onStoreReply(ControlState &state, const StoreReply &reply, Now now, Commands &out)
{
    if (onArchiveReply(state, reply, now, out))
        return;
    const auto it = state.calls_.find(reply.call_);
    if (it == state.calls_.end())
        return;
    const ShardCall call = it->second;
    state.calls_.erase(it);
    if (call.kind_ == StoredKind::LedgerShard)
        onLedgerReply(state, call.shard_, reply, now, out);
    else
        onRequestReply(state, call.shard_, reply, now, out);
}

void startCalls(ControlState &state, Now now, Commands &out)
{
    startShardCalls(state, state.ledger_, StoredKind::LedgerShard, now, out);
    startShardCalls(state, state.requestShards_, StoredKind::RequestShard, now, out);
}

} // namespace tamarack::detail
