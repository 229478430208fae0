// Reports of committed grants between daemons.
#include "core/relay/grantreports.h"

#include "core/relay/prepaidinternal.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tamarack {

namespace {

using namespace prepaiddetail;

/// Totals above this are impossible, and sums of many of them can't overflow.
constexpr Tokens maxReportedTokens {1'000'000'000'000};

const PeerAddress *firstResponsive(const Lenders &lenders, const std::vector<PeerAddress> &daemons,
                                   MonoTime now)
{
    const auto found = std::find_if(daemons.begin(), daemons.end(), [&](const PeerAddress &daemon) {
        return daemon.host_ != lenders.self_
            && !isExcluded(lenders.unresponsive_, daemon.host_, now);
    });
    return found == daemons.end() ? nullptr : &*found;
}

bool isPossible(Tokens authorized, Tokens settled, Tokens returned)
{
    return authorized > Tokens {} && authorized <= maxReportedTokens && settled >= Tokens {}
    && settled <= authorized && returned >= Tokens {} && returned <= authorized - settled;
}

/// Raises the totals of a reported grant. They are cumulative, so reports may be repeated or
/// reordered.
void recordGrant(LedgerShard &reports, const HolderId &holder, const ReportedGrant &reported)
{
    BudgetRecord &record = reports.budgets_[reported.budget_];
    Grant grant = record.grants_[GrantId {holder.value_}];
    grant.holder_ = holder;
    grant.authorized_ = std::max(grant.authorized_, reported.authorized_);
    grant.settled_ = std::max(grant.settled_, reported.settled_);
    grant.returned_ = std::max(grant.returned_, reported.returned_);
    // Totals of different reports can contradict each other only if the sender is faulty.
    if (!isPossible(grant.authorized_, grant.settled_, grant.returned_))
        return;
    record.grants_[GrantId {holder.value_}] = grant;
    record.charged_ = Tokens {};
    for (const auto &[id, entry] : record.grants_)
        record.charged_ += entry.settled_;
    record.funded_ = committedTokens(record);
}

/// Two generations of reports bound the memory that holders of earlier processes take.
void rotate(GrantReports &reports, const PrepaidSettings &settings, MonoTime now)
{
    if (now - reports.rotatedAt_ < settings.reportLifetime_)
        return;
    reports.older_ = std::exchange(reports.newer_, {});
    reports.rotatedAt_ = now;
}

void restore(PrepaidShard &shard, const GrantReports &reports, MonoTime now)
{
    joinHistories(shard.reported_, reports.older_);
    joinHistories(shard.reported_, reports.newer_);
    shard.loaded_ = false;
    scheduleCall(shard, now);
}

} // namespace

void reportCommittedGrants(PrepaidState &state, ShardNumber number,
                           const std::vector<LedgerOp> &committed, MonoTime now)
{
    const PrepaidShard &shard = state.shards_.at(number);
    if (shard.era_ == StoreEra {} || state.peerAddress_.empty())
        return;
    std::set<BudgetId> budgets;
    for (const LedgerOp &op : committed) {
        if (!std::holds_alternative<FundOp>(op))
            budgets.insert(budgetOf(op));
    }
    GrantReport report {state.holder_, shard.era_, {}};
    for (const BudgetId &budget : budgets) {
        const auto record = shard.cached_.budgets_.find(budget);
        if (record == shard.cached_.budgets_.end())
            continue;
        const auto grant = record->second.grants_.find(GrantId {state.holder_.value_});
        if (grant != record->second.grants_.end())
            report.grants_.push_back(ReportedGrant {budget, grant->second.authorized_,
                                                    grant->second.settled_,
                                                    grant->second.returned_});
    }
    if (report.grants_.empty())
        return;
    for (const std::vector<PeerAddress> *daemons :
         {&state.lenders_.sameZone_, &state.lenders_.otherZones_}) {
        if (const PeerAddress *peer = firstResponsive(state.lenders_, *daemons, now))
            state.outbox_.push_back(SendPeer {peer->host_, peer->address_, report});
    }
}

void recordGrantReport(PrepaidState &state, const PrepaidSettings &settings,
                       const GrantReport &report, MonoTime now)
{
    if (report.holder_ == state.holder_)
        return;
    std::set<ShardNumber> numbers;
    for (const ReportedGrant &grant : report.grants_) {
        if (!isPossible(grant.authorized_, grant.settled_, grant.returned_))
            continue;
        const ShardNumber number = ledgerShardOf(grant.budget_, settings.shards_);
        GrantReports &reports = state.grantReports_[number];
        rotate(reports, settings, now);
        recordGrant(reports.newer_, report.holder_, grant);
        numbers.insert(number);
    }
    // The store has returned from a copy since the holder sent the report.
    if (report.era_ < state.storeEra_) {
        for (const ShardNumber number : numbers)
            restore(shardNumbered(state, settings, number), state.grantReports_.at(number), now);
    }
}

void restoreReportedGrants(PrepaidState &state, const PrepaidSettings &settings, MonoTime now)
{
    for (const auto &[number, reports] : state.grantReports_)
        restore(shardNumbered(state, settings, number), reports, now);
}

} // namespace tamarack
