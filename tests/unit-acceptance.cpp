// Acceptance of bundle versions. Guards against two winners of one version, a version that is
// reported as lost although it was accepted, and funding below what is committed.
#include "core/core.h"
#include "fakes/memorystore.h"

#include <catch2/catch.hpp>

namespace tamarack {

namespace {

using fakes::MemoryStore;
using fakes::StoreFault;

/// Values of a store without its lock, so that a test can copy them at each branch.
struct World
{
    std::map<StoreKey, VersionedValue> values_;
    std::uint64_t revision_ = 0;
    Acceptance a_;
    Acceptance b_;
};

StoreReply answer(World &world, const StoreCall &call)
{
    MemoryStore store;
    store.values_.swap(world.values_);
    store.revision_ = world.revision_;
    StoreReply reply = fakes::applyCall(store, call);
    world.values_.swap(store.values_);
    world.revision_ = store.revision_;
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

void step(World &world, Acceptance World::*who)
{
    Acceptance &acceptance = world.*who;
    handleReply(acceptance, answer(world, nextCall(acceptance)));
}

BundleHead acceptedHead(const World &world)
{
    return std::get<BundleHead>(*world.values_.at(bundleHeadKey("/t")).value_);
}

/// Runs every interleaving of the steps of two operators.
void interleave(const World &world, std::size_t &finished)
{
    if (isDone(world.a_) && isDone(world.b_)) {
        ++finished;
        const bool aWon = world.a_.result_ == AcceptanceResult::Accepted;
        const bool bWon = world.b_.result_ == AcceptanceResult::Accepted;
        REQUIRE(aWon != bWon);
        const Acceptance &loser = aWon ? world.b_ : world.a_;
        REQUIRE(loser.result_ == AcceptanceResult::Superseded);
        REQUIRE(loser.winner_.operator_ == acceptedHead(world).operator_);
        REQUIRE(acceptedHead(world).operator_.value_ == (aWon ? "a" : "b"));
        return;
    }
    for (Acceptance World::*who : {&World::a_, &World::b_}) {
        if (isDone(world.*who))
            continue;
        World next = world;
        step(next, who);
        interleave(next, finished);
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

LedgerShard shardWith(const BudgetId &id, std::int64_t charged, std::int64_t outstandingTokens)
{
    LedgerShard shard;
    BudgetRecord &record = shard.budgets_[id];
    record.funded_ = Tokens {1000};
    record.charged_ = Tokens {charged};
    if (outstandingTokens > 0)
        record.grants_[GrantId {"g"}]
            = Grant {HolderId {"h"}, Tokens {outstandingTokens}, {}, {}, GrantState::Active};
    return shard;
}

} // namespace

TEST_CASE("two operators race in every interleaving")
{
    for (const std::uint64_t version : {1U, 2U}) {
        World world;
        if (version == 2) {
            world.values_[bundleHeadKey("/t")] = VersionedValue {Revision {1}, headBy("z", 1)};
            world.revision_ = 1;
        }
        world.a_ = startAcceptance(planBy("a", version));
        world.b_ = startAcceptance(planBy("b", version));
        std::size_t finished = 0;
        interleave(world, finished);
        // Four or five steps for each operator give at least this many orders.
        CHECK(finished >= 30);
    }
}

TEST_CASE("a lost answer of the swap is resolved")
{
    MemoryStore store;
    REQUIRE(runAlone(store, planBy("z", 1)) == AcceptanceResult::Accepted);
    int swaps = 0;
    SECTION("the swap took effect")
    {
        store.fault_ = [&swaps](const StoreCall &call) {
            return isHeadSwap(call) && ++swaps == 1 ? StoreFault::LostReply : StoreFault::None;
        };
        CHECK(runAlone(store, planBy("a", 2)) == AcceptanceResult::Accepted);
        CHECK(swaps == 1);
    }
    SECTION("the swap did not arrive and is sent again")
    {
        store.fault_ = [&swaps](const StoreCall &call) {
            return isHeadSwap(call) && ++swaps == 1 ? StoreFault::LostRequest : StoreFault::None;
        };
        CHECK(runAlone(store, planBy("a", 2)) == AcceptanceResult::Accepted);
        CHECK(swaps == 2);
    }
    SECTION("a later version is accepted before the answer is resolved")
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
    SECTION("submitting an accepted version again confirms it")
    {
        REQUIRE(runAlone(store, planBy("a", 2)) == AcceptanceResult::Accepted);
        CHECK(runAlone(store, planBy("a", 2)) == AcceptanceResult::Accepted);
    }
}

TEST_CASE("the store fails at each step")
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
        INFO("answer " << failing << " is lost");
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
        const auto faults
            = checkFunding(shard, {FundingCheck {id, Tokens {c.funded_}, c.removed_}});
        CHECK(faults.empty() == c.allowed_);
        if (!faults.empty())
            CHECK(faults.front().outstanding_ == Tokens {c.outstanding_});
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

TEST_CASE("the ledger refuses lowered funding and changed shard counts")
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
