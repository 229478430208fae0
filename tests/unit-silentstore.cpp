// Daemons whose calls to the store get no response. Guards against a daemon that handles requests
// by an outdated configuration until its call has timed out, although its peers know the new one.
#include "relayfixture.h"
#include "syncfleet.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <string>

namespace tamarack {

namespace {

struct FleetShape
{
    std::size_t daemons_ = 0;
    std::size_t zones_ = 0;
    /// Time within which a change must take effect.
    Millis applyTime_ {};
};

/// A call times out on the connection in use and then on a new one.
constexpr Millis callTime {4000};
/// Time to apply a document.
constexpr Millis applyMargin {500};

SyncFleet startFleet(const FleetShape &shape)
{
    SyncFleet fleet = makeFleet(shape.daemons_, shape.zones_);
    fleet.settings_ = documentSyncSettings(shape.applyTime_, shape.applyTime_ + Seconds {1});
    run(fleet, Seconds {5});
    return fleet;
}

void checkAllKnowChanges(SyncFleet &fleet, const FleetShape &shape)
{
    for (Millis time {}; time < callTime; time += step) {
        run(fleet, step);
        CHECK(oldestKnowledge(fleet) <= shape.applyTime_ - applyMargin);
    }
}

} // namespace

TEST_CASE("a daemon whose call to the store gets no response learns changes from its peers in time")
{
    const FleetShape shape
        = GENERATE(FleetShape {8, 3, Millis {2000}}, FleetShape {8, 1, Millis {2000}},
                   FleetShape {69, 3, Millis {3000}}, FleetShape {195, 5, Millis {4000}});
    SyncFleet fleet = startFleet(shape);
    SECTION("an observer")
    {
        observerOf(fleet, "z0", 0).watchHangs_ = true;
    }
    SECTION("all observers of an availability zone")
    {
        for (std::size_t rank = 0; rank < fleet.settings_.observersPerZone_; ++rank)
            observerOf(fleet, "z0", rank).watchHangs_ = true;
    }
    SECTION("every other daemon")
    {
        for (std::size_t i = 0; i < fleet.daemons_.size(); i += 2)
            fleet.daemons_[i].watchHangs_ = true;
    }
    checkAllKnowChanges(fleet, shape);
}

TEST_CASE("a daemon that the store refuses asks another zone if its own zone is refused too")
{
    // Observers had never relied on peers, and asked only three daemons of their zone eight times.
    const FleetShape shape
        = GENERATE(FleetShape {8, 3, Millis {2000}}, FleetShape {69, 3, Millis {3000}},
                   FleetShape {195, 5, Millis {4000}});
    SyncFleet fleet = startFleet(shape);
    for (std::size_t rank = 0; rank < fleet.settings_.observersPerZone_ + 1; ++rank)
        observerOf(fleet, "z0", rank).reachesStore_ = false;
    checkAllKnowChanges(fleet, shape);
}

TEST_CASE("a relay asks its peers while a reply of the store is overdue, and not after one")
{
    RelayFixture fixture;
    setUp(fixture);
    fixture.state_.followsStore_ = false;
    fixture.state_.settings_.host_ = HostId {"me"};
    post(fixture, FleetView {2, 2, {PeerAddress {HostId {"peer"}, ZoneId {"near"}, "p:1", 0}}});
    REQUIRE(fixture.state_.followsStore_);
    const DocumentSyncSettings &settings = fixture.state_.settings_.sync_;
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(
            findCommand<RequestPeerDocuments>(advanceTime(fixture, settings.contactInterval_)));
        post(fixture, ConfigFeedReplied {});
    }
    const std::optional<MonoTime> due = nextSyncTime(fixture.state_.sync_, settings);
    REQUIRE(due);
    CHECK(*due == fixture.now_ + settings.contactInterval_ + settings.maxReplyDelay_);
    fixture.now_ = *due;
    CHECK(findCommand<RequestPeerDocuments>(advanceTime(fixture, {})));
    post(fixture, DocumentsReplyReceived {HostId {"peer"}, std::nullopt, {}, 0});
    CHECK(findCommand<RequestPeerDocuments>(advanceTime(fixture, settings.requestInterval_)));
    post(fixture, DocumentsReplyReceived {HostId {"peer"}, std::nullopt, {}, 0});
    post(fixture, ConfigFeedReplied {});
    CHECK_FALSE(findCommand<RequestPeerDocuments>(advanceTime(fixture, settings.requestInterval_)));
}

} // namespace tamarack
