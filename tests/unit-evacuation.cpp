// Evacuated availability zones. Guards against an evacuation that ends because the operator's
// document was lost from sight, and against one that an outdated message begins again.
#include "core/relay/relay.h"

#include <catch2/catch.hpp>

#include <string>

namespace tamarack {

namespace {

constexpr Millis settleTime {4000};
const MonoTime start {Seconds {1000}};
const ZoneId zone {"a"};

StorePosition at(std::uint64_t era, std::uint64_t revision)
{
    return StorePosition {StoreEra {era}, Revision {revision}};
}

EvacuationChanges list(Evacuations &evacuations, const std::vector<ListedEvacuation> &listing,
                       StorePosition position, MonoTime now = start)
{
    return applyEvacuationListing(evacuations, listing, position, settleTime, now);
}

/// Returns evacuations that contain the zone, written at a position.
Evacuations evacuated(StorePosition position)
{
    Evacuations evacuations;
    REQUIRE(applyEvacuation(evacuations, zone, position, start));
    return evacuations;
}

} // namespace

TEST_CASE("a zone is evacuated from the write to the removal")
{
    Evacuations evacuations;
    CHECK(!isEvacuated(evacuations, zone));
    CHECK(!returnedAt(evacuations, zone));
    CHECK(applyEvacuation(evacuations, zone, at(1, 10), start));
    CHECK(isEvacuated(evacuations, zone));
    CHECK(!isEvacuated(evacuations, ZoneId {"b"}));
    // A second write changes nothing.
    CHECK(!applyEvacuation(evacuations, zone, at(1, 12), start + Seconds {1}));
    CHECK(evacuations.zones_.at(zone).since_ == start);
    // A removal that is older than the last write.
    CHECK(!removeEvacuation(evacuations, zone, at(1, 11), start));
    CHECK(isEvacuated(evacuations, zone));
    CHECK(removeEvacuation(evacuations, zone, at(1, 13), start + Seconds {2}));
    CHECK(!isEvacuated(evacuations, zone));
    CHECK(returnedAt(evacuations, zone) == start + Seconds {2});
    // An outdated message from a peer.
    CHECK(!applyEvacuation(evacuations, zone, at(1, 12), start));
    CHECK(!isEvacuated(evacuations, zone));
    CHECK(applyEvacuation(evacuations, zone, at(1, 14), start));
    CHECK(!returnedAt(evacuations, zone));
}

TEST_CASE("a removal that arrives before the write of the same zone counts")
{
    Evacuations evacuations;
    CHECK(!removeEvacuation(evacuations, zone, at(1, 20), start));
    CHECK(!applyEvacuation(evacuations, zone, at(1, 10), start));
    CHECK(!isEvacuated(evacuations, zone));
}

TEST_CASE("a listing of the same era ends only an evacuation that is older than it")
{
    Evacuations evacuations = evacuated(at(1, 10));
    SECTION("the removal was seen by a listing only")
    {
        CHECK(list(evacuations, {}, at(1, 15)).ended_ == std::vector {zone});
        CHECK(!isEvacuated(evacuations, zone));
        CHECK(!applyEvacuation(evacuations, zone, at(1, 10), start));
    }
    SECTION("a listing that began before the write")
    {
        CHECK(list(evacuations, {}, at(1, 9)).ended_.empty());
        CHECK(list(evacuations, {}, at(1, 10)).ended_.empty());
        CHECK(isEvacuated(evacuations, zone));
    }
    SECTION("the store has dropped its history, and the keys are listed again")
    {
        const EvacuationChanges changes = list(evacuations, {{zone, at(1, 10)}}, at(1, 900));
        CHECK(changes.began_.empty());
        CHECK(changes.ended_.empty());
        CHECK(isEvacuated(evacuations, zone));
        CHECK(!nextEvacuationTime(evacuations));
    }
    SECTION("a listing of an earlier era")
    {
        CHECK(list(evacuations, {}, at(0, 99)).ended_.empty());
        CHECK(isEvacuated(evacuations, zone));
    }
}

TEST_CASE("an evacuation that the store has lost with its return from a copy")
{
    Evacuations evacuations = evacuated(at(1, 10));
    CHECK(list(evacuations, {}, at(2, 5)).ended_.empty());
    CHECK(isEvacuated(evacuations, zone));
    CHECK(nextEvacuationTime(evacuations) == start + settleTime);
    CHECK(endUnconfirmedEvacuations(evacuations, start + settleTime - Millis {1}).empty());
    SECTION("stays if it is written again")
    {
        CHECK(!applyEvacuation(evacuations, zone, at(2, 7), start + Seconds {3}));
        CHECK(!nextEvacuationTime(evacuations));
        CHECK(endUnconfirmedEvacuations(evacuations, start + settleTime).empty());
        CHECK(isEvacuated(evacuations, zone));
    }
    SECTION("stays if a listing of the new era contains it")
    {
        CHECK(list(evacuations, {{zone, at(2, 7)}}, at(2, 8)).ended_.empty());
        CHECK(endUnconfirmedEvacuations(evacuations, start + settleTime).empty());
        CHECK(isEvacuated(evacuations, zone));
    }
    SECTION("ends if it is not written again")
    {
        // Further listings of the same era neither end it earlier nor extend it.
        CHECK(list(evacuations, {}, at(2, 6), start + Seconds {2}).ended_.empty());
        CHECK(nextEvacuationTime(evacuations) == start + settleTime);
        CHECK(endUnconfirmedEvacuations(evacuations, start + settleTime) == std::vector {zone});
        CHECK(!isEvacuated(evacuations, zone));
        CHECK(!nextEvacuationTime(evacuations));
        // The operator requests it again.
        CHECK(applyEvacuation(evacuations, zone, at(2, 9), start + Seconds {9}));
    }
    SECTION("ends at once by a removal in the new era")
    {
        CHECK(removeEvacuation(evacuations, zone, at(2, 8), start));
        CHECK(!isEvacuated(evacuations, zone));
    }
    SECTION("is not confirmed by a late message of the old era")
    {
        CHECK(!applyEvacuation(evacuations, zone, at(1, 12), start + Seconds {1}));
        CHECK(nextEvacuationTime(evacuations) == start + settleTime);
    }
    SECTION("waits again if the store returns once more")
    {
        CHECK(list(evacuations, {}, at(3, 4), start + Seconds {3}).ended_.empty());
        CHECK(nextEvacuationTime(evacuations) == start + Seconds {3} + settleTime);
        CHECK(!applyEvacuation(evacuations, zone, at(2, 7), start + Seconds {3}));
        CHECK(nextEvacuationTime(evacuations) == start + Seconds {3} + settleTime);
    }
}

TEST_CASE("a daemon that starts after the return gets the lost evacuation from a peer")
{
    // The peer still holds it with its position of the old era.
    Evacuations evacuations;
    CHECK(list(evacuations, {{zone, at(1, 10)}}, at(2, 5)).began_ == std::vector {zone});
    CHECK(isEvacuated(evacuations, zone));
    CHECK(nextEvacuationTime(evacuations) == start + settleTime);
    CHECK(!applyEvacuation(evacuations, zone, at(2, 7), start + Seconds {1}));
    CHECK(!nextEvacuationTime(evacuations));
}

TEST_CASE("an evacuation that the copy contains begins again until it is removed again")
{
    Evacuations evacuations = evacuated(at(1, 10));
    CHECK(removeEvacuation(evacuations, zone, at(1, 20), start));
    CHECK(list(evacuations, {{zone, at(2, 10)}}, at(2, 12)).began_ == std::vector {zone});
    CHECK(removeEvacuation(evacuations, zone, at(2, 14), start));
    CHECK(!isEvacuated(evacuations, zone));
}

TEST_CASE("many zones are evacuated independently of each other")
{
    Evacuations evacuations;
    std::vector<ListedEvacuation> listing;
    constexpr std::uint64_t zones = 200;
    for (std::uint64_t i = 1; i <= zones; ++i)
        listing.push_back({ZoneId {"z" + std::to_string(i)}, at(1, i)});
    CHECK(list(evacuations, listing, at(1, zones)).began_.size() == zones);
    listing.resize(zones / 2);
    const EvacuationChanges changes = list(evacuations, listing, at(1, zones + 1));
    CHECK(changes.ended_.size() == zones / 2);
    CHECK(isEvacuated(evacuations, ZoneId {"z100"}));
    CHECK(!isEvacuated(evacuations, ZoneId {"z101"}));
    CHECK(removeEvacuation(evacuations, ZoneId {"z7"}, at(1, zones + 2), start));
    CHECK(evacuations.zones_.size() == zones / 2 - 1);
}

} // namespace tamarack
