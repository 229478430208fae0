// Fault scenarios of the ledger and the request records with three daemons, for single faults and
// pairs of faults. Each scenario guards against overspending, running or billing a request twice,
// and unjustified refusals. The fixture checks these invariants after every event and at the end.
#include "controlfixture.h"

#include <catch2/catch.hpp>

namespace tamarack {

using namespace fixture;

namespace {

constexpr std::int64_t funded = 1000;

struct FaultCase
{
    const char *name_;
    void (*run_)(Fixture &fleet);
};

WaiterId submitRequest(Fixture &fleet, std::size_t daemon, std::int64_t worstCase,
                       const std::string &request, bool idempotent = true,
                       Millis timeLimit = Seconds {10})
{
    const RequestOptions options {daemon, idempotent, std::nullopt, timeLimit};
    const WaiterId waiter = admit(fleet, worstCase, request, options);
    run(fleet, Millis {100});
    return waiter;
}

/// Starts a request on daemon 0, pauses daemon 0 and reports it to daemon 1 as dead.
WaiterId reserveThenReportDead(Fixture &fleet)
{
    const WaiterId waiter = submitRequest(fleet, 0, 300, "held");
    submitRequest(fleet, 1, 10, "warm");
    fleet.daemons_[0].paused_ = true;
    send(fleet, 1, HolderDeclaredDead {stateOf(fleet, 0).settings_.holder_});
    run(fleet, Seconds {1});
    return waiter;
}

void holderDies(Fixture &fleet)
{
    reserveThenReportDead(fleet);
    kill(fleet, 0);
    CHECK(lostTokens(record(fleet)) == Tokens {300});
    const WaiterId rest = submitRequest(fleet, 2, 650, "rest");
    REQUIRE(dispatched(fleet, rest));
    finish(fleet, rest);
    run(fleet, Seconds {3});
    // The tokens authorized to the dead holder are not granted again.
    const WaiterId over = submitRequest(fleet, 2, 300, "over");
    REQUIRE(refused(fleet, over));
    CHECK(refused(fleet, over)->reason_ == RefusalReason::BudgetExhausted);
}

void holderResumesAfterWriteOff(Fixture &fleet)
{
    const WaiterId waiter = reserveThenReportDead(fleet);
    fleet.daemons_[0].paused_ = false;
    finish(fleet, waiter);
    const WaiterId next = submitRequest(fleet, 0, 200, "next");
    CHECK(dispatched(fleet, next));
    run(fleet, Seconds {5});
    CHECK(record(fleet).charged_ == Tokens {300});
    CHECK(lostTokens(record(fleet)) == Tokens {});
}

void topUpDuringPartition(Fixture &fleet)
{
    submitRequest(fleet, 0, 900, "most");
    fleet.daemons_[0].mode_ = StoreMode::Down;
    fleet.bundle_ = makeBundle(2, 2 * funded);
    adopt(fleet, 1, fleet.bundle_);
    CHECK(dispatched(fleet, submitRequest(fleet, 1, 1000, "after top-up")));
    // The partitioned daemon does not know how much of the top-up other holders have drawn.
    adopt(fleet, 0, fleet.bundle_);
    CHECK_FALSE(dispatched(fleet, submitRequest(fleet, 0, 500, "cut off")));
}

void shortStoreOutage(Fixture &fleet)
{
    fleet.daemons_[0].mode_ = StoreMode::Down;
    const WaiterId waiter = submitRequest(fleet, 0, 100, "waits");
    run(fleet, Seconds {3});
    CHECK_FALSE(decided(fleet, waiter));
    fleet.daemons_[0].mode_ = StoreMode::Healthy;
    run(fleet, Seconds {3});
    CHECK(dispatched(fleet, waiter));
}

void longStoreOutage(Fixture &fleet)
{
    const WaiterId first = submitRequest(fleet, 0, 500, "first");
    fleet.requests_.at(first).actualCost_ = Tokens {100};
    fleet.daemons_[0].mode_ = StoreMode::Down;
    finish(fleet, first);
    // Tokens authorized before the outage can still be spent, but a non-idempotent request cannot
    // be recorded.
    CHECK(dispatched(fleet, submitRequest(fleet, 0, 300, "armed")));
    const WaiterId unrecorded = submitRequest(fleet, 0, 50, "unrecorded", false);
    const WaiterId tooLarge = submitRequest(fleet, 0, 300, "too large");
    run(fleet, Seconds {60});
    REQUIRE(refused(fleet, unrecorded));
    CHECK(refused(fleet, unrecorded)->execution_ == Execution::NotRun);
    REQUIRE(refused(fleet, tooLarge));
    CHECK(refused(fleet, tooLarge)->reason_ == RefusalReason::BudgetUnconfirmed);
}

void repliesLost(Fixture &fleet)
{
    fleet.daemons_[0].mode_ = StoreMode::LosesReplies;
    const WaiterId once = submitRequest(fleet, 0, 100, "once", false);
    run(fleet, Seconds {2});
    fleet.daemons_[0].mode_ = StoreMode::Healthy;
    run(fleet, Seconds {3});
    REQUIRE(dispatched(fleet, once));
    fleet.daemons_[0].mode_ = StoreMode::LosesReplies;
    finish(fleet, once);
    run(fleet, Seconds {5});
    fleet.daemons_[0].mode_ = StoreMode::Healthy;
    run(fleet, Seconds {5});
    CHECK(record(fleet).charged_ == Tokens {100});
}

void writesAppliedLate(Fixture &fleet)
{
    fleet.daemons_[0].mode_ = StoreMode::DelaysWrites;
    const WaiterId once = submitRequest(fleet, 0, 600, "once", false);
    run(fleet, Seconds {1});
    const WaiterId other = submitRequest(fleet, 1, 600, "other");
    CHECK(dispatched(fleet, other));
    applyDelayedWrites(fleet);
    fleet.daemons_[0].mode_ = StoreMode::Healthy;
    run(fleet, Seconds {1});
    CHECK_FALSE(dispatched(fleet, once));
}

void repeatedAndReorderedReports(Fixture &fleet)
{
    fleet.daemons_[0].mode_ = StoreMode::DuplicatesReplies;
    const WaiterId first = submitRequest(fleet, 0, 100, "first");
    const WaiterId second = submitRequest(fleet, 0, 100, "second");
    finish(fleet, second);
    finish(fleet, second);
    run(fleet, Seconds {2});
    finish(fleet, first);
    run(fleet, Seconds {2});
    finish(fleet, second);
    run(fleet, Seconds {2});
    CHECK(record(fleet).charged_ == Tokens {200});
}

void checkRetryIsRefused(Fixture &fleet)
{
    const WaiterId retry = submitRequest(fleet, 1, 100, "once", false);
    REQUIRE(refused(fleet, retry));
    CHECK(refused(fleet, retry)->execution_ == Execution::Unknown);
}

void retryWhileFirstDaemonIsAlive(Fixture &fleet)
{
    REQUIRE(dispatched(fleet, submitRequest(fleet, 0, 100, "once", false)));
    checkRetryIsRefused(fleet);
}

void retryWhileFirstDaemonIsDead(Fixture &fleet)
{
    REQUIRE(dispatched(fleet, submitRequest(fleet, 0, 100, "once", false)));
    kill(fleet, 0);
    checkRetryIsRefused(fleet);
}

void retryWhileFirstDaemonIsPaused(Fixture &fleet)
{
    const WaiterId first = admit(fleet, 100, "once", {.idempotent_ = false});
    deliverStoreReplies(fleet, 0);
    REQUIRE(dispatched(fleet, first));
    fleet.daemons_[0].paused_ = true;
    checkRetryIsRefused(fleet);
    fleet.daemons_[0].paused_ = false;
    finish(fleet, first);
    run(fleet, Seconds {5});
    CHECK(bills(fleet).size() == 1);
}

void idempotentRetryAtAnotherDaemon(Fixture &fleet)
{
    const WaiterId first = submitRequest(fleet, 0, 100, "again");
    const WaiterId second = submitRequest(fleet, 1, 100, "again");
    REQUIRE(dispatched(fleet, first));
    REQUIRE(dispatched(fleet, second));
    finish(fleet, second);
    finish(fleet, first);
    run(fleet, Seconds {5});
    CHECK(bills(fleet).size() == 1);
    CHECK(record(fleet).charged_ == Tokens {100});
}

void holderDiesDuringOutage(Fixture &fleet)
{
    for (Daemon &daemon : fleet.daemons_)
        daemon.mode_ = StoreMode::Healthy;
    submitRequest(fleet, 0, 300, "held");
    submitRequest(fleet, 1, 10, "warm");
    for (Daemon &daemon : fleet.daemons_)
        daemon.mode_ = StoreMode::Down;
    kill(fleet, 0);
    send(fleet, 1, HolderDeclaredDead {stateOf(fleet, 0).settings_.holder_});
    run(fleet, Seconds {30});
    CHECK(lostTokens(record(fleet)) == Tokens {});
    for (Daemon &daemon : fleet.daemons_)
        daemon.mode_ = StoreMode::Healthy;
    run(fleet, Seconds {5});
    CHECK(lostTokens(record(fleet)) == Tokens {300});
}

void holderPausedDuringTopUp(Fixture &fleet)
{
    const WaiterId held = reserveThenReportDead(fleet);
    fleet.bundle_ = makeBundle(2, 2 * funded);
    adopt(fleet, 1, fleet.bundle_);
    CHECK(dispatched(fleet, submitRequest(fleet, 1, 1600, "after top-up")));
    fleet.daemons_[0].paused_ = false;
    finish(fleet, held);
    CHECK_FALSE(dispatched(fleet, submitRequest(fleet, 0, 400, "too much")));
}

void holderDiesAfterLostReply(Fixture &fleet)
{
    submitRequest(fleet, 0, 10, "warm 0");
    fleet.daemons_[0].mode_ = StoreMode::LosesReplies;
    CHECK_FALSE(dispatched(fleet, submitRequest(fleet, 0, 300, "once", false)));
    kill(fleet, 0);
    submitRequest(fleet, 1, 10, "warm 1");
    send(fleet, 1, HolderDeclaredDead {stateOf(fleet, 0).settings_.holder_});
    run(fleet, Seconds {1});
    CHECK(lostTokens(record(fleet)) == Tokens {310});
}

void twoHoldersDie(Fixture &fleet)
{
    submitRequest(fleet, 0, 300, "first");
    submitRequest(fleet, 1, 300, "second");
    kill(fleet, 0);
    kill(fleet, 1);
    submitRequest(fleet, 2, 10, "warm");
    send(fleet, 2, HolderDeclaredDead {stateOf(fleet, 0).settings_.holder_});
    send(fleet, 2, HolderDeclaredDead {stateOf(fleet, 1).settings_.holder_});
    run(fleet, Seconds {1});
    CHECK(lostTokens(record(fleet)) == Tokens {600});
}

void unusedTokensAreReclaimed(Fixture &fleet)
{
    const WaiterId first = submitRequest(fleet, 0, 900, "first");
    fleet.requests_.at(first).actualCost_ = Tokens {};
    finish(fleet, first);
    const WaiterId second = submitRequest(fleet, 1, 900, "second");
    run(fleet, Seconds {2});
    CHECK(dispatched(fleet, second));
}

void idleGrantIsReleased(Fixture &fleet)
{
    const WaiterId first = submitRequest(fleet, 0, 900, "first");
    fleet.requests_.at(first).actualCost_ = Tokens {50};
    finish(fleet, first);
    run(fleet, Seconds {100});
    CHECK(outstandingTokens(record(fleet)) > Tokens {});
    run(fleet, Seconds {60});
    CHECK(record(fleet).grants_.empty());
    CHECK(record(fleet).charged_ == Tokens {50});
}

void idleGrantIsKeptDuringOutage(Fixture &fleet)
{
    const WaiterId first = submitRequest(fleet, 0, 900, "first");
    fleet.requests_.at(first).actualCost_ = Tokens {50};
    finish(fleet, first);
    run(fleet, Seconds {5});
    fleet.daemons_[0].mode_ = StoreMode::Down;
    submitRequest(fleet, 0, 950, "finds the store down", true, Millis {1});
    run(fleet, Seconds {600});
    CHECK(dispatched(fleet, submitRequest(fleet, 0, 800, "served by the grant at hand")));
}

const FaultCase faultCases[] = {
    {"holder dies", holderDies},
    {"paused holder is written off and resumes", holderResumesAfterWriteOff},
    {"top-up during a partition", topUpDuringPartition},
    {"short store outage", shortStoreOutage},
    {"long store outage", longStoreOutage},
    {"replies are lost after the write", repliesLost},
    {"writes are applied late", writesAppliedLate},
    {"repeated and reordered reports", repeatedAndReorderedReports},
    {"retry at another daemon while the first one is alive", retryWhileFirstDaemonIsAlive},
    {"retry at another daemon while the first one is dead", retryWhileFirstDaemonIsDead},
    {"retry at another daemon while the first one is paused", retryWhileFirstDaemonIsPaused},
    {"idempotent retry at another daemon", idempotentRetryAtAnotherDaemon},
    {"pair: holder dies, store outage", holderDiesDuringOutage},
    {"pair: paused holder is written off, top-up", holderPausedDuringTopUp},
    {"pair: reply lost, holder dies", holderDiesAfterLostReply},
    {"pair: two holders die", twoHoldersDie},
    {"unused tokens of another holder are reclaimed", unusedTokensAreReclaimed},
    {"an idle grant is released", idleGrantIsReleased},
    {"an idle grant is kept during a store outage", idleGrantIsKeptDuringOutage},
};

} // namespace

TEST_CASE("ledger fault scenarios")
{
    for (const FaultCase &fault : faultCases) {
        SECTION(fault.name_)
        {
            Fixture fleet = makeFixture(funded, 3);
            fault.run_(fleet);
            recoverFleet(fleet);
            checkQuiescent(fleet);
            CHECK(firstViolation(fleet).empty());
        }
    }
}

} // namespace tamarack
