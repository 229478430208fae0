// Quarantine of prompt parts. Guards against one kind of request that crashes instance after
// instance, against sound requests that are refused because instances end for another reason, and
// against memory that a client can fill.
#include "quarantinefixture.h"

#include <rapidcheck.h>

#include <algorithm>

namespace tamarack {

namespace {

RequestParts deadlyRequest(int number)
{
    return {"system", "template", "deadly", "own" + std::to_string(number)};
}

/// Crashes instances by requests with the deadly part at different daemons.
void crashByDeadlyPart(QuarantineFleet &fleet, int crashes, Millis interval)
{
    for (int i = 0; i < crashes; ++i) {
        const std::size_t daemon = (static_cast<std::size_t>(i) * 37 + 5) % fleet.daemons_.size();
        crash(fleet, daemon, "i" + std::to_string(i), deadlyRequest(i));
        passTime(fleet, interval);
    }
}

} // namespace

TEST_CASE("a prompt part that crashes instances is refused by all daemons in time")
{
    const std::size_t size = GENERATE(1U, 8U, 73U, 195U, 410U);
    const Millis interval {GENERATE(60, 250, 1000)};
    QuarantineFleet fleet = makeQuarantineFleet(size);
    serveSoundRequests(fleet, 400);
    passTime(fleet, Millis {500});
    crashByDeadlyPart(fleet, 5, interval);
    passTime(fleet, bound);
    CHECK(countRefusing(fleet, deadlyRequest(100)) == size);
    CHECK(countRefusing(fleet, soundRequest(100)) == 0);
}

TEST_CASE("requests with the same account and other parts of a crashing request go on")
{
    QuarantineFleet fleet = makeQuarantineFleet(20);
    serveSoundRequests(fleet, 100);
    // A part that always comes with the deadly one for a while, but not only.
    for (int i = 0; i < 4; ++i) {
        crash(fleet, static_cast<std::size_t>(i), "i" + std::to_string(i),
              {"system", "companion", "deadly", "own"});
        passTime(fleet, Millis {700});
    }
    crash(fleet, 7, "i7", {"system", "deadly", "own"});
    passTime(fleet, bound);
    CHECK(countRefusing(fleet, {"system", "deadly", "own"}) == 20);
    CHECK(countRefusing(fleet, {"system", "companion", "own"}) == 0);
}

TEST_CASE("several prompt parts that crash instances at the same time are all refused")
{
    QuarantineFleet fleet = makeQuarantineFleet(73);
    serveSoundRequests(fleet, 400);
    passTime(fleet, Millis {200});
    for (int i = 0; i < 15; ++i) {
        crash(fleet, static_cast<std::size_t>(i) * 11 % 73, "i" + std::to_string(i),
              {"system", "template", "deadly" + std::to_string(i % 3), "own"});
        passTime(fleet, Millis {150});
    }
    passTime(fleet, bound);
    for (int i = 0; i < 3; ++i)
        CHECK(countRefusing(fleet, {"system", "deadly" + std::to_string(i), "own"}) == 73);
    CHECK(countRefusing(fleet, soundRequest(3)) == 0);
}

TEST_CASE("instances that end together for another reason condemn no prompt part")
{
    // Two failures of many instances, each with requests waiting: frequent parts, and parts of one
    // or two requests that have not been seen in a response yet.
    QuarantineFleet fleet = makeQuarantineFleet(73);
    for (int failure = 0; failure < 2; ++failure) {
        for (int i = 0; i < 20; ++i) {
            for (int request = 0; request < 8; ++request) {
                const int subject = (i * 8 + request) % 50;
                crash(fleet, static_cast<std::size_t>(i * 3 + request) % 73,
                      "i" + std::to_string(failure * 20 + i),
                      {"system", "subject" + std::to_string(subject), "own"});
            }
        }
        passTime(fleet, Millis {100});
        serveSoundRequests(fleet, 100);
        passTime(fleet, Millis {3000});
    }
    CHECK(countRefusing(fleet, {"system", "other", "own"}) == 0);
    for (int subject = 0; subject < 50; ++subject)
        CHECK(countRefusing(fleet, {"system", "subject" + std::to_string(subject), "own"}) == 0);
}

TEST_CASE("an instance that responds after a presumed crash has survived it")
{
    QuarantineFleet fleet = makeQuarantineFleet(73);
    const RequestParts rare {"system", "rare", "own"};
    for (int i = 0; i < 5; ++i) {
        crash(fleet, static_cast<std::size_t>(i) * 3, "i" + std::to_string(i), rare);
        passTime(fleet, Millis {600});
    }
    REQUIRE(countRefusing(fleet, rare) == 73);
    SECTION("another daemon learns it from a response to a request that was sent before")
    {
        for (int i = 0; i < 5; ++i)
            CHECK(survive(fleet, 50, "i" + std::to_string(i), Seconds {4}));
        passTime(fleet, Seconds {2});
        CHECK(countRefusing(fleet, rare) == 0);
        // The end of the instances is counted again when it comes.
        for (int i = 0; i < 5; ++i) {
            crash(fleet, static_cast<std::size_t>(i) * 3, "i" + std::to_string(i), rare);
            passTime(fleet, Millis {600});
        }
        CHECK(countRefusing(fleet, rare) == 73);
    }
    SECTION("a daemon that still reports the crash is corrected")
    {
        fleet.cutOff_.insert(0);
        for (int i = 0; i < 5; ++i)
            survive(fleet, 50, "i" + std::to_string(i), Seconds {4});
        passTime(fleet, Seconds {2});
        fleet.cutOff_.clear();
        passTime(fleet, Seconds {8});
        CHECK(countRefusing(fleet, rare) == 0);
    }
    SECTION("a response that was on its way, or of the restarted instance, shows nothing")
    {
        crash(fleet, 0, "i5", rare);
        CHECK(!survive(fleet, 0, "i5", Seconds {1}));
        CHECK(!survive(fleet, 0, "i0", Millis {100}));
        CHECK(!survive(fleet, 0, "unknown", Seconds {1}));
        CHECK(countRefusing(fleet, rare) == 73);
    }
}

TEST_CASE("two crashes among many for other reasons condemn no prompt part")
{
    QuarantineFleet fleet = makeQuarantineFleet(73);
    const RequestParts rare {"system", "rare", "own"};
    serveSoundRequests(fleet, 100);
    const auto endForOtherReasons = [&fleet](int first) {
        serveSoundRequests(fleet, 100);
        for (int i = first; i < first + 3; ++i) {
            const std::string number = std::to_string(i);
            crash(fleet, static_cast<std::size_t>(i) * 5, "other" + number,
                  {"system", "subject" + number, "own"});
            passTime(fleet, Millis {900});
        }
    };
    crash(fleet, 3, "i0", rare);
    endForOtherReasons(0);
    crash(fleet, 44, "i1", rare);
    passTime(fleet, bound);
    CHECK(countRefusing(fleet, rare) == 0);
    // A third crash is no coincidence.
    endForOtherReasons(3);
    crash(fleet, 12, "i2", rare);
    passTime(fleet, bound);
    CHECK(countRefusing(fleet, rare) == 73);
}

TEST_CASE("an instance that ends again and again condemns no prompt part")
{
    // Affinity sends the same parts to it each time.
    QuarantineFleet fleet = makeQuarantineFleet(8);
    for (int i = 0; i < 10; ++i) {
        crash(fleet, 2, "i" + std::to_string(i), {"system", "rare", "own"}, "10.0.0.1:80");
        passTime(fleet, Seconds {2});
    }
    CHECK(countRefusing(fleet, {"system", "rare", "own"}) == 0);
}

TEST_CASE("the last prompt part, which belongs to one request, is never a suspect")
{
    QuarantineFleet fleet = makeQuarantineFleet(1);
    for (int i = 0; i < 5; ++i) {
        crash(fleet, 0, "i" + std::to_string(i), {"own"});
        passTime(fleet, Seconds {1});
    }
    CHECK(fleet.daemons_[0].crashes_.empty());
    CHECK(!refuses(fleet, 0, {"own"}));
    CHECK(!refuses(fleet, 0, {"own", "next"}));
}

TEST_CASE("a prompt part that starts to crash instances after a release is refused")
{
    QuarantineFleet fleet = makeQuarantineFleet(8);
    for (int i = 0; i < 8; ++i)
        respond(fleet, static_cast<std::size_t>(i), deadlyRequest(i));
    passTime(fleet, fleet.settings_.clearanceTime_);
    serveSoundRequests(fleet, 100);
    crashByDeadlyPart(fleet, 5, Seconds {1});
    CHECK(countRefusing(fleet, deadlyRequest(100)) == 8);
}

TEST_CASE("a response at one daemon clears a suspect everywhere")
{
    QuarantineFleet fleet = makeQuarantineFleet(73);
    respond(fleet, 50, soundRequest(1));
    passTime(fleet, Millis {100});
    for (int i = 0; i < 4; ++i) {
        crash(fleet, static_cast<std::size_t>(i) * 9, "i" + std::to_string(i), soundRequest(1));
        for (int step = 0; step < 10; ++step) {
            passTime(fleet, Millis {60});
            CHECK(countRefusing(fleet, soundRequest(1)) == 0);
        }
    }
}

TEST_CASE("a daemon that starts or comes back learns of quarantined parts from its peers")
{
    QuarantineFleet fleet = makeQuarantineFleet(73);
    const std::size_t late = 40;
    SECTION("it was cut off")
    {
        fleet.cutOff_.insert(late);
        crashByDeadlyPart(fleet, 5, Millis {600});
        passTime(fleet, Seconds {5});
        REQUIRE(!refuses(fleet, late, deadlyRequest(100)));
        fleet.cutOff_.clear();
    }
    SECTION("it was restarted")
    {
        crashByDeadlyPart(fleet, 5, Millis {600});
        passTime(fleet, Seconds {5});
        restart(fleet, late);
    }
    passTime(fleet, bound);
    CHECK(countRefusing(fleet, deadlyRequest(100)) == 73);
}

TEST_CASE("reports reach all daemons although many have died unnoticed")
{
    QuarantineFleet fleet = makeQuarantineFleet(73);
    for (std::size_t i = 0; i < 73; i += 3)
        fleet.cutOff_.insert(i);
    for (int i = 0; i < 5; ++i) {
        crash(fleet, static_cast<std::size_t>(i) * 3 + 1, "i" + std::to_string(i),
              deadlyRequest(i));
        passTime(fleet, Millis {600});
    }
    passTime(fleet, bound);
    for (std::size_t i = 0; i < 73; ++i)
        CHECK((refuses(fleet, i, deadlyRequest(100)) || fleet.cutOff_.contains(i)));
}

TEST_CASE("without contact to peers a daemon judges by the crashes that it sees")
{
    QuarantineFleet fleet = makeQuarantineFleet(8);
    fleet.cutOff_.insert(3);
    for (int i = 0; i < 2; ++i) {
        crash(fleet, 3, "i" + std::to_string(i), deadlyRequest(i));
        passTime(fleet, Seconds {1});
    }
    CHECK(refuses(fleet, 3, deadlyRequest(100)));
    CHECK(countRefusing(fleet, deadlyRequest(100)) == 1);
}

TEST_CASE("after the quarantine one daemon tries one request")
{
    QuarantineFleet fleet = makeQuarantineFleet(20);
    crashByDeadlyPart(fleet, 5, Seconds {1});
    passTime(fleet, fleet.settings_.minDuration_ - Seconds {3});
    REQUIRE(countRefusing(fleet, deadlyRequest(100)) == 20);
    passTime(fleet, Seconds {4});
    std::vector<std::size_t> trying;
    for (std::size_t i = 0; i < 20; ++i) {
        if (!refuses(fleet, i, deadlyRequest(100)))
            trying.push_back(i);
    }
    REQUIRE(trying.size() == 1);
    // One trial at a time.
    CHECK(countRefusing(fleet, deadlyRequest(101)) == 20);
    SECTION("a response ends the quarantine everywhere")
    {
        respond(fleet, trying.front(), deadlyRequest(100));
        passTime(fleet, Seconds {2});
        CHECK(countRefusing(fleet, deadlyRequest(102)) == 0);
    }
    SECTION("another crash prolongs it")
    {
        crash(fleet, trying.front(), "i20", deadlyRequest(100));
        passTime(fleet, Seconds {1});
        const MonoTime until = fleet.daemons_[0].verdicts_.begin()->second.until_;
        CHECK(until - fleet.now_ > fleet.settings_.minDuration_);
        CHECK(countRefusing(fleet, deadlyRequest(102)) == 20);
    }
}

TEST_CASE("all daemons reach the same verdicts from reports that are lost, doubled and late")
{
    const bool held = rc::check("daemons with contact agree after a while", [] {
        QuarantineFleet fleet = makeQuarantineFleet(7);
        fleet.lossy_ = true;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            60, rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 100)));
        for (const auto &[action, number] : steps) {
            const std::size_t daemon = static_cast<std::size_t>(number) % 7;
            const RequestParts parts {"a" + std::to_string(number % 3),
                                      "b" + std::to_string(number % 5), "own"};
            if (action < 4)
                crash(fleet, daemon, "i" + std::to_string(number % 30), parts);
            else if (action == 4)
                respond(fleet, daemon, {parts[1], "own"});
            else if (action == 5)
                restart(fleet, daemon);
            else if (action == 6)
                survive(fleet, daemon, "i" + std::to_string(number % 30), Seconds {2});
            else
                passTime(fleet, Seconds {number % 2});
        }
        fleet.lossy_ = false;
        passTime(fleet, Seconds {12});
        for (const Quarantine &daemon : fleet.daemons_) {
            RC_ASSERT(daemon.verdicts_.size() == fleet.daemons_[0].verdicts_.size());
            for (const auto &[part, verdict] : fleet.daemons_[0].verdicts_)
                RC_ASSERT(daemon.verdicts_.contains(part));
        }
    });
    CHECK(held);
}

} // namespace tamarack
