// Upstreams that fail or leave. Guards against requests to upstreams that are dead, frozen or
// leaving, and against false refusals.
#include "routingfixture.h"

namespace tamarack {

TEST_CASE("routing ejection")
{
    Fixture fixture = makeFixture(3);
    for (std::size_t i = 0; i < 3; ++i)
        train(fixture, upstreamId(i), Millis {50});
    const RoutingSettings &settings = fixture.state_.settings_;

    SECTION("each kind of failure ejects, a rejection does not")
    {
        const auto [result, ejected] = GENERATE(table<AttemptResult, bool>({
            {AttemptResult::NotSent, true},
            {AttemptResult::Failed, true},
            {AttemptResult::Truncated, true},
            {AttemptResult::TimedOut, true},
            {AttemptResult::Rejected, false},
            {AttemptResult::Cancelled, false},
        }));
        fail(fixture, upstreamId(0), result, 3);
        fixture.now_ += settings.rejectionBackoff_;
        CHECK((choices(fixture).count(upstreamId(0)) == 0) == ejected);
    }
    SECTION("an ejected upstream returns with one probe and gets more requests with each success")
    {
        fail(fixture, upstreamId(0), AttemptResult::NotSent, 3);
        fixture.now_ += settings.minEjection_;
        const RouteChoice probe = chooseUpstream(fixture.state_, makeQuery(), fixture.now_);
        REQUIRE(probe.upstream_ == upstreamId(0));
        CHECK(probe.probe_);
        const Sent sent = sendTo(fixture, upstreamId(0), probe.prediction_);
        CHECK(choices(fixture).count(upstreamId(0)) == 0);
        end(fixture, sent, AttemptResult::Complete, Millis {50}, Millis {150});
        train(fixture, upstreamId(0), Millis {50},
              static_cast<int>(settings.successesToRecover_) - 1);
        CHECK(findUpstream(fixture.state_, upstreamId(0))->ejections_ == 0);
    }
    SECTION("a failed probe ejects for twice as long")
    {
        fail(fixture, upstreamId(0), AttemptResult::NotSent, 3);
        fixture.now_ += settings.minEjection_;
        fail(fixture, upstreamId(0), AttemptResult::NotSent, 1);
        fixture.now_ += settings.minEjection_;
        CHECK(choices(fixture).count(upstreamId(0)) == 0);
        fixture.now_ += settings.minEjection_;
        CHECK(choices(fixture, 1).count(upstreamId(0)) == 1);
    }
    SECTION("a non-idempotent request or a retry does not probe")
    {
        fail(fixture, upstreamId(0), AttemptResult::NotSent, 3);
        fixture.now_ += settings.minEjection_;
        RouteQuery query = makeQuery();
        query.idempotent_ = false;
        CHECK(choices(fixture, 100, query).count(upstreamId(0)) == 0);
    }
    SECTION("the last live upstream is used although it is ejected")
    {
        Fixture single = makeFixture(1);
        fail(single, upstreamId(0), AttemptResult::Failed, 3);
        const RouteChoice choice = chooseUpstream(single.state_, makeQuery(), single.now_);
        CHECK(choice.outcome_ == RouteOutcome::Chosen);
        CHECK(choice.lastResort_);
    }
    SECTION("other zones serve the requests when all upstreams of a zone fail")
    {
        Fixture zones = makeFixture(9);
        for (std::size_t i = 0; i < 9; i += 3)
            fail(zones, upstreamId(i), AttemptResult::NotSent, 3);
        for (const auto &[upstream, count] : choices(zones))
            CHECK(zones.bundle_.upstreams_.at(upstream).zone_ != ZoneId {"z0"});
        CHECK(choices(zones).size() >= 2);
    }
    SECTION("a retry prefers an upstream that was not tried")
    {
        RouteQuery query = makeQuery();
        query.tried_ = {upstreamId(0), upstreamId(1)};
        CHECK(choices(fixture, 50, query).count(upstreamId(2)) == 1);
        CHECK(choices(fixture, 50, query).size() == 1);
    }
}

TEST_CASE("routing of leaving upstreams")
{
    Fixture fixture = makeFixture(3);

    SECTION("one source marks an upstream as leaving, and all sources must clear it")
    {
        setLeaving(fixture.state_, upstreamId(0), LeavingSource::Peers, true, fixture.now_);
        CHECK(choices(fixture).count(upstreamId(0)) == 0);
        setHostLeaving(fixture.state_, HostId {"host0"}, LeavingSource::HostList, true,
                       fixture.now_);
        setLeaving(fixture.state_, upstreamId(0), LeavingSource::Peers, false, fixture.now_);
        CHECK(choices(fixture).count(upstreamId(0)) == 0);
        setHostLeaving(fixture.state_, HostId {"host0"}, LeavingSource::HostList, false,
                       fixture.now_);
        CHECK(choices(fixture).count(upstreamId(0)) == 1);
    }
    SECTION(
        "a rejection with the leaving marker excludes an upstream until a successful health check")
    {
        const Sent sent = sendTo(fixture, upstreamId(0));
        AttemptRecord record;
        record.upstream_ = sent.upstream_;
        record.attempt_ = sent.attempt_;
        record.result_ = AttemptResult::Rejected;
        record.upstreamLeaving_ = true;
        recordAttemptEnd(fixture.state_, record, fixture.now_);
        fixture.now_ += Seconds {10};
        CHECK(choices(fixture).count(upstreamId(0)) == 0);
        recordHealth(fixture.state_, upstreamId(0), UpstreamHealth::Live, fixture.now_);
        CHECK(choices(fixture).count(upstreamId(0)) == 1);
    }
    SECTION("a leaving upstream is not a last resort")
    {
        for (std::size_t i = 0; i < 3; ++i)
            recordHealth(fixture.state_, upstreamId(i), UpstreamHealth::Leaving, fixture.now_);
        CHECK(chooseUpstream(fixture.state_, makeQuery(), fixture.now_).outcome_
              == RouteOutcome::NoUpstream);
    }
    SECTION("one missed poll changes nothing, and an upstream that returns is probed first")
    {
        recordHealth(fixture.state_, upstreamId(0), UpstreamHealth::Unreachable, fixture.now_);
        CHECK(choices(fixture).count(upstreamId(0)) == 1);
        recordHealth(fixture.state_, upstreamId(0), UpstreamHealth::Unreachable, fixture.now_);
        CHECK(choices(fixture).count(upstreamId(0)) == 0);
        recordHealth(fixture.state_, upstreamId(0), UpstreamHealth::Live, fixture.now_);
        const UpstreamState *upstream = findUpstream(fixture.state_, upstreamId(0));
        CHECK(availability(fixture.state_, *upstream, fixture.now_) == Availability::Probing);
        sendTo(fixture, upstreamId(0));
        CHECK(availability(fixture.state_, *upstream, fixture.now_) == Availability::Full);
    }
}

} // namespace tamarack
