// Sources of a daemon's documents. Guards against store calls that grow with the number of daemons,
// and against a daemon that learns of no changes because its observers died, froze or lost contact
// to the store.
#include "syncfleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

namespace tamarack {

namespace {

const DocumentSyncSettings settings;

} // namespace

TEST_CASE("a few daemons of each zone follow the store, whatever the size of the fleet")
{
    for (const std::size_t count : {30U, 195U}) {
        SyncFleet fleet = makeFleet(count, 5);
        run(fleet, Seconds {5});
        CHECK(countFollowers(fleet) == 5 * settings.observersPerZone_);
        CHECK(oldestKnowledge(fleet) <= 2 * settings.requestInterval_);
    }
}

TEST_CASE("a daemon without peers follows the store")
{
    DocumentSync sync;
    CHECK(followsStore(sync, settings, MonoTime {Seconds {100}}));
    CHECK(nextSyncPeers(sync, settings, MonoTime {Seconds {100}}).empty());
    // Otherwise the control thread would not block.
    CHECK_FALSE(nextSyncTime(sync, settings));
}

TEST_CASE("a new daemon looks for other daemons before it follows the store")
{
    // All daemons of a new fleet followed the store until they had seen each other.
    DocumentSync sync;
    sync.startedAt_ = MonoTime {Seconds {50}};
    CHECK_FALSE(followsStore(sync, settings, sync.startedAt_));
    // The registrations are read meanwhile.
    CHECK(hasStoreContact(sync, settings, sync.startedAt_));
    REQUIRE(nextSyncTime(sync, settings));
    const MonoTime later = *nextSyncTime(sync, settings);
    CHECK(later <= sync.startedAt_ + Seconds {2});
    SECTION("it follows the store if there is none")
    {
        CHECK(followsStore(sync, settings, later));
    }
    SECTION("an observer follows the store as soon as it knows the others")
    {
        sync.peersSeen_ = true;
        updateSyncPeers(sync, PeerAddress {HostId {"a"}, ZoneId {"z"}, "a:1", 500},
                        {PeerAddress {HostId {"b"}, ZoneId {"z"}, "b:1", 100}});
        CHECK(followsStore(sync, settings, sync.startedAt_));
    }
}

TEST_CASE("the daemons of a zone learn changes while observers fail")
{
    SyncFleet fleet = makeFleet(40, 2);
    run(fleet, Seconds {5});
    SECTION("one observer freezes")
    {
        observerOf(fleet, "z0", 0).alive_ = false;
        run(fleet, Millis {200});
        for (int i = 0; i < 40; ++i) {
            run(fleet, Millis {100});
            CHECK(oldestKnowledge(fleet) <= 2 * settings.requestInterval_ + 2 * step);
        }
    }
    SECTION("all observers of a zone die at once")
    {
        for (std::size_t rank = 0; rank < settings.observersPerZone_; ++rank)
            observerOf(fleet, "z0", rank).alive_ = false;
        Millis longest {};
        run(fleet, Seconds {2});
        for (int i = 0; i < 60; ++i) {
            run(fleet, Millis {100});
            longest = std::max(longest, oldestKnowledge(fleet));
            // The next daemons in rank follow; the dead ones are tried again now and then.
            CHECK(countFollowers(fleet) <= 4 * settings.observersPerZone_);
        }
        // The shortest time in which a new configuration must take effect is 2 s.
        CHECK(longest <= Millis {1700});
    }
    SECTION("all observers of a zone lose the store but not their peers")
    {
        for (std::size_t rank = 0; rank < settings.observersPerZone_; ++rank)
            observerOf(fleet, "z0", rank).reachesStore_ = false;
        run(fleet, Seconds {3});
        CHECK(oldestKnowledge(fleet) <= Millis {1700});
    }
    SECTION("a daemon loses its peers but not the store")
    {
        SimulatedDaemon &lonely = observerOf(fleet, "z0", 7);
        lonely.reachesPeers_ = false;
        run(fleet, settings.freshLifetime_ + 2 * step);
        CHECK(isFollowing(fleet, lonely));
    }
}

TEST_CASE("a daemon of another zone that was silent for a while is asked again")
{
    // Without probes it would be left out for good, and lower and lower ranks would follow the
    // store in its place.
    SyncFleet fleet = makeFleet(24, 3);
    run(fleet, Seconds {4});
    SimulatedDaemon &silent = observerOf(fleet, "z1", 0);
    silent.alive_ = false;
    run(fleet, Seconds {6});
    silent.alive_ = true;
    run(fleet, Seconds {6});
    for (const SimulatedDaemon &daemon : fleet.daemons_)
        CHECK(daemon.sync_.silent_.empty());
}

TEST_CASE("a zone whose observers lost the store relies on the next daemon in rank")
{
    // While an observer of another zone replied with contact every 1.2 s, the daemons of the zone
    // went on to ask their own observers only (found by the property test below).
    SyncFleet fleet = makeFleet(24, 3);
    run(fleet, Seconds {4});
    for (std::size_t rank = 0; rank < settings.observersPerZone_; ++rank)
        observerOf(fleet, "z0", rank).reachesStore_ = false;
    observerOf(fleet, "z1", 0).reachesStore_ = false;
    run(fleet, Seconds {4});
    for (int i = 0; i < 100; ++i) {
        run(fleet, step);
        for (const SimulatedDaemon &daemon : fleet.daemons_) {
            if (daemon.reachesStore_)
                CHECK(fleet.now_ - daemon.learnedAt_ <= Seconds {1});
        }
    }
}

TEST_CASE("what a reply says is as old as its request, not as its arrival")
{
    // A reply that waits at a full link made what it says look newer than it was, and a leaving
    // instance got requests for too long.
    const HostId peer {"peer"};
    const MonoTime sentAt {Seconds {1000}};
    DocumentSync sync;
    sync.unanswered_[peer] = sentAt;
    const MonoTime arrivedAt = sentAt + Millis {600};
    recordDocumentsReply(sync, settings, peer, Millis {50}, false, arrivedAt);
    REQUIRE(sync.completeAt_);
    CHECK(*sync.completeAt_ == sentAt - Millis {50});
    // After its timeout nothing is known of the age of a reply.
    sync.silent_[peer] = arrivedAt + Seconds {1};
    recordDocumentsReply(sync, settings, peer, Millis {50}, false, arrivedAt + Seconds {1});
    CHECK(*sync.completeAt_ == sentAt - Millis {50});
}

TEST_CASE("each observer has its turn")
{
    // Requests to other zones shifted the turns, so that one of two observers was asked once in
    // 1.2 s, and of the other zones always the same one (found by the property test below).
    SyncFleet fleet = makeFleet(24, 3);
    run(fleet, Seconds {4});
    observerOf(fleet, "z0", 0).reachesStore_ = false;
    observerOf(fleet, "z1", 0).reachesStore_ = false;
    SECTION("with the second observer of the other zone")
    {
        observerOf(fleet, "z2", 0).reachesStore_ = false;
    }
    run(fleet, Seconds {4});
    for (int i = 0; i < 60; ++i) {
        run(fleet, step);
        for (const SimulatedDaemon &daemon : fleet.daemons_) {
            if (daemon.reachesStore_)
                CHECK(fleet.now_ - daemon.learnedAt_ <= Seconds {1});
        }
    }
}

TEST_CASE("a fleet that is cut off from the store notices, and returns to few observers")
{
    SyncFleet fleet = makeFleet(195, 5);
    run(fleet, Seconds {5});
    for (SimulatedDaemon &daemon : fleet.daemons_)
        daemon.reachesStore_ = false;
    run(fleet, settings.freshLifetime_ + settings.maxFollowDelay_ / 2);
    // The daemons don't all call the store at the same time.
    CHECK(countFollowers(fleet) <= fleet.daemons_.size() * 2 / 3);
    run(fleet, Seconds {5});
    for (const SimulatedDaemon &daemon : fleet.daemons_)
        CHECK_FALSE(hasStoreContact(daemon.sync_, settings, fleet.now_));
    for (SimulatedDaemon &daemon : fleet.daemons_)
        daemon.reachesStore_ = true;
    run(fleet, Seconds {6});
    for (const SimulatedDaemon &daemon : fleet.daemons_)
        CHECK(hasStoreContact(daemon.sync_, settings, fleet.now_));
    CHECK(countFollowers(fleet) == 5 * settings.observersPerZone_);
}

TEST_CASE("a daemon whose observers are cut off silently knows each change in time")
{
    // Observers counted as in contact until their watches were overdue, and a daemon that asked
    // them waited for two more delays, so a configuration came up to 3 s too late.
    for (const Millis applyTime : {Millis {2000}, Millis {3000}, Millis {4000}}) {
        constexpr std::size_t reaching = 20;
        SyncFleet fleet = makeFleet(73, 4);
        fleet.settings_ = documentSyncSettings(applyTime, applyTime + Seconds {1});
        run(fleet, Seconds {5});
        for (SimulatedDaemon &daemon : fleet.daemons_)
            daemon.watchHangs_ = true;
        std::size_t found = 0;
        for (std::size_t i = 0; i < fleet.daemons_.size() && found < reaching; ++i) {
            if (isFollowing(fleet, fleet.daemons_[i]))
                continue;
            fleet.daemons_[i].watchHangs_ = false;
            ++found;
        }
        for (Millis time {}; time < fleet.settings_.watchTimeout_; time += step) {
            run(fleet, step);
            for (const SimulatedDaemon &daemon : fleet.daemons_) {
                if (!daemon.watchHangs_)
                    CHECK(fleet.now_ - daemon.learnedAt_ <= applyTime - Millis {500});
            }
        }
    }
}

TEST_CASE(
    "random deaths and cuts: a daemon that reaches the store or a connected peer learns changes")
{
    const bool held = rc::check("connected daemons learn changes", [] {
        SyncFleet fleet = makeFleet(24, 3);
        run(fleet, Seconds {4});
        const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, int>>>(
            12, rc::gen::pair(rc::gen::inRange<std::size_t>(0, 24), rc::gen::inRange(0, 6)));
        for (const auto &[index, change] : changes) {
            SimulatedDaemon &daemon = fleet.daemons_[index];
            if (change == 0)
                daemon.alive_ = !daemon.alive_;
            else if (change == 1)
                daemon.reachesStore_ = !daemon.reachesStore_;
            else if (change == 2)
                daemon.reachesPeers_ = !daemon.reachesPeers_;
            else
                run(fleet, Millis {400} * change);
        }
        // Silent peers are found, the follow delay ends.
        run(fleet, Seconds {5});
        for (const SimulatedDaemon &daemon : fleet.daemons_) {
            if (daemon.alive_ && daemon.reachesStore_)
                RC_ASSERT(fleet.now_ - daemon.learnedAt_ <= Seconds {1});
        }
    });
    CHECK(held);
}

} // namespace tamarack
