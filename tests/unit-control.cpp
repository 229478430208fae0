// The control state machine with an in-memory store. Guards against overspend, false refusals and a
// second run of a request when the store is slow, unavailable or loses replies.
#include "controlfixture.h"

#include <catch2/catch.hpp>

namespace tamarack {

using namespace fixture;

TEST_CASE("control")
{
    Fixture fleet = makeFixture(1000);

    SECTION("a request is dispatched, billed once and settled")
    {
        const WaiterId waiter = admit(fleet, 100, "r1", {.actualCost_ = 40});
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, waiter));
        finish(fleet, waiter);
        run(fleet, Seconds {5});
        CHECK(record(fleet).charged_ == Tokens {40});
        CHECK(stateOf(fleet).active_.empty());
    }
    SECTION("a stream that was interrupted resumes only at engines of the version that began it")
    {
        // What two software versions generate does not fit together.
        auto bundle = std::make_shared<Bundle>(*makeBundle(2, 1000));
        Upstream engine = bundle->upstreams_.begin()->second;
        bundle->upstreams_.clear();
        for (int i = 0; i < 6; ++i) {
            engine.id_ = UpstreamId {"u" + std::to_string(i)};
            engine.softwareVersion_ = SoftwareVersion {i < 3 ? "v1" : "v2"};
            bundle->upstreams_[engine.id_] = engine;
        }
        adopt(fleet, 0, bundle);
        const bool hasOutput = GENERATE(true, false);
        std::set<SoftwareVersion> others;
        for (int i = 0; i < 12; ++i) {
            const WaiterId waiter
                = admit(fleet, 10, "s" + std::to_string(i), {.actualCost_ = 1, .stream_ = true});
            run(fleet, Millis {300});
            REQUIRE(dispatched(fleet, waiter));
            const UpstreamId first = dispatched(fleet, waiter)->upstream_;
            failAttempt(fleet, waiter, AttemptResult::Truncated, hasOutput ? 3 : 0);
            run(fleet, Millis {300});
            const UpstreamId next = dispatched(fleet, waiter)->upstream_;
            if (bundle->upstreams_.at(next).softwareVersion_
                != bundle->upstreams_.at(first).softwareVersion_)
                others.insert(bundle->upstreams_.at(next).softwareVersion_);
            finish(fleet, waiter);
            run(fleet, Seconds {5});
        }
        CHECK(others.empty() == hasOutput);
    }
    SECTION("a retry right after a complete response is refused as already run")
    {
        const WaiterId first
            = admit(fleet, 100, "r1", {.idempotent_ = false, .hasIdempotencyKey_ = true});
        run(fleet, Millis {300});
        REQUIRE(dispatched(fleet, first));
        finish(fleet, first);
        // The bill has not been flushed yet.
        const WaiterId retry
            = admit(fleet, 100, "r1", {.idempotent_ = false, .hasIdempotencyKey_ = true});
        REQUIRE(refused(fleet, retry));
        CHECK(refused(fleet, retry)->execution_ == Execution::Ran);
        CHECK_FALSE(refused(fleet, retry)->retryAfter_);
    }
    SECTION("a request above the remaining budget is refused at once as exhausted")
    {
        const WaiterId waiter = admit(fleet, 1001, "r1");
        run(fleet, Millis {100});
        REQUIRE(refused(fleet, waiter));
        CHECK(refused(fleet, waiter)->reason_ == RefusalReason::BudgetExhausted);
    }
    SECTION("a request waits for tokens that another request may return")
    {
        const WaiterId first = admit(fleet, 900, "r1", {.actualCost_ = 50});
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, first));
        const WaiterId second = admit(fleet, 900, "r2");
        run(fleet, Millis {100});
        CHECK_FALSE(decided(fleet, second));
        finish(fleet, first);
        run(fleet, Seconds {5});
        CHECK(dispatched(fleet, second));
    }
    SECTION("a lost reply does not cause a second draw")
    {
        fleet.daemons_[0].mode_ = StoreMode::LosesReplies;
        const WaiterId waiter = admit(fleet, 100, "r1");
        run(fleet, Millis {500});
        CHECK_FALSE(dispatched(fleet, waiter));
        fleet.daemons_[0].mode_ = StoreMode::Healthy;
        run(fleet, Seconds {5});
        REQUIRE(dispatched(fleet, waiter));
        CHECK(record(fleet).grants_.size() == 1);
    }
    SECTION("with the store down a request is refused as not run at its deadline")
    {
        fleet.daemons_[0].mode_ = StoreMode::Down;
        const WaiterId waiter = admit(fleet, 100, "r1");
        run(fleet, Seconds {9});
        CHECK_FALSE(decided(fleet, waiter));
        run(fleet, Seconds {2});
        REQUIRE(refused(fleet, waiter));
        CHECK(refused(fleet, waiter)->reason_ == RefusalReason::BudgetUnconfirmed);
        CHECK(refused(fleet, waiter)->execution_ == Execution::NotRun);
    }
    SECTION("a non-idempotent request is not dispatched before its intent is stored")
    {
        const WaiterId warm = admit(fleet, 100, "r0", {.actualCost_ = 0});
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, warm));
        finish(fleet, warm);
        run(fleet, Seconds {5});
        fleet.daemons_[0].mode_ = StoreMode::Down;
        const WaiterId waiter = admit(fleet, 100, "r1", {.idempotent_ = false});
        run(fleet, Seconds {5});
        CHECK_FALSE(dispatched(fleet, waiter));
    }
    SECTION("a repeated non-idempotent request never runs again")
    {
        const WaiterId first = admit(fleet, 100, "r1", {.idempotent_ = false, .actualCost_ = 10});
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, first));
        finish(fleet, first);
        run(fleet, Seconds {5});
        const WaiterId second = admit(fleet, 100, "r1", {.idempotent_ = false});
        run(fleet, Seconds {1});
        REQUIRE(refused(fleet, second));
        CHECK(refused(fleet, second)->execution_ == Execution::Ran);
    }
    SECTION("a graceful shutdown releases the grants")
    {
        const WaiterId waiter = admit(fleet, 100, "r1", {.actualCost_ = 30});
        run(fleet, Millis {100});
        send(fleet, 0, StopRequested {});
        run(fleet, Seconds {1});
        CHECK_FALSE(stateOf(fleet).stopCompleted_);
        finish(fleet, waiter);
        run(fleet, Seconds {5});
        CHECK(stateOf(fleet).stopCompleted_);
        CHECK(record(fleet).grants_.empty());
        CHECK(record(fleet).charged_ == Tokens {30});
    }
    SECTION("an upstream whose host is listed as leaving gets no new requests")
    {
        const WaiterId before = admit(fleet, 100, "r1");
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, before));
        send(fleet, 0, HostListLoaded {{ListedHost {HostId {"engine-host"}, {}, {}, true}}});
        const WaiterId after = admit(fleet, 100, "r2");
        run(fleet, Seconds {1});
        REQUIRE(refused(fleet, after));
        CHECK(refused(fleet, after)->reason_ == RefusalReason::NoUpstream);
        CHECK(refused(fleet, after)->execution_ == Execution::NotRun);
    }
    CHECK(firstViolation(fleet).empty());
}

} // namespace tamarack
