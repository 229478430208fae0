// Named fault cases of the ledger and of request records over three daemons, alone and in pairs.
// Each case guards against overspend, a second run or bill, and refusals that are not true; what
// must hold in all of them is checked by the fixture after every event and at rest.
#include "controlfixture.h"

#include <catch2/catch.hpp>

namespace tamarack {

using namespace fixture;

namespace {

constexpr std::int64_t funded = 1000;

struct FaultCase
{
    const char *name_;
    void (*play_)(Fixture &fleet);
};

WaiterId ask(Fixture &fleet, std::size_t daemon, std::int64_t worstCase, const std::string &request,
             bool idempotent = true, Millis timeLimit = Seconds {10})
{
    const RequestOptions options {daemon, idempotent, std::nullopt, timeLimit};
    const WaiterId waiter = admit(fleet, worstCase, request, options);
    run(fleet, Millis {100});
    return waiter;
}

/// Lets daemon 0 hold a running request, and daemon 1 believe that daemon 0 is dead.
WaiterId holdAndWriteOff(Fixture &fleet)
{
    const WaiterId waiter = ask(fleet, 0, 300, "held");
    ask(fleet, 1, 10, "warm");
    fleet.daemons_[0].paused_ = true;
    send(fleet, 1, HolderDeclaredDead {stateOf(fleet, 0).settings_.holder_});
    run(fleet, Seconds {1});
    return waiter;
}

void holderDies(Fixture &fleet)
{
    holdAndWriteOff(fleet);
    kill(fleet, 0);
    CHECK(lostTokens(record(fleet)) == Tokens {300});
    const WaiterId rest = ask(fleet, 2, 650, "rest");
    REQUIRE(dispatched(fleet, rest));
    finish(fleet, rest);
    run(fleet, Seconds {3});
    // The armed tokens of the dead holder are not granted again.
    const WaiterId over = ask(fleet, 2, 300, "over");
    REQUIRE(refused(fleet, over));
    CHECK(refused(fleet, over)->reason_ == RefusalReason::BudgetExhausted);
}

void holderWakesAfterWriteOff(Fixture &fleet)
{
    const WaiterId waiter = holdAndWriteOff(fleet);
    fleet.daemons_[0].paused_ = false;
    finish(fleet, waiter);
    const WaiterId next = ask(fleet, 0, 200, "next");
    CHECK(dispatched(fleet, next));
    run(fleet, Seconds {5});
    CHECK(record(fleet).charged_ == Tokens {300});
    CHECK(lostTokens(record(fleet)) == Tokens {});
}

void topUpInsidePartition(Fixture &fleet)
{
    ask(fleet, 0, 900, "most");
    fleet.daemons_[0].mode_ = StoreMode::Down;
    fleet.bundle_ = makeBundle(2, 2 * funded);
    adopt(fleet, 1, fleet.bundle_);
    CHECK(dispatched(fleet, ask(fleet, 1, 1000, "after top-up")));
    // The daemon that is cut off knows neither the top-up nor who has drawn on it.
    adopt(fleet, 0, fleet.bundle_);
    CHECK_FALSE(dispatched(fleet, ask(fleet, 0, 500, "cut off")));
}

void shortStoreOutage(Fixture &fleet)
{
    fleet.daemons_[0].mode_ = StoreMode::Down;
    const WaiterId waiter = ask(fleet, 0, 100, "waits");
    run(fleet, Seconds {3});
    CHECK_FALSE(decided(fleet, waiter));
    fleet.daemons_[0].mode_ = StoreMode::Healthy;
    run(fleet, Seconds {3});
    CHECK(dispatched(fleet, waiter));
}

void longStoreOutage(Fixture &fleet)
{
    const WaiterId first = ask(fleet, 0, 500, "first");
    fleet.requests_.at(first).actualCost_ = Tokens {100};
    fleet.daemons_[0].mode_ = StoreMode::Down;
    finish(fleet, first);
    // Tokens that are armed already serve on; a non-idempotent request cannot be recorded.
    CHECK(dispatched(fleet, ask(fleet, 0, 300, "armed")));
    const WaiterId unrecorded = ask(fleet, 0, 50, "unrecorded", false);
    const WaiterId tooLarge = ask(fleet, 0, 300, "too large");
    run(fleet, Seconds {60});
    REQUIRE(refused(fleet, unrecorded));
    CHECK(refused(fleet, unrecorded)->execution_ == Execution::NotRun);
    REQUIRE(refused(fleet, tooLarge));
    CHECK(refused(fleet, tooLarge)->reason_ == RefusalReason::BudgetUnconfirmed);
}

void answersLost(Fixture &fleet)
{
    fleet.daemons_[0].mode_ = StoreMode::LosesReplies;
    const WaiterId once = ask(fleet, 0, 100, "once", false);
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

void writesTakeEffectLate(Fixture &fleet)
{
    fleet.daemons_[0].mode_ = StoreMode::DelaysWrites;
    const WaiterId once = ask(fleet, 0, 600, "once", false);
    run(fleet, Seconds {1});
    const WaiterId other = ask(fleet, 1, 600, "other");
    CHECK(dispatched(fleet, other));
    applyDelayedWrites(fleet);
    fleet.daemons_[0].mode_ = StoreMode::Healthy;
    run(fleet, Seconds {1});
    CHECK_FALSE(dispatched(fleet, once));
}

void repeatedAndReorderedReports(Fixture &fleet)
{
    fleet.daemons_[0].mode_ = StoreMode::DuplicatesReplies;
    const WaiterId first = ask(fleet, 0, 100, "first");
    const WaiterId second = ask(fleet, 0, 100, "second");
    finish(fleet, second);
    finish(fleet, second);
    run(fleet, Seconds {2});
    finish(fleet, first);
    run(fleet, Seconds {2});
    finish(fleet, second);
    run(fleet, Seconds {2});
    CHECK(record(fleet).charged_ == Tokens {200});
}

void checkRetryElsewhere(Fixture &fleet)
{
    const WaiterId retry = ask(fleet, 1, 100, "once", false);
    REQUIRE(refused(fleet, retry));
    CHECK(refused(fleet, retry)->execution_ == Execution::Unknown);
}

void retryWhileFirstIsAlive(Fixture &fleet)
{
    REQUIRE(dispatched(fleet, ask(fleet, 0, 100, "once", false)));
    checkRetryElsewhere(fleet);
}

void retryWhileFirstIsDead(Fixture &fleet)
{
    REQUIRE(dispatched(fleet, ask(fleet, 0, 100, "once", false)));
    kill(fleet, 0);
    checkRetryElsewhere(fleet);
}

void retryWhileFirstIsFrozen(Fixture &fleet)
{
    const WaiterId first = admit(fleet, 100, "once", {.idempotent_ = false});
    deliverStoreReplies(fleet, 0);
    REQUIRE(dispatched(fleet, first));
    fleet.daemons_[0].paused_ = true;
    checkRetryElsewhere(fleet);
    fleet.daemons_[0].paused_ = false;
    finish(fleet, first);
    run(fleet, Seconds {5});
    CHECK(bills(fleet).size() == 1);
}

void idempotentRetryElsewhere(Fixture &fleet)
{
    const WaiterId first = ask(fleet, 0, 100, "again");
    const WaiterId second = ask(fleet, 1, 100, "again");
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
    ask(fleet, 0, 300, "held");
    ask(fleet, 1, 10, "warm");
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

void frozenDuringTopUp(Fixture &fleet)
{
    const WaiterId held = holdAndWriteOff(fleet);
    fleet.bundle_ = makeBundle(2, 2 * funded);
    adopt(fleet, 1, fleet.bundle_);
    CHECK(dispatched(fleet, ask(fleet, 1, 1600, "after top-up")));
    fleet.daemons_[0].paused_ = false;
    finish(fleet, held);
    CHECK_FALSE(dispatched(fleet, ask(fleet, 0, 400, "too much")));
}

void holderDiesAfterALostAnswer(Fixture &fleet)
{
    ask(fleet, 0, 10, "warm 0");
    fleet.daemons_[0].mode_ = StoreMode::LosesReplies;
    CHECK_FALSE(dispatched(fleet, ask(fleet, 0, 300, "once", false)));
    kill(fleet, 0);
    ask(fleet, 1, 10, "warm 1");
    send(fleet, 1, HolderDeclaredDead {stateOf(fleet, 0).settings_.holder_});
    run(fleet, Seconds {1});
    CHECK(lostTokens(record(fleet)) == Tokens {310});
}

void twoHoldersDie(Fixture &fleet)
{
    ask(fleet, 0, 300, "first");
    ask(fleet, 1, 300, "second");
    kill(fleet, 0);
    kill(fleet, 1);
    ask(fleet, 2, 10, "warm");
    send(fleet, 2, HolderDeclaredDead {stateOf(fleet, 0).settings_.holder_});
    send(fleet, 2, HolderDeclaredDead {stateOf(fleet, 1).settings_.holder_});
    run(fleet, Seconds {1});
    CHECK(lostTokens(record(fleet)) == Tokens {600});
}

void heldTokensAreAskedBack(Fixture &fleet)
{
    const WaiterId first = ask(fleet, 0, 900, "first");
    fleet.requests_.at(first).actualCost_ = Tokens {};
    finish(fleet, first);
    const WaiterId second = ask(fleet, 1, 900, "second");
    run(fleet, Seconds {2});
    CHECK(dispatched(fleet, second));
}

void idleGrantIsHandedBack(Fixture &fleet)
{
    const WaiterId first = ask(fleet, 0, 900, "first");
    fleet.requests_.at(first).actualCost_ = Tokens {50};
    finish(fleet, first);
    run(fleet, Seconds {100});
    CHECK(outstandingTokens(record(fleet)) > Tokens {});
    run(fleet, Seconds {60});
    CHECK(record(fleet).grants_.empty());
    CHECK(record(fleet).charged_ == Tokens {50});
}

void idleGrantIsKeptWhileTheStoreIsDown(Fixture &fleet)
{
    const WaiterId first = ask(fleet, 0, 900, "first");
    fleet.requests_.at(first).actualCost_ = Tokens {50};
    finish(fleet, first);
    run(fleet, Seconds {5});
    fleet.daemons_[0].mode_ = StoreMode::Down;
    ask(fleet, 0, 950, "finds the store down", true, Millis {1});
    run(fleet, Seconds {600});
    CHECK(dispatched(fleet, ask(fleet, 0, 800, "served by the grant at hand")));
}

const FaultCase cases[] = {
    {"holder dies", holderDies},
    {"holder freezes past its write-off and wakes", holderWakesAfterWriteOff},
    {"partition with a top-up inside", topUpInsidePartition},
    {"short store outage", shortStoreOutage},
    {"long store outage", longStoreOutage},
    {"answers are lost after the write", answersLost},
    {"writes take effect late", writesTakeEffectLate},
    {"repeated and reordered reports", repeatedAndReorderedReports},
    {"retry elsewhere while the first attempt is alive", retryWhileFirstIsAlive},
    {"retry elsewhere while the first daemon is dead", retryWhileFirstIsDead},
    {"retry elsewhere while the first daemon is frozen", retryWhileFirstIsFrozen},
    {"idempotent retry elsewhere", idempotentRetryElsewhere},
    {"pair: holder dies, store outage", holderDiesDuringOutage},
    {"pair: holder frozen past its write-off, top-up", frozenDuringTopUp},
    {"pair: answer lost, holder dies", holderDiesAfterALostAnswer},
    {"pair: two holders die", twoHoldersDie},
    {"held tokens are asked back", heldTokensAreAskedBack},
    {"an idle grant is handed back", idleGrantIsHandedBack},
    {"an idle grant is kept while the store is down", idleGrantIsKeptWhileTheStoreIsDown},
};

} // namespace

TEST_CASE("named faults")
{
    for (const FaultCase &fault : cases) {
        SECTION(fault.name_)
        {
            Fixture fleet = makeFixture(funded, 3);
            fault.play_(fleet);
            recoverFleet(fleet);
            checkQuiescent(fleet);
            CHECK(firstViolation(fleet).empty());
        }
    }
}

} // namespace tamarack
