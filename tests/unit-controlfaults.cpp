// Budgets and requests of the control state machine under faults. Each section names the failure
// that it guards against.
#include "controlfixture.h"

#include <catch2/catch.hpp>

namespace tamarack {

using namespace fixture;

namespace {

/// Serves a request at the given cost without faults and returns its waiter.
WaiterId serve(Fixture &fleet, std::int64_t worstCase, const std::string &request,
               const RequestOptions &options = {})
{
    const WaiterId waiter = admit(fleet, worstCase, request, options);
    run(fleet, Millis {100});
    REQUIRE(dispatched(fleet, waiter));
    finish(fleet, waiter);
    return waiter;
}

} // namespace

TEST_CASE("bundle changes while requests wait")
{
    Fixture fleet = makeFixture(1000);

    SECTION("removing a budget while a request waits does not crash the daemon")
    {
        fleet.daemons_[0].mode_ = StoreMode::Down;
        const WaiterId waiter = admit(fleet, 100, "r1");
        auto bundle = makeBundle(2, 1000);
        bundle->budgets_ = BudgetTable {};
        adopt(fleet, 0, bundle);
        run(fleet, Millis {100});
        REQUIRE(refused(fleet, waiter));
        CHECK(refused(fleet, waiter)->reason_ == RefusalReason::BudgetNotOwned);
    }
    SECTION("removing an account while a request waits does not crash the daemon")
    {
        fleet.daemons_[0].mode_ = StoreMode::Down;
        const WaiterId waiter = admit(fleet, 100, "r1");
        auto bundle = makeBundle(2, 1000);
        bundle->accounts_.clear();
        adopt(fleet, 0, bundle);
        run(fleet, Millis {100});
        CHECK(refused(fleet, waiter));
    }
    SECTION("a changed shard count does not fund a budget a second time")
    {
        serve(fleet, 800, "r1");
        run(fleet, Seconds {5});
        auto bundle = makeBundle(2, 1000);
        bundle->policies_.ledgerShards_ = 7;
        bundle->policies_.requestShards_ = 7;
        adopt(fleet, 0, bundle);
        const WaiterId waiter = admit(fleet, 800, "r2");
        run(fleet, Seconds {1});
        CHECK_FALSE(dispatched(fleet, waiter));
    }
    CHECK(firstViolation(fleet).empty());
}

TEST_CASE("grants under faults")
{
    Fixture fleet = makeFixture(1000);

    SECTION("a request is served although the daemon's grant was written off while it was paused")
    {
        const WaiterId first = admit(fleet, 100, "r1", {.actualCost_ = 60});
        run(fleet, Millis {100});
        fleet.daemons_[0].paused_ = true;
        const GrantId grant = record(fleet).grants_.begin()->first;
        for (auto &[key, value] : fleet.store_) {
            applyOp(std::get<LedgerShard>(*value.value_), WriteOffOp {budget, grant});
            value.revision_ = Revision {++fleet.revision_};
        }
        fleet.daemons_[0].paused_ = false;
        const WaiterId second = admit(fleet, 500, "r2");
        run(fleet, Seconds {2});
        REQUIRE(dispatched(fleet, second));
        finish(fleet, first);
        finish(fleet, second);
        run(fleet, Seconds {5});
        CHECK(record(fleet).charged_ == Tokens {560});
        CHECK(lostTokens(record(fleet)) == Tokens {});
    }
    SECTION("lost replies during a graceful shutdown do not cause a second charge")
    {
        const WaiterId first = admit(fleet, 100, "r1", {.actualCost_ = 60});
        run(fleet, Millis {100});
        finish(fleet, first);
        run(fleet, Seconds {5});
        // One write with both the draw and the release reaches the store; its reply is lost.
        fleet.daemons_[0].mode_ = StoreMode::Down;
        admit(fleet, 500, "r2", {.timeLimit_ = Millis {1}});
        send(fleet, 0, StopRequested {});
        run(fleet, Millis {10});
        fleet.daemons_[0].mode_ = StoreMode::LosesWriteReplies;
        run(fleet, Seconds {10});
        fleet.daemons_[0].mode_ = StoreMode::Healthy;
        run(fleet, Seconds {10});
        CHECK(record(fleet).charged_ == Tokens {60});
        CHECK(record(fleet).grants_.empty());
    }
    SECTION("tokens returned by a request serve the next one while the store is down")
    {
        const WaiterId first = admit(fleet, 900, "r1", {.actualCost_ = 0});
        run(fleet, Millis {100});
        const WaiterId second = admit(fleet, 900, "r2", {.timeLimit_ = Seconds {30}});
        fleet.daemons_[0].mode_ = StoreMode::Down;
        run(fleet, Seconds {1});
        finish(fleet, first);
        run(fleet, Seconds {20});
        CHECK(dispatched(fleet, second));
    }
    SECTION("a slow store is not reported as tokens held by other daemons")
    {
        serve(fleet, 100, "r1");
        run(fleet, Seconds {5});
        fleet.daemons_[0].mode_ = StoreMode::DelaysReplies;
        const WaiterId second = admit(fleet, 500, "r2", {.timeLimit_ = Seconds {1}});
        run(fleet, Seconds {5});
        REQUIRE(refused(fleet, second));
        CHECK(refused(fleet, second)->reason_ == RefusalReason::BudgetUnconfirmed);
    }
    SECTION("a reported cost outside the valid range does not corrupt the balance of the grant")
    {
        const WaiterId first = admit(fleet, 100, "r1", {.actualCost_ = -5});
        const WaiterId second = admit(fleet, 100, "r2");
        run(fleet, Millis {100});
        finish(fleet, first);
        fleet.requests_.at(second).actualCost_ = Tokens {5000};
        const Dispatch dispatch = *dispatched(fleet, second);
        fleet.requests_.at(second).actualCost_ = Tokens {100};
        send(fleet, 0,
             RequestFinished {dispatch.admission_, Tokens {5000}, Completeness::Complete});
        run(fleet, Seconds {5});
        CHECK(record(fleet).charged_ == Tokens {100});
    }
    CHECK(firstViolation(fleet).empty());
}

TEST_CASE("repeated requests under faults")
{
    Fixture fleet = makeFixture(1000);

    SECTION("an idempotent request without a response is not billed, but its successful retry is")
    {
        const WaiterId first = admit(fleet, 100, "r1");
        run(fleet, Millis {100});
        for (int i = 0; i < 3; ++i)
            failAttempt(fleet, first, AttemptResult::Failed);
        REQUIRE(refused(fleet, first));
        run(fleet, Seconds {5});
        serve(fleet, 100, "r1", {.actualCost_ = 30});
        run(fleet, Seconds {5});
        CHECK(record(fleet).charged_ == Tokens {30});
    }
    SECTION("a repeat of a call with unknown outcome is not reported as run")
    {
        const WaiterId first = admit(fleet, 100, "r1", {.idempotent_ = false});
        run(fleet, Millis {100});
        failAttempt(fleet, first, AttemptResult::TimedOut);
        run(fleet, Seconds {5});
        const WaiterId second = admit(fleet, 100, "r1", {.idempotent_ = false});
        run(fleet, Seconds {1});
        REQUIRE(refused(fleet, second));
        CHECK(refused(fleet, second)->execution_ == Execution::Unknown);
    }
    SECTION("a retry marked idempotent does not run concurrently with a non-idempotent attempt")
    {
        const WaiterId first = admit(fleet, 100, "r1", {.idempotent_ = false});
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, first));
        const WaiterId second = admit(fleet, 100, "r1");
        run(fleet, Seconds {1});
        CHECK_FALSE(dispatched(fleet, second));
    }
    SECTION("a daemon that resumes after the deadline does not dispatch")
    {
        const WaiterId waiter = admit(fleet, 100, "r1", {.idempotent_ = false});
        answerCalls(fleet, 0);
        fleet.daemons_[0].paused_ = true;
        run(fleet, Seconds {20});
        fleet.daemons_[0].paused_ = false;
        run(fleet, Seconds {1});
        CHECK_FALSE(dispatched(fleet, waiter));
        CHECK(refused(fleet, waiter));
    }
    SECTION("a graceful shutdown waits until the intent of an unsent request is withdrawn")
    {
        const WaiterId waiter = admit(fleet, 100, "r1", {.idempotent_ = false});
        run(fleet, Millis {100});
        send(fleet, 0, StopRequested {});
        for (int i = 0; i < 3; ++i)
            failAttempt(fleet, waiter, AttemptResult::NotSent);
        run(fleet, Seconds {5});
        CHECK(stateOf(fleet).stopCompleted_);
        for (const auto &[key, value] : fleet.store_) {
            if (const auto *shard = std::get_if<RequestShard>(&*value.value_))
                CHECK(shard->records_.at(RequestId {"r1"}).phase_ == RequestPhase::Withdrawn);
        }
    }
    SECTION("two idempotent attempts of one request at one daemon are billed once")
    {
        const WaiterId first = admit(fleet, 100, "r1", {.actualCost_ = 40});
        const WaiterId second = admit(fleet, 100, "r1", {.actualCost_ = 50});
        run(fleet, Millis {300});
        REQUIRE(dispatched(fleet, first));
        REQUIRE(dispatched(fleet, second));
        finish(fleet, second);
        finish(fleet, first);
        run(fleet, Seconds {5});
        CHECK(record(fleet).charged_ == Tokens {50});
    }
    CHECK(firstViolation(fleet).empty());
}

} // namespace tamarack
