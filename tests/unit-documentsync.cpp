// Sources of a daemon's documents. Guards against store calls that grow with the number of daemons,
// and against a daemon that learns of no changes because its observers died, froze or lost contact
// to the store.
#include "core/relay/relay.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

namespace {

const DocumentSyncSettings settings;

/// What one daemon of the simulated fleet can reach.
struct SimulatedDaemon
{
    DocumentSync sync_;
    PeerAddress address_;
    bool alive_ = true;
    bool reachesStore_ = true;
    bool reachesPeers_ = true;
    /// The path to the store is cut silently: watches hang and are not overdue yet.
    bool watchHangs_ = false;
    /// Last reply of the store.
    MonoTime contactAt_ {};
    /// When a change of the store, made while the daemon was in contact, would have been learned.
    MonoTime learnedAt_ {};
};

struct SyncFleet
{
    DocumentSyncSettings settings_;
    std::vector<SimulatedDaemon> daemons_;
    MonoTime now_ {Seconds {100}};
    /// Calls to the store, one for each watch that a daemon waits for.
    std::size_t storeCalls_ = 0;
};

constexpr Millis step {50};
constexpr Millis watchTime {1500};

SyncFleet makeFleet(std::size_t count, std::size_t zones)
{
    SyncFleet fleet;
    for (std::size_t i = 0; i < count; ++i) {
        SimulatedDaemon daemon;
        daemon.address_ = PeerAddress {HostId {"h" + std::to_string(i)},
                                       ZoneId {"z" + std::to_string(i % zones)},
                                       "h" + std::to_string(i) + ":1", 0};
        daemon.contactAt_ = fleet.now_;
        fleet.daemons_.push_back(daemon);
    }
    for (SimulatedDaemon &daemon : fleet.daemons_) {
        std::vector<PeerAddress> others;
        for (const SimulatedDaemon &other : fleet.daemons_) {
            if (other.address_.host_ != daemon.address_.host_)
                others.push_back(other.address_);
        }
        updateSyncPeers(daemon.sync_, daemon.address_, others);
    }
    return fleet;
}

bool isFollowing(const SyncFleet &fleet, const SimulatedDaemon &daemon)
{
    return daemon.alive_ && followsStore(daemon.sync_, fleet.settings_, fleet.now_);
}

bool hasContact(const SyncFleet &fleet, const SimulatedDaemon &daemon)
{
    return isFollowing(fleet, daemon) && daemon.reachesStore_;
}

void exchange(SyncFleet &fleet, SimulatedDaemon &daemon)
{
    for (const PeerAddress &target : nextSyncPeers(daemon.sync_, fleet.settings_, fleet.now_)) {
        const auto peer = std::find_if(
            fleet.daemons_.begin(), fleet.daemons_.end(),
            [&](const SimulatedDaemon &other) { return other.address_.host_ == target.host_; });
        if (!peer->alive_ || !peer->reachesPeers_ || !daemon.reachesPeers_)
            continue;
        recordDocumentsRequest(peer->sync_, fleet.now_);
        const bool contact = hasContact(fleet, *peer);
        const auto age = std::chrono::duration_cast<Millis>(fleet.now_ - peer->contactAt_);
        recordDocumentsReply(daemon.sync_, fleet.settings_, target.host_,
                             contact ? std::optional<Millis>(age) : std::nullopt, fleet.now_);
        if (contact)
            daemon.learnedAt_ = std::max(daemon.learnedAt_, peer->contactAt_);
    }
}

void run(SyncFleet &fleet, Millis time)
{
    const MonoTime end = fleet.now_ + time;
    while (fleet.now_ < end) {
        fleet.now_ += step;
        for (SimulatedDaemon &daemon : fleet.daemons_) {
            if (!daemon.alive_)
                continue;
            const bool follows = isFollowing(fleet, daemon);
            if (follows)
                setFeedAvailability(daemon.sync_, "feed", daemon.reachesStore_, fleet.now_);
            else
                daemon.sync_.unavailableFeeds_.clear();
            if (hasContact(fleet, daemon) && !daemon.watchHangs_) {
                daemon.contactAt_ = fleet.now_;
                daemon.learnedAt_ = fleet.now_;
            }
            if (follows && (fleet.now_.time_since_epoch() % watchTime) < step)
                ++fleet.storeCalls_;
            exchange(fleet, daemon);
        }
    }
}

std::size_t countFollowers(const SyncFleet &fleet)
{
    return static_cast<std::size_t>(
        std::count_if(fleet.daemons_.begin(), fleet.daemons_.end(),
                      [&](const SimulatedDaemon &daemon) { return isFollowing(fleet, daemon); }));
}

/// Returns the longest time that a live daemon with access to its peers has been without changes.
Millis oldestKnowledge(const SyncFleet &fleet)
{
    Millis oldest {};
    for (const SimulatedDaemon &daemon : fleet.daemons_) {
        if (daemon.alive_)
            oldest = std::max(oldest,
                              std::chrono::duration_cast<Millis>(fleet.now_ - daemon.learnedAt_));
    }
    return oldest;
}

SimulatedDaemon &observerOf(SyncFleet &fleet, const std::string &zone, std::size_t rank)
{
    const auto daemon = std::find_if(
        fleet.daemons_.begin(), fleet.daemons_.end(),
        [&](const SimulatedDaemon &candidate) { return candidate.address_.zone_.value_ == zone; });
    const HostId host = daemon->sync_.sameZone_.at(rank).host_;
    return *std::find_if(
        fleet.daemons_.begin(), fleet.daemons_.end(),
        [&](const SimulatedDaemon &candidate) { return candidate.address_.host_ == host; });
}

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
    recordDocumentsReply(sync, settings, peer, Millis {50}, arrivedAt);
    REQUIRE(sync.completeAt_);
    CHECK(*sync.completeAt_ == sentAt - Millis {50});
    // After its timeout nothing is known of the age of a reply.
    sync.silent_[peer] = arrivedAt + Seconds {1};
    recordDocumentsReply(sync, settings, peer, Millis {50}, arrivedAt + Seconds {1});
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
