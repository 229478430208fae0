// Tests of bundle acceptance. Guards against accepting two bundles as the same version, reporting
// an accepted version as superseded, and funding a budget below its committed tokens.
#include "core/core.h"
#include "fakes/memorystore.h"

#include <catch2/catch.hpp>

namespace tamarack {

namespace {

using fakes::MemoryStore;
using fakes::StoreFault;

/// State of the store and of two operators. Unlike MemoryStore, which has a mutex, it can be copied
/// at each branch of the search.
struct RaceState
{
    std::map<StoreKey, VersionedValue> values_;
    std::uint64_t revision_ = 0;
    Acceptance a_;
    Acceptance b_;
};

StoreReply executeCall(RaceState &state, const StoreCall &call)
{
    MemoryStore store;
    store.values_.swap(state.values_);
    store.revision_ = state.revision_;
    StoreReply reply = fakes::applyCall(store, call);
    state.values_.swap(store.values_);
    state.revision_ = store.revision_;
    return reply;
}

BundleHead headBy(const std::string &name, std::uint64_t version)
{
    return BundleHead {BundleVersion {version}, "manifest of " + name, OperatorId {name},
                       "signature of " + name + std::to_string(version)};
}

AcceptancePlan planBy(const std::string &name, std::uint64_t version)
{
    AcceptancePlan plan;
    plan.prefix_ = "/t";
    plan.head_ = headBy(name, version);
    plan.parts_ = {PartToStore {"digest-of-" + name, "part of " + name},
                   PartToStore {"digest-of-shared", "shared part"}};
    return plan;
}

bool isDone(const Acceptance &acceptance)
{
    return acceptance.stage_ == AcceptanceStage::Done;
}

void step(RaceState &state, Acceptance RaceState::*participant)
{
    Acceptance &acceptance = state.*participant;
    handleReply(acceptance, executeCall(state, nextCall(acceptance)));
}

BundleHead acceptedHead(const RaceState &state)
{
    return std::get<BundleHead>(*state.values_.at(bundleHeadKey("/t")).value_);
}

/// Checks the outcome of every interleaving of the steps of two operators.
/// @param finished incremented for each completed interleaving
void checkInterleavings(const RaceState &state, std::size_t &finished)
{
    if (isDone(state.a_) && isDone(state.b_)) {
        ++finished;
        const bool aWon = state.a_.result_ == AcceptanceResult::Accepted;
        const bool bWon = state.b_.result_ == AcceptanceResult::Accepted;
        REQUIRE(aWon != bWon);
        const Acceptance &loser = aWon ? state.b_ : state.a_;
        REQUIRE(loser.result_ == AcceptanceResult::Superseded);
        REQUIRE(loser.winner_.operator_ == acceptedHead(state).operator_);
        REQUIRE(acceptedHead(state).operator_.value_ == (aWon ? "a" : "b"));
        return;
    }
    for (Acceptance RaceState::*participant : {&RaceState::a_, &RaceState::b_}) {
        if (isDone(state.*participant))
            continue;
        RaceState next = state;
        step(next, participant);
        checkInterleavings(next, finished);
    }
}

AcceptanceResult runAlone(MemoryStore &store, AcceptancePlan plan)
{
    Acceptance acceptance = startAcceptance(std::move(plan));
    while (!isDone(acceptance))
        handleReply(acceptance, fakes::callStore(store, nextCall(acceptance)));
    return acceptance.result_;
}

bool isHeadSwap(const StoreCall &call)
{
    return std::holds_alternative<CompareAndSwapCall>(call)
        && fakes::keyOf(call) == bundleHeadKey("/t");
}

LedgerShard shardWith(const BudgetId &id, std::int64_t charged, std::int64_t outstanding)
{
    LedgerShard shard;
    BudgetRecord &record = shard.budgets_[id];
    record.funded_ = Tokens {1000};
    record.charged_ = Tokens {charged};
    if (outstanding > 0)
        record.grants_[GrantId {"g"}]
            = Grant {HolderId {"h"}, Tokens {outstanding}, {}, {}, GrantState::Active};
    return shard;
}

} // namespace

TEST_CASE("one of two operators wins in every interleaving")
{
    for (const std::uint64_t version : {1U, 2U}) {
        RaceState state;
        if (version == 2) {
            state.values_[bundleHeadKey("/t")] = VersionedValue {Revision {1}, headBy("z", 1)};
            state.revision_ = 1;
        }
        state.a_ = startAcceptance(planBy("a", version));
        state.b_ = startAcceptance(planBy("b", version));
        std::size_t finished = 0;
        checkInterleavings(state, finished);
        // Each operator takes four or five steps, which gives at least this many interleavings.
        CHECK(finished >= 30);
    }
}

TEST_CASE("the outcome is determined after the reply to the swap is lost")
{
    MemoryStore store;
    REQUIRE(runAlone(store, planBy("z", 1)) == AcceptanceResult::Accepted);
    int swaps = 0;
    SECTION("the store applied the swap")
    {
        store.fault_ = [&swaps](const StoreCall &call) {
            return isHeadSwap(call) && ++swaps == 1 ? StoreFault::LostReply : StoreFault::None;
        };
        CHECK(runAlone(store, planBy("a", 2)) == AcceptanceResult::Accepted);
        CHECK(swaps == 1);
    }
    SECTION("the store did not receive the swap, which is sent again")
    {
        store.fault_ = [&swaps](const StoreCall &call) {
            return isHeadSwap(call) && ++swaps == 1 ? StoreFault::LostRequest : StoreFault::None;
        };
        CHECK(runAlone(store, planBy("a", 2)) == AcceptanceResult::Accepted);
        CHECK(swaps == 2);
    }
    SECTION("a later version is accepted before the outcome is determined")
    {
        for (const bool arrived : {true, false}) {
            MemoryStore fresh;
            REQUIRE(runAlone(fresh, planBy("z", 1)) == AcceptanceResult::Accepted);
            Acceptance a = startAcceptance(planBy("a", 2));
            while (a.stage_ != AcceptanceStage::SwapHead)
                handleReply(a, fakes::callStore(fresh, nextCall(a)));
            if (arrived)
                fakes::callStore(fresh, nextCall(a));
            else
                REQUIRE(runAlone(fresh, planBy("b", 2)) == AcceptanceResult::Accepted);
            handleReply(a, StoreReply {{}, StoreStatus::Unknown, {}});
            REQUIRE(runAlone(fresh, planBy("c", 3)) == AcceptanceResult::Accepted);
            while (!isDone(a))
                handleReply(a, fakes::callStore(fresh, nextCall(a)));
            CHECK(a.result_
                  == (arrived ? AcceptanceResult::Accepted : AcceptanceResult::Superseded));
        }
    }
    SECTION("submitting an accepted version again reports it as accepted")
    {
        REQUIRE(runAlone(store, planBy("a", 2)) == AcceptanceResult::Accepted);
        CHECK(runAlone(store, planBy("a", 2)) == AcceptanceResult::Accepted);
    }
}

TEST_CASE("acceptance handles a store failure at each step")
{
    struct Case
    {
        StoreFault fault_;
        bool onlySwap_;
        AcceptanceResult expected_;
    };
    const Case cases[] {
        {StoreFault::Unavailable, false, AcceptanceResult::StoreUnavailable},
        {StoreFault::LostRequest, false, AcceptanceResult::StoreUnavailable},
        {StoreFault::Unavailable, true, AcceptanceResult::StoreUnavailable},
        {StoreFault::LostRequest, true, AcceptanceResult::Unknown},
    };
    for (const Case &c : cases) {
        MemoryStore store;
        store.fault_ = [&c](const StoreCall &call) {
            return !c.onlySwap_ || isHeadSwap(call) ? c.fault_ : StoreFault::None;
        };
        CHECK(runAlone(store, planBy("a", 1)) == c.expected_);
        store.fault_ = nullptr;
        CHECK(store.values_[bundleHeadKey("/t")].revision_ == Revision {});
        CHECK(runAlone(store, planBy("a", 1)) == AcceptanceResult::Accepted);
    }
    for (std::size_t failing = 0; failing < 6; ++failing) {
        MemoryStore store;
        store.fault_ = [&](const StoreCall &) {
            return store.calls_ == failing + 1 ? StoreFault::LostReply : StoreFault::None;
        };
        INFO("reply " << failing << " is lost");
        CHECK(runAlone(store, planBy("a", 1)) == AcceptanceResult::Accepted);
    }
}

TEST_CASE("a version that skips or repeats a number is refused")
{
    MemoryStore store;
    CHECK(runAlone(store, planBy("a", 2)) == AcceptanceResult::Superseded);
    REQUIRE(runAlone(store, planBy("a", 1)) == AcceptanceResult::Accepted);
    CHECK(runAlone(store, planBy("b", 1)) == AcceptanceResult::Superseded);
    CHECK(runAlone(store, planBy("b", 3)) == AcceptanceResult::Superseded);
    CHECK(runAlone(store, planBy("b", 2)) == AcceptanceResult::Accepted);
}

TEST_CASE("funding is checked against the ledger")
{
    const BudgetId id {"b"};
    struct Case
    {
        std::int64_t funded_;
        bool removed_;
        std::int64_t charged_;
        std::int64_t outstanding_;
        bool allowed_;
    };
    const Case cases[] {
        {500, false, 300, 200, true}, {499, false, 300, 200, false}, {300, false, 300, 0, true},
        {0, true, 300, 0, true},      {0, true, 300, 1, false},
    };
    for (const Case &c : cases) {
        const LedgerShard shard = shardWith(id, c.charged_, c.outstanding_);
        const auto errors
            = checkFunding(shard, {FundingCheck {id, Tokens {c.funded_}, c.removed_}});
        CHECK(errors.empty() == c.allowed_);
        if (!errors.empty())
            CHECK(errors.front().outstanding_ == Tokens {c.outstanding_});
    }
}

TEST_CASE("only new, lowered and removed budgets are checked")
{
    Bundle before;
    before.budgets_[BudgetId {"same"}] = Budget {BudgetId {"same"}, AccountId {"x"}, Tokens {5}};
    before.budgets_[BudgetId {"up"}] = Budget {BudgetId {"up"}, AccountId {"x"}, Tokens {5}};
    before.budgets_[BudgetId {"down"}] = Budget {BudgetId {"down"}, AccountId {"x"}, Tokens {5}};
    before.budgets_[BudgetId {"gone"}] = Budget {BudgetId {"gone"}, AccountId {"x"}, Tokens {5}};
    Bundle next;
    next.budgets_[BudgetId {"same"}] = Budget {BudgetId {"same"}, AccountId {"x"}, Tokens {5}};
    next.budgets_[BudgetId {"up"}] = Budget {BudgetId {"up"}, AccountId {"x"}, Tokens {6}};
    next.budgets_[BudgetId {"down"}] = Budget {BudgetId {"down"}, AccountId {"x"}, Tokens {4}};
    next.budgets_[BudgetId {"new"}] = Budget {BudgetId {"new"}, AccountId {"x"}, Tokens {5}};
    std::set<std::string> checked;
    for (const auto &[shard, checks] : fundingChecks(&before, next)) {
        for (const FundingCheck &check : checks)
            checked.insert(check.budget_.value_);
    }
    CHECK(checked == std::set<std::string> {"down", "gone", "new"});
    next.budgets_ = before.budgets_;
    CHECK(fundingChecks(&before, next).empty());
}

TEST_CASE("ledger checks prevent lowered funding and changed shard counts")
{
    MemoryStore store;
    REQUIRE(runAlone(store, planBy("a", 1)) == AcceptanceResult::Accepted);
    store.values_[StoreKey {"/t/ledger/3"}]
        = VersionedValue {Revision {90}, shardWith(BudgetId {"b"}, 10, 0)};
    AcceptancePlan plan = planBy("a", 2);
    SECTION("lowered funding")
    {
        plan.checks_[ShardNumber {3}] = {FundingCheck {BudgetId {"b"}, Tokens {9}, false}};
        CHECK(runAlone(store, plan) == AcceptanceResult::Refused);
        plan.checks_[ShardNumber {3}] = {FundingCheck {BudgetId {"b"}, Tokens {10}, false}};
        CHECK(runAlone(store, plan) == AcceptanceResult::Accepted);
    }
    SECTION("changed shard counts")
    {
        plan.unusedShards_ = 16;
        CHECK(runAlone(store, plan) == AcceptanceResult::Refused);
        plan.unusedShards_ = 3;
        CHECK(runAlone(store, plan) == AcceptanceResult::Accepted);
    }
}

} // namespace tamarack
