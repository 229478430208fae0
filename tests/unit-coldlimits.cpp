// The bound on the requests that all daemons together send to a cold instance in any second, with
// fleets of several sizes and faults. Guards against an instance that crashes because daemons that
// are not in touch with each other add up.
#include "coldfleet.h"

#include <cmath>
#include <set>
#include <vector>

namespace tamarack {

using namespace coldfleet;

TEST_CASE("the parts of a cold instance's bound add up to no more than the bound")
{
    for (const double rate : {0.5, 1.0, 2.0, 5.0, 11.0, 40.0, 200.0}) {
        for (const double factor : {1.0, 1.2, 1.5, 3.0}) {
            for (const double extra : {0.0, 1.0, 5.0, 20.0}) {
                ColdPermitSettings settings;
                settings.overrun_ = factor;
                settings.slack_ = extra;
                INFO(rate << " a second, overrun " << factor << ", slack " << extra);
                const ColdBudget budget = coldBudget(settings, rate);
                const double time
                    = 1.0 + std::chrono::duration<double>(settings.useWithin_).count();
                double most = 0.0;
                if (budget.full_)
                    most += std::floor(budget.full_->capacity_ + budget.full_->perSecond_ * time);
                if (budget.partial_)
                    most += static_cast<double>(settings.partialGranters_)
                        * std::floor(budget.partial_->capacity_
                                     + budget.partial_->perSecond_ * time);
                CHECK(most <= rate * factor + extra);
            }
        }
    }
}

TEST_CASE("today's deployment gives a cold instance its whole rate")
{
    ColdPermitSettings settings;
    settings.overrun_ = overrun;
    settings.slack_ = slack;
    const ColdBudget budget = coldBudget(settings, perSecond);
    REQUIRE(budget.full_);
    CHECK(budget.full_->perSecond_ >= 0.99 * perSecond);
}

TEST_CASE("a bound without room permits nothing")
{
    const ColdBudget budget = coldBudget(ColdPermitSettings {}, 0.5);
    CHECK(!budget.full_);
    CHECK(!budget.partial_);
}

TEST_CASE("a fleet of any size keeps to the bound of a cold instance and uses its rate")
{
    for (const std::size_t size : {1U, 8U, 84U, 195U}) {
        INFO(size << " daemons");
        Fleet fleet = makeFleet(size);
        fleet.now_ += Seconds {60};
        run(fleet, Seconds {20}, 300.0 / static_cast<double>(size));
        checkBound(fleet);
        CHECK(static_cast<double>(sentCount(fleet)) >= 0.8 * 20.0 * perSecond);
    }
}

TEST_CASE("the bound holds from the first moment of a fleet")
{
    for (const std::size_t size : {1U, 8U, 84U, 195U}) {
        INFO(size << " daemons");
        Fleet fleet = makeFleet(size);
        // Each daemon learns of the others while they start.
        for (std::size_t i = 0; i < size; ++i) {
            std::set<std::size_t> missing;
            for (std::size_t j = i + 1; j < size; ++j)
                missing.insert(j);
            start(fleet, i, missing);
        }
        run(fleet, Seconds {1}, 20.0);
        for (std::size_t i = 0; i < size; ++i)
            setPeers(fleet, i);
        run(fleet, Seconds {15}, 20.0);
        checkBound(fleet);
    }
}

TEST_CASE("the bound holds while messages are lost")
{
    for (const double lossRate : {0.02, 0.2, 0.7}) {
        INFO(lossRate << " of the messages are lost");
        Fleet fleet = makeFleet(84);
        fleet.now_ += Seconds {60};
        fleet.lossRate_ = lossRate;
        run(fleet, Seconds {15}, 10.0);
        checkBound(fleet);
        CHECK(sentCount(fleet) > 0);
    }
}

TEST_CASE("daemons that reach no other one don't add up")
{
    for (const std::size_t size : {8U, 84U, 195U}) {
        INFO(size << " daemons");
        Fleet fleet = makeFleet(size);
        fleet.now_ += Seconds {60};
        for (std::size_t i = 0; i < size; ++i)
            fleet.daemons_[i].group_ = i;
        SECTION("with contact to the store")
        {
            run(fleet, Seconds {15}, 100.0);
        }
        SECTION("without")
        {
            run(fleet, Seconds {1}, 100.0);
            for (Daemon &daemon : fleet.daemons_)
                daemon.storeContact_ = false;
            run(fleet, Seconds {15}, 100.0);
        }
        checkBound(fleet);
    }
}

TEST_CASE("daemons without a peer listener don't add up")
{
    Fleet fleet = makeFleet(84);
    fleet.now_ += Seconds {60};
    for (std::size_t i = 0; i < 84; ++i) {
        InstanceLimits &limits = fleet.daemons_[i].limits_;
        limits.address_.clear();
        limits.fleetSize_ = 84;
        updateLimitPeers(limits, fleet.limitSettings_,
                         peersAfterDepartures(limits, fleet.addresses_[i], {}, fleet.now_),
                         fleet.now_);
    }
    run(fleet, Seconds {30}, 10.0);
    checkBound(fleet);
}

TEST_CASE("the bound holds while the coordinator fails")
{
    Fleet fleet = makeFleet(84);
    fleet.now_ += Seconds {60};
    const std::vector<std::size_t> first = ranked(fleet);
    run(fleet, Seconds {3}, 10.0);
    SECTION("killed, and replaced after its registration has expired")
    {
        fleet.daemons_[first[0]].dead_ = true;
        run(fleet, Seconds {4}, 10.0);
        for (std::size_t i = 0; i < 84; ++i)
            setPeers(fleet, i, {first[0]});
        run(fleet, Seconds {14}, 10.0);
        // The next in rank has the full rate by now.
        const std::size_t before = sentCount(fleet);
        run(fleet, Seconds {4}, 10.0);
        CHECK(static_cast<double>(sentCount(fleet) - before) >= 0.7 * 4.0 * perSecond);
        start(fleet, first[0]);
        for (std::size_t i = 0; i < 84; ++i) {
            setPeers(fleet, i);
            run(fleet, Millis {50}, 10.0);
        }
        run(fleet, Seconds {15}, 10.0);
    }
    SECTION("killed and started several times within a second")
    {
        for (int i = 0; i < 5; ++i) {
            start(fleet, first[0]);
            run(fleet, Millis {200}, 10.0);
        }
        run(fleet, Seconds {15}, 10.0);
    }
    SECTION("frozen for some time")
    {
        for (const Millis time : {Millis {100}, Millis {900}, Millis {3000}, Millis {20'000}}) {
            freeze(fleet, first[0]);
            run(fleet, time, 10.0);
            if (time >= Millis {20'000}) {
                for (std::size_t i = 0; i < 84; ++i) {
                    if (i != first[0])
                        setPeers(fleet, i, {first[0]});
                }
                run(fleet, Seconds {15}, 10.0);
            }
            thaw(fleet, first[0]);
            run(fleet, Seconds {4}, 10.0);
        }
    }
    SECTION("many daemons are frozen, with permits that were granted to them")
    {
        for (std::size_t i = 0; i < 84; i += 2)
            freeze(fleet, i);
        run(fleet, Seconds {2}, 10.0);
        for (std::size_t i = 0; i < 84; i += 2)
            thaw(fleet, i);
        run(fleet, Seconds {4}, 10.0);
    }
    SECTION("it stops as planned, and some don't know it yet")
    {
        fleet.daemons_[first[0]].limits_.stopping_ = true;
        for (std::size_t i = 0; i < 84; ++i) {
            if (i != first[0])
                setPeers(fleet, i, {first[0]});
            run(fleet, Millis {100}, 10.0);
        }
        run(fleet, Seconds {10}, 10.0);
    }
    checkBound(fleet);
}

TEST_CASE("the bound holds while several daemons take themselves for the coordinator")
{
    Fleet fleet = makeFleet(84);
    fleet.now_ += Seconds {60};
    const std::vector<std::size_t> first = ranked(fleet);
    run(fleet, Seconds {2}, 10.0);
    SECTION("the coordinator is cut off with a part of the fleet, and the others replace it")
    {
        std::set<std::size_t> cutOff;
        std::set<std::size_t> others;
        for (std::size_t i = 0; i < 84; ++i)
            (i % 4 == first[0] % 4 ? cutOff : others).insert(i);
        for (const std::size_t i : cutOff) {
            fleet.daemons_[i].group_ = 1;
            fleet.daemons_[i].storeContact_ = false;
        }
        run(fleet, Seconds {4}, 10.0);
        // Their registrations have expired.
        for (const std::size_t i : others)
            setPeers(fleet, i, cutOff);
        run(fleet, Seconds {20}, 10.0);
        for (const std::size_t i : cutOff) {
            fleet.daemons_[i].group_ = 0;
            fleet.daemons_[i].storeContact_ = true;
        }
        run(fleet, Seconds {2}, 10.0);
        for (std::size_t i = 0; i < 84; ++i)
            setPeers(fleet, i);
        run(fleet, Seconds {15}, 10.0);
    }
    SECTION("each zone for itself")
    {
        for (std::size_t i = 0; i < 84; ++i)
            fleet.daemons_[i].group_ = i % 3;
        run(fleet, Seconds {20}, 10.0);
    }
    SECTION("daemons lost contact at different times, and know different fleets")
    {
        for (std::size_t wave = 1; wave <= 4; ++wave) {
            std::set<std::size_t> gone;
            for (std::size_t i = 0; i < 84; ++i) {
                if (i % 5 < wave) {
                    gone.insert(i);
                    if (i % 5 == wave - 1) {
                        fleet.daemons_[i].group_ = wave;
                        fleet.daemons_[i].storeContact_ = false;
                    }
                }
            }
            run(fleet, Seconds {4}, 10.0);
            for (std::size_t i = 0; i < 84; ++i) {
                if (!gone.contains(i))
                    setPeers(fleet, i, gone);
            }
        }
        run(fleet, Seconds {20}, 10.0);
    }
    checkBound(fleet);
}

TEST_CASE("the bound holds for each instance of a zone that comes back cold at once")
{
    Fleet fleet = makeFleet(84);
    fleet.targets_.clear();
    for (std::size_t i = 0; i < 30; ++i)
        fleet.targets_.push_back(makeTarget(i));
    SECTION("its daemons were there all the time")
    {
        fleet.now_ += Seconds {60};
        run(fleet, Seconds {3}, 5.0);
        CHECK(static_cast<double>(sentCount(fleet)) >= 0.6 * 3.0 * 30.0 * perSecond);
    }
    SECTION("its daemons come back at the same time")
    {
        fleet.now_ += Seconds {60};
        for (std::size_t i = 0; i < 84; i += 3)
            start(fleet, i);
        run(fleet, Seconds {5}, 5.0);
    }
    checkBound(fleet);
}

TEST_CASE("the smaller of a stated limit and the cold rate applies")
{
    Fleet fleet = makeFleet(8);
    fleet.now_ += Seconds {60};
    const double limit = 3.0;
    for (Daemon &daemon : fleet.daemons_)
        recordStatedLimit(daemon.limits_, fleet.limitSettings_, fleet.targets_[0].process_, limit,
                          fleet.now_);
    run(fleet, Seconds {10}, 20.0);
    CHECK(static_cast<double>(sentCount(fleet)) <= 10.0 * limit + 2.0);
    CHECK(static_cast<double>(sentCount(fleet)) >= 0.7 * 10.0 * limit);
}

} // namespace tamarack
