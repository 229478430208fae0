// First grants. Guards against requests that wait for a store call at the start of traffic, and
// against store calls of daemons that are no lenders or that repeat while the store fails.
#include "loanfixture.h"

#include <functional>
#include <set>

namespace tamarack {

namespace {

constexpr std::size_t daemonCount = 12;
constexpr std::size_t zoneCount = 3;
constexpr int accountCount = 24;
constexpr std::int64_t prepaidTotal = 1'000'000;

AccountId accountNumbered(int number)
{
    return AccountId {"account-" + std::to_string(number)};
}

RelayConfig configOf(std::uint64_t version, int accounts)
{
    RelayConfig config;
    config.version_ = ConfigVersion {version};
    for (int i = 0; i < accounts; ++i) {
        const AccountId id = accountNumbered(i);
        config.accounts_[id] = RelayAccount {id, std::nullopt, Tokens {prepaidTotal}};
    }
    return config;
}

/// What the store does with a call.
enum class Outcome { Done, Refused, DoneWithoutReply };

/// A fleet with several accounts and ledger shards.
struct ShardedFleet
{
    PrepaidSettings settings_;
    std::vector<PrepaidState> daemons_;
    std::map<std::string, FakeStoreKey> store_;
    std::vector<std::size_t> calls_ = std::vector<std::size_t>(daemonCount);
    MonoTime now_ {Seconds {10}};
};

ShardedFleet makeShardedFleet()
{
    ShardedFleet fleet;
    fleet.settings_.shards_ = 4;
    fleet.daemons_.resize(daemonCount);
    for (std::size_t i = 0; i < daemonCount; ++i) {
        PrepaidState &state = fleet.daemons_[i];
        const std::string name = "h" + std::to_string(i);
        state.holder_ = HolderId {name + "-1"};
        state.daemons_ = daemonCount;
        state.peerAddress_ = "10.0.0." + std::to_string(i) + ":1";
        updateLenders(state.lenders_, selfAs(name, "z" + std::to_string(i % zoneCount)),
                      peersOf(daemonCount, i, zoneCount));
    }
    return fleet;
}

void configure(ShardedFleet &fleet, std::uint64_t version, int accounts)
{
    for (PrepaidState &state : fleet.daemons_) {
        applyFunding(state, fleet.settings_, configOf(version, accounts), fleet.now_);
        scheduleFirstGrants(state, fleet.settings_, fleet.now_);
    }
}

std::string keyOf(const StoreCall &call)
{
    return std::visit([](const auto &concrete) { return concrete.key_.value_; }, call);
}

void run(ShardedFleet &fleet, Millis duration,
         const std::function<Outcome(const SubmitStoreCall &)> &outcomeOf)
{
    constexpr Millis step {20};
    for (const MonoTime end = fleet.now_ + duration; fleet.now_ < end; fleet.now_ += step) {
        for (std::size_t i = 0; i < daemonCount; ++i) {
            PrepaidState &state = fleet.daemons_[i];
            reconcileBalances(state, fleet.settings_, fleet.now_);
            for (const SubmitStoreCall &call :
                 startPrepaidCalls(state, fleet.settings_, fleet.now_)) {
                ++fleet.calls_[i];
                const Outcome outcome = outcomeOf(call);
                StoreReply reply {call.id_, StoreStatus::Unknown, {}};
                if (outcome != Outcome::Refused) {
                    const StoreReply applied
                        = applyStoreCall(fleet.store_[keyOf(call.call_)], call);
                    if (outcome == Outcome::Done)
                        reply = applied;
                }
                finishPrepaidCall(state, fleet.settings_, reply, fleet.now_);
            }
        }
    }
}

Outcome alwaysDone(const SubmitStoreCall &)
{
    return Outcome::Done;
}

std::size_t allCalls(const ShardedFleet &fleet)
{
    std::size_t calls = 0;
    for (const std::size_t count : fleet.calls_)
        calls += count;
    return calls;
}

/// Returns the authorized totals of the grants of an account in the ledger.
std::vector<Tokens> grantsOf(const ShardedFleet &fleet, const AccountId &account)
{
    std::vector<Tokens> grants;
    for (const auto &[key, stored] : fleet.store_) {
        if (!stored.value_)
            continue;
        const auto &budgets = std::get<LedgerShard>(*stored.value_).budgets_;
        const auto record = budgets.find(BudgetId {account.value_});
        if (record == budgets.end())
            continue;
        for (const auto &[id, grant] : record->second.grants_)
            grants.push_back(grant.authorized_);
    }
    return grants;
}

bool haveFirstGrants(const ShardedFleet &fleet, int accounts)
{
    for (int i = 0; i < accounts; ++i) {
        const std::vector<Tokens> grants = grantsOf(fleet, accountNumbered(i));
        if (grants.size() != zoneCount)
            return false;
        for (const Tokens grant : grants) {
            if (grant <= Tokens {} || grant > Tokens {prepaidTotal / 50})
                return false;
        }
    }
    return true;
}

/// Returns true if the lender lends to the borrower without a store call.
bool borrowsAtOnce(ShardedFleet &fleet, std::size_t borrower, const AccountId &account)
{
    PrepaidState &state = fleet.daemons_[borrower];
    if (reserveTokens(state, fleet.settings_, account, Tokens {900}, fleet.now_))
        return true;
    for (const SendPeer &sent : std::exchange(state.outbox_, {})) {
        for (PrepaidState &lender : fleet.daemons_) {
            if (lender.lenders_.self_ != sent.host_)
                continue;
            handleLoanRequest(lender, fleet.settings_, std::get<LoanRequest>(sent.message_),
                              state.lenders_.self_, fleet.now_);
            for (const SendPeer &reply : std::exchange(lender.outbox_, {}))
                handleLoanReply(state, fleet.settings_, std::get<LoanReply>(reply.message_),
                                lender.lenders_.self_, fleet.now_);
        }
    }
    return reserveTokens(state, fleet.settings_, account, Tokens {900}, fleet.now_).has_value();
}

} // namespace

TEST_CASE("lenders hold a first grant of each account before any request")
{
    ShardedFleet fleet = makeShardedFleet();
    configure(fleet, 1, accountCount);
    run(fleet, Seconds {10}, alwaysDone);
    CHECK(haveFirstGrants(fleet, accountCount));
    // A read and a write for each shard and zone, and a repeated write after a conflict.
    CHECK(allCalls(fleet) <= 3 * zoneCount * fleet.settings_.shards_);
    std::size_t callers = 0;
    for (const std::size_t calls : fleet.calls_)
        callers += calls > 0 ? 1 : 0;
    CHECK(callers <= zoneCount * fleet.settings_.lenders_.perZone_);
    const std::size_t before = allCalls(fleet);
    run(fleet, Seconds {60}, alwaysDone);
    CHECK(allCalls(fleet) == before);

    for (std::size_t i = 0; i < daemonCount; ++i) {
        for (int account = 0; account < accountCount; ++account)
            CHECK(borrowsAtOnce(fleet, i, accountNumbered(account)));
    }
    CHECK(allCalls(fleet) == before);
}

TEST_CASE("an account that is added later gets a first grant")
{
    ShardedFleet fleet = makeShardedFleet();
    configure(fleet, 1, accountCount - 2);
    run(fleet, Seconds {10}, alwaysDone);
    REQUIRE(haveFirstGrants(fleet, accountCount - 2));
    const std::size_t before = allCalls(fleet);
    configure(fleet, 2, accountCount);
    run(fleet, Seconds {10}, alwaysDone);
    CHECK(haveFirstGrants(fleet, accountCount));
    // Two accounts are in two shards at most. A write from an old copy is repeated, and once more
    // after a conflict with another zone.
    CHECK(allCalls(fleet) - before <= zoneCount * 6);
}

TEST_CASE("first grants are not drawn before configuration and fleet are known")
{
    ShardedFleet fleet = makeShardedFleet();
    SECTION("without a fleet, each daemon would regard itself as a lender")
    {
        for (PrepaidState &state : fleet.daemons_)
            state.lenders_ = Lenders {};
        configure(fleet, 1, accountCount);
    }
    SECTION("without a configuration")
    {
        for (PrepaidState &state : fleet.daemons_)
            scheduleFirstGrants(state, fleet.settings_, fleet.now_);
    }
    SECTION("with a view of the fleet that has just changed")
    {
        for (std::size_t i = 0; i < daemonCount; ++i) {
            Lenders &lenders = fleet.daemons_[i].lenders_;
            updateLenders(lenders, selfAs("h" + std::to_string(i)), {});
        }
        configure(fleet, 1, accountCount);
        run(fleet, fleet.settings_.firstGrantDelay_ - Millis {20}, alwaysDone);
    }
    if (fleet.now_ == MonoTime {Seconds {10}})
        run(fleet, Seconds {10}, alwaysDone);
    CHECK(allCalls(fleet) == 0);
}

TEST_CASE("first grants don't repeat quickly while the store fails")
{
    ShardedFleet fleet = makeShardedFleet();
    configure(fleet, 1, accountCount);
    constexpr int outageSeconds = 10;
    run(fleet, Seconds {outageSeconds}, [](const SubmitStoreCall &) { return Outcome::Refused; });
    const std::size_t lenders = zoneCount * fleet.settings_.lenders_.perZone_;
    const auto longest = std::max(fleet.settings_.backoffPerDaemon_ * static_cast<int>(daemonCount),
                                  fleet.settings_.maxBackoff_);
    // Each lender makes one call at a time, and the first few follow each other faster.
    const auto perLender = static_cast<std::size_t>(Millis {Seconds {outageSeconds}} / longest) + 4;
    CHECK(allCalls(fleet) <= lenders * perLender);
    CHECK_FALSE(haveFirstGrants(fleet, accountCount));
    run(fleet, Seconds {10}, alwaysDone);
    CHECK(haveFirstGrants(fleet, accountCount));
}

TEST_CASE("a first grant whose reply is lost is not drawn twice")
{
    ShardedFleet fleet = makeShardedFleet();
    configure(fleet, 1, accountCount);
    std::set<std::string> lost;
    run(fleet, Seconds {20}, [&lost](const SubmitStoreCall &call) {
        const bool isSwap = std::holds_alternative<CompareAndSwapCall>(call.call_);
        return isSwap && lost.insert(keyOf(call.call_)).second ? Outcome::DoneWithoutReply
                                                               : Outcome::Done;
    });
    CHECK(lost.size() == fleet.settings_.shards_);
    CHECK(haveFirstGrants(fleet, accountCount));
}

TEST_CASE("no first grant is drawn while draws are paused after the store has returned from a copy")
{
    ShardedFleet fleet = makeShardedFleet();
    configure(fleet, 1, accountCount);
    for (PrepaidState &state : fleet.daemons_) {
        noticeStoreEra(state, fleet.settings_, StoreEra {1}, fleet.now_);
        noticeStoreEra(state, fleet.settings_, StoreEra {2}, fleet.now_);
    }
    run(fleet, fleet.settings_.returnSettleTime_ - Millis {40}, alwaysDone);
    for (int i = 0; i < accountCount; ++i)
        CHECK(grantsOf(fleet, accountNumbered(i)).empty());
    run(fleet, Seconds {10}, alwaysDone);
    CHECK(haveFirstGrants(fleet, accountCount));
}

} // namespace tamarack
