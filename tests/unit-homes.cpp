// Regions that a route and an account allow. Guards against a request that runs in a region that
// one of them does not allow, and against one that waits although no region is allowed.
#include "relayfixture.h"

namespace tamarack {

namespace {

const RegionId north {"north"};
const RegionId south {"south"};

/// A configuration whose route "safe" and account allow certain regions.
std::shared_ptr<RelayConfig> makeHomes(const std::set<RegionId> &route,
                                       const std::set<RegionId> &account)
{
    auto config = makeConfig(2);
    config->routes_[1].allowedRegions_ = route;
    config->accounts_.at(AccountId {"acme"}).allowedRegions_ = account;
    return config;
}

/// Instances a1 in the north, a2 in the south and a3 in a zone of unknown region.
void setUpRegions(RelayFixture &fixture, const std::set<RegionId> &route,
                  const std::set<RegionId> &account)
{
    setUp(fixture);
    fixture.state_.settings_.regions_ = {
        {ZoneId {"near"}, north}, {ZoneId {"far"}, south}, {ZoneId {"empty"}, RegionId {"east"}}};
    post(fixture, ConfigReceived {makeHomes(route, account), ChangeSource::Store});
    post(fixture,
         InstancesListed {{makeInstance("a1", "app", 6), makeInstance("a2", "app", 7, "far"),
                           makeInstance("a3", "app", 8, "unknown")},
                          Revision {9},
                          ChangeSource::Store});
}

/// Returns the instances that get one of many requests.
std::set<UpstreamId> usedInstances(RelayFixture &fixture)
{
    std::set<UpstreamId> used;
    for (int i = 0; i < 40; ++i) {
        const auto attempt
            = findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "safe")}));
        REQUIRE(attempt);
        used.insert(attempt->instance_);
    }
    return used;
}

} // namespace

TEST_CASE("a region is allowed if both the route and the account allow it")
{
    RelayRoute route;
    RelayAccount account;
    CHECK(!allowedRegions(route, nullptr));
    CHECK(!allowedRegions(route, &account));
    account.allowedRegions_ = {north};
    CHECK(allowedRegions(route, &account) == std::set {north});
    CHECK(!allowedRegions(route, nullptr));
    route.allowedRegions_ = {north, south};
    CHECK(allowedRegions(route, &account) == std::set {north});
    CHECK(allowedRegions(route, nullptr) == std::set {north, south});
    account.allowedRegions_ = {RegionId {"east"}};
    CHECK(allowedRegions(route, &account) == std::set<RegionId> {});
}

TEST_CASE("a zone of unknown region is in no list")
{
    const std::map<ZoneId, RegionId> regions {{ZoneId {"n1"}, north}, {ZoneId {"s1"}, south}};
    CHECK(isAllowedZone(regions, {north}, ZoneId {"n1"}));
    CHECK(!isAllowedZone(regions, {north}, ZoneId {"s1"}));
    CHECK(!isAllowedZone(regions, {north, RegionId {}}, ZoneId {"x"}));
    CHECK(hasAllowedZone(regions, {south}));
    CHECK(!hasAllowedZone(regions, {RegionId {"east"}}));
    CHECK(!hasAllowedZone(regions, {}));
}

TEST_CASE("requests go to instances in allowed regions only")
{
    RelayFixture fixture;
    SECTION("without a list, to all")
    {
        setUpRegions(fixture, {}, {});
        CHECK(usedInstances(fixture).size() == 3);
    }
    SECTION("the list of the account, although the instances of the own zone are faster")
    {
        setUpRegions(fixture, {}, {south});
        CHECK(usedInstances(fixture) == std::set {UpstreamId {"a2"}});
    }
    SECTION("the list of the route")
    {
        setUpRegions(fixture, {north}, {});
        CHECK(usedInstances(fixture) == std::set {UpstreamId {"a1"}});
    }
    SECTION("the regions of both lists")
    {
        setUpRegions(fixture, {north, south}, {south, RegionId {"east"}});
        CHECK(usedInstances(fixture) == std::set {UpstreamId {"a2"}});
    }
    SECTION("several regions, but not the zone of unknown region")
    {
        setUpRegions(fixture, {north, south}, {});
        CHECK(usedInstances(fixture) == std::set {UpstreamId {"a1"}, UpstreamId {"a2"}});
    }
}

TEST_CASE("a retry stays in the allowed regions")
{
    RelayFixture fixture;
    setUpRegions(fixture, {south}, {});
    const auto attempt
        = findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "safe")}));
    REQUIRE(attempt);
    const auto out = post(fixture, ended(*attempt, AttemptEnd::NotSent));
    CHECK(!findCommand<SendAttempt>(out));
}

TEST_CASE("a request without an allowed region is refused at once")
{
    RelayFixture fixture;
    SECTION("the lists have no region in common")
    {
        setUpRegions(fixture, {north}, {south});
    }
    SECTION("no zone is in the region of the list")
    {
        setUpRegions(fixture, {RegionId {"west"}}, {});
    }
    const auto refusal
        = findCommand<RespondToClient>(post(fixture, RequestRead {makeRequest(fixture, "safe")}));
    REQUIRE(refusal);
    CHECK(refusal->status_ == 503);
    CHECK(refusal->reason_ == "no_home");
    CHECK(refusal->retryAfter_);
}

TEST_CASE("an evacuation leaves no instance in the allowed region")
{
    RelayFixture fixture;
    setUpRegions(fixture, {south}, {});
    post(fixture, EvacuationChanged {{ZoneId {"far"}, Revision {10}}, ChangeSource::Store});
    const auto refusal
        = findCommand<RespondToClient>(post(fixture, RequestRead {makeRequest(fixture, "safe")}));
    REQUIRE(refusal);
    CHECK(refusal->reason_ == "zones_evacuated");
}

} // namespace tamarack
