// The members of the fleet. Guards against daemons that are taken as gone because the store has
// lost their registrations, and against daemons that have gone and go on counting.
#include "core/relay/relay.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

namespace tamarack {

namespace {

const FleetMemberSettings settings;

PeerAddress peer(const std::string &host)
{
    return PeerAddress {HostId {host}, ZoneId {"z0"}, host + ":1", 100};
}

/// A listing of the registrations of these daemons and of the reader.
FleetView listing(const std::vector<std::string> &hosts, bool listsSelf = true)
{
    FleetView fleet;
    fleet.daemons_ = static_cast<std::uint32_t>(hosts.size()) + 1;
    fleet.zoneDaemons_ = fleet.daemons_;
    fleet.listsSelf_ = listsSelf;
    for (const std::string &host : hosts) {
        fleet.peers_.push_back(peer(host));
        fleet.holders_[HostId {host}] = HolderId {host + "-1"};
    }
    return fleet;
}

struct Reader
{
    FleetMembers members_;
    MonoTime now_ {Seconds {1000}};
    /// Daemons that reply when they are asked.
    std::set<std::string> running_;
    std::size_t asked_ = 0;
};

Reader makeReader(const std::vector<std::string> &hosts)
{
    Reader reader;
    reader.members_.self_ = HostId {"self"};
    reader.members_.zone_ = ZoneId {"z0"};
    reader.running_.insert(hosts.begin(), hosts.end());
    for (int i = 0; i < 3; ++i) {
        applyListing(reader.members_, settings, listing(hosts), reader.now_);
        reader.now_ += Seconds {6};
    }
    return reader;
}

void read(Reader &reader, const FleetView &fleet)
{
    applyListing(reader.members_, settings, fleet, reader.now_);
}

void passTime(Reader &reader, Millis time)
{
    for (const MonoTime end = reader.now_ + time; reader.now_ < end;) {
        reader.now_ += Millis {100};
        const std::optional<MonoTime> next = nextFleetTime(reader.members_);
        if (!next || reader.now_ < *next)
            continue;
        removeSilentMembers(reader.members_, settings, reader.now_);
        for (const PeerAddress &asked : dueProbes(reader.members_, settings, reader.now_)) {
            ++reader.asked_;
            if (reader.running_.contains(asked.host_.value_))
                recordPresence(reader.members_, settings, asked.host_, PresenceReply {false, 8},
                               reader.now_);
        }
    }
}

std::uint32_t daemons(const Reader &reader)
{
    return currentFleet(reader.members_, settings, reader.now_).daemons_;
}

} // namespace

TEST_CASE("a daemon that a listing lacks counts as long as it replies")
{
    Reader reader = makeReader({"a", "b", "c"});
    REQUIRE(daemons(reader) == 4);
    SECTION("the store has lost all registrations")
    {
        read(reader, listing({}, false));
    }
    SECTION("the listing shows a part of the fleet")
    {
        read(reader, listing({"b"}));
    }
    SECTION("the listing lacks only the reader")
    {
        read(reader, listing({"a", "b", "c"}, false));
    }
    CHECK(daemons(reader) == 4);
    // The store can't be read any more.
    passTime(reader, Seconds {300});
    CHECK(daemons(reader) == 4);
    CHECK(currentFleet(reader.members_, settings, reader.now_).peers_.size() == 3);
    CHECK(reader.members_.isComplete_);
    read(reader, listing({"a", "b", "c"}));
    CHECK(countMembers(reader.members_, FleetMemberState::Listed) == 3);
}

TEST_CASE("a daemon that is neither listed nor replies has left, also while the store is away")
{
    Reader reader = makeReader({"a", "b", "c"});
    reader.running_.erase("b");
    const bool lacksAll = GENERATE(false, true);
    read(reader, lacksAll ? listing({}, false) : listing({"a", "c"}));
    passTime(reader, Seconds {6});
    CHECK(daemons(reader) == 3);
    REQUIRE(reader.members_.departed_.contains(HostId {"b"}));
    CHECK(reader.members_.departed_.at(HostId {"b"}).presumed_);
    const bool isListedAgain = GENERATE(false, true);
    if (isListedAgain)
        read(reader, listing({"a", "b", "c"}));
    else
        recordFleetContact(reader.members_, settings, HostId {"b"}, reader.now_);
    CHECK(daemons(reader) == 4);
    CHECK(reader.members_.departed_.empty());
}

TEST_CASE("a silent daemon that is listed counts")
{
    // It may be on the other side of a partition, and use its part of the limits.
    Reader reader = makeReader({"a", "b"});
    reader.running_.clear();
    passTime(reader, Seconds {60});
    CHECK(daemons(reader) == 3);
}

TEST_CASE("a daemon that says that it is leaving does not count any more")
{
    Reader reader = makeReader({"a", "b"});
    SECTION("its registration says so")
    {
        FleetView fleet = listing({"b"});
        fleet.leaving_[HostId {"a"}] = HolderId {"a-1"};
        read(reader, fleet);
    }
    SECTION("it replies so")
    {
        read(reader, listing({"b"}));
        recordPresence(reader.members_, settings, HostId {"a"}, PresenceReply {true, 3},
                       reader.now_);
    }
    CHECK(daemons(reader) == 2);
    // Its last messages, and a copy of the store that does not know it yet, change nothing.
    recordFleetContact(reader.members_, settings, HostId {"a"}, reader.now_);
    read(reader, listing({"a", "b"}));
    CHECK(daemons(reader) == 2);
    // The next process of the same host counts.
    FleetView restarted = listing({"a", "b"});
    restarted.holders_[HostId {"a"}] = HolderId {"a-2"};
    read(reader, restarted);
    CHECK(daemons(reader) == 3);
}

TEST_CASE("the end of an earlier process does not remove the later one")
{
    // The copy from which the store has returned lacks the registration of the later process.
    Reader reader = makeReader({"a", "b"});
    FleetView restarted = listing({"a", "b"});
    restarted.holders_[HostId {"a"}] = HolderId {"a-2"};
    read(reader, restarted);
    FleetView copy = listing({"b"});
    copy.leaving_[HostId {"a"}] = HolderId {"a-1"};
    read(reader, copy);
    passTime(reader, Seconds {60});
    CHECK(daemons(reader) == 3);
}

TEST_CASE("a daemon that was started while the store listed few does not believe the list")
{
    Reader reader;
    reader.members_.self_ = HostId {"self"};
    reader.members_.zone_ = ZoneId {"z0"};
    reader.members_.seeds_ = {peer("seed")};
    reader.running_ = {"seed"};
    SECTION("it has read no list")
    {
        passTime(reader, Seconds {3});
        CHECK(daemons(reader) == 8);
    }
    SECTION("it has read an empty one, and then none for long")
    {
        read(reader, listing({}));
        passTime(reader, Seconds {60});
        read(reader, listing({}));
        CHECK(daemons(reader) == 8);
    }
    SECTION("its lists lack itself")
    {
        for (int i = 0; i < 5; ++i) {
            read(reader, listing({}, false));
            passTime(reader, Seconds {6});
        }
        CHECK(daemons(reader) == 8);
    }
    SECTION("the store has returned from a copy meanwhile")
    {
        read(reader, listing({}));
        passTime(reader, Seconds {6});
        FleetView later = listing({});
        later.era_ = StoreEra {1};
        read(reader, later);
        passTime(reader, Seconds {6});
        read(reader, later);
        CHECK(daemons(reader) == 8);
    }
    CHECK(!reader.members_.isComplete_);
    for (int i = 0; i < 4; ++i) {
        read(reader, listing({"a"}));
        passTime(reader, Seconds {6});
    }
    CHECK(reader.members_.isComplete_);
}

TEST_CASE("a daemon that sends messages before it is listed counts for a while")
{
    Reader reader = makeReader({"a"});
    CHECK(recordFleetContact(reader.members_, settings, HostId {"new"}, reader.now_));
    CHECK(daemons(reader) == 3);
    CHECK(currentFleet(reader.members_, settings, reader.now_).peers_.size() == 1);
    SECTION("it is listed")
    {
        read(reader, listing({"a", "new"}));
        passTime(reader, Seconds {60});
        CHECK(daemons(reader) == 3);
    }
    SECTION("it is not heard of any more")
    {
        passTime(reader, Seconds {12});
        CHECK(daemons(reader) == 2);
    }
    SECTION("any number of hosts send messages")
    {
        for (std::size_t i = 0; i < 2 * settings.maxIntroduced_; ++i)
            recordFleetContact(reader.members_, settings, HostId {std::to_string(i)}, reader.now_);
        CHECK(daemons(reader) <= settings.maxIntroduced_ + 3);
    }
}

TEST_CASE("the daemons of a large fleet don't all ask each other at once")
{
    constexpr int others = 409;
    std::vector<std::string> hosts;
    hosts.reserve(others);
    for (int i = 0; i < others; ++i)
        hosts.push_back("d" + std::to_string(i));
    Reader reader = makeReader(hosts);
    reader.asked_ = 0;
    read(reader, listing({}, false));
    passTime(reader, Seconds {10});
    CHECK(reader.asked_ <= 11 * settings.maxProbes_);
    CHECK(daemons(reader) == 410);
    // None of them runs any more.
    reader.running_.clear();
    passTime(reader, Seconds {60});
    CHECK(daemons(reader) == 1);
}

} // namespace tamarack
