// Upstream selection under faults. Guards against requests to upstreams that are dead, frozen,
// slow or leaving or that report a wrong load, against false refusals, and against retry storms.
#include "core/core.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace tamarack {

namespace {

const ModelId model {"m"};
const MonoTime start {Seconds {1000}};

/// Upstreams u0 to uN-1 in zones z0 to z2, and a simulated clock.
struct Fixture
{
    RoutingState state_;
    Bundle bundle_;
    MonoTime now_ = start;
    std::uint64_t lastAttempt_ = 0;
};

UpstreamId upstreamId(std::size_t index)
{
    return UpstreamId {"u" + std::to_string(index)};
}

Fixture makeFixture(std::size_t upstreams)
{
    Fixture fixture;
    fixture.bundle_.version_ = BundleVersion {1};
    for (std::size_t i = 0; i < upstreams; ++i) {
        Upstream upstream;
        upstream.id_ = upstreamId(i);
        upstream.host_ = HostId {"host" + std::to_string(i)};
        upstream.zone_ = ZoneId {"z" + std::to_string(i % 3)};
        upstream.models_ = {model};
        fixture.bundle_.upstreams_[upstream.id_] = upstream;
    }
    indexUpstreams(fixture.state_, fixture.bundle_);
    return fixture;
}

RouteQuery makeQuery()
{
    RouteQuery query;
    query.model_ = model;
    query.zone_ = ZoneId {"z0"};
    query.promptTokens_ = 100;
    return query;
}

struct Sent
{
    UpstreamId upstream_;
    AttemptId attempt_;
};

Sent sendTo(Fixture &fixture, const UpstreamId &upstream, const Prediction &prediction)
{
    const AttemptId attempt {std::to_string(++fixture.lastAttempt_)};
    recordDispatch(fixture.state_, DispatchRecord {upstream, attempt, prediction, 100, true},
                   fixture.now_);
    return Sent {upstream, attempt};
}

Sent sendTo(Fixture &fixture, const UpstreamId &upstream)
{
    const UpstreamState *known = findUpstream(fixture.state_, upstream);
    return sendTo(fixture, upstream,
                  predict(fixture.state_, *known, makeQuery(), 0.0, fixture.now_));
}

void end(Fixture &fixture, const Sent &sent, AttemptResult result, Millis firstToken,
         Millis duration)
{
    AttemptRecord record;
    record.upstream_ = sent.upstream_;
    record.attempt_ = sent.attempt_;
    record.result_ = result;
    if (result == AttemptResult::Complete)
        record.firstToken_ = firstToken;
    record.duration_ = duration;
    record.outputTokens_ = 10;
    recordAttemptEnd(fixture.state_, record, fixture.now_);
}

/// Lets an upstream serve some requests one after the other.
void train(Fixture &fixture, const UpstreamId &upstream, Millis firstToken, int requests = 20)
{
    for (int i = 0; i < requests; ++i) {
        const Sent sent = sendTo(fixture, upstream);
        fixture.now_ += firstToken * 3;
        end(fixture, sent, AttemptResult::Complete, firstToken, firstToken * 3);
    }
}

void fail(Fixture &fixture, const UpstreamId &upstream, AttemptResult result, int times)
{
    for (int i = 0; i < times; ++i)
        end(fixture, sendTo(fixture, upstream), result, {}, Millis {1000});
}

/// Counts the selections of @a rounds requests that are not sent.
std::map<UpstreamId, int> choices(Fixture &fixture, int rounds, const RouteQuery &query)
{
    std::map<UpstreamId, int> counts;
    for (int i = 0; i < rounds; ++i) {
        const RouteChoice choice = chooseUpstream(fixture.state_, query, fixture.now_);
        if (choice.outcome_ == RouteOutcome::Chosen)
            ++counts[choice.upstream_];
    }
    return counts;
}

std::map<UpstreamId, int> choices(Fixture &fixture, int rounds = 100)
{
    return choices(fixture, rounds, makeQuery());
}

LoadReport report(const Fixture &fixture, const UpstreamId &upstream, std::uint32_t running,
                  std::uint32_t slots)
{
    LoadReport result;
    result.upstream_ = upstream;
    result.running_ = running;
    result.slots_ = slots;
    result.requestedAt_ = fixture.now_;
    return result;
}

} // namespace

TEST_CASE("routing index")
{
    Fixture fixture = makeFixture(3);

    SECTION("an unknown model has no upstream")
    {
        RouteQuery query = makeQuery();
        query.model_ = ModelId {"other"};
        CHECK(chooseUpstream(fixture.state_, query, fixture.now_).outcome_
              == RouteOutcome::NoUpstream);
    }
    SECTION("an upstream missing from a new bundle gets no requests, and its state is kept")
    {
        train(fixture, upstreamId(0), Millis {50});
        const Upstream removed = fixture.bundle_.upstreams_.at(upstreamId(0));
        fixture.bundle_.upstreams_.erase(upstreamId(0));
        indexUpstreams(fixture.state_, fixture.bundle_);
        CHECK(choices(fixture).count(upstreamId(0)) == 0);
        fixture.bundle_.upstreams_[removed.id_] = removed;
        indexUpstreams(fixture.state_, fixture.bundle_);
        CHECK(findUpstream(fixture.state_, upstreamId(0))->speed_.samples_ == 20);
    }
    SECTION("the same seed gives the same choices")
    {
        Fixture other = makeFixture(3);
        for (int i = 0; i < 50; ++i)
            CHECK(chooseUpstream(fixture.state_, makeQuery(), fixture.now_).upstream_
                  == chooseUpstream(other.state_, makeQuery(), other.now_).upstream_);
    }
    SECTION("a large group is sampled")
    {
        Fixture large = makeFixture(880);
        const RouteChoice choice = chooseUpstream(large.state_, makeQuery(), large.now_);
        CHECK(choice.considered_ == large.state_.settings_.sampleSize_);
    }
    SECTION("a free upstream outside the sample is found when the sample is full")
    {
        Fixture large = makeFixture(200);
        for (std::size_t i = 1; i < 200; ++i)
            recordLoadReport(large.state_, report(large, upstreamId(i), 100, 8), large.now_);
        for (int i = 0; i < 20; ++i)
            CHECK(chooseUpstream(large.state_, makeQuery(), large.now_).upstream_ == upstreamId(0));
    }
}

TEST_CASE("routing prediction")
{
    Fixture fixture = makeFixture(3);
    for (std::size_t i = 0; i < 3; ++i)
        train(fixture, upstreamId(i), Millis {50});

    SECTION("an upstream that slows down fourfold gets no requests")
    {
        train(fixture, upstreamId(0), Millis {200}, 6);
        CHECK(choices(fixture).count(upstreamId(0)) == 0);
    }
    SECTION("a recovered upstream gets requests again although nothing was sent to it")
    {
        train(fixture, upstreamId(0), Millis {200}, 2);
        CHECK(choices(fixture).count(upstreamId(0)) == 0);
        fixture.now_ += Seconds {300};
        CHECK(choices(fixture).count(upstreamId(0)) == 1);
    }
    SECTION("a frozen upstream is avoided before its attempts time out")
    {
        sendTo(fixture, upstreamId(0));
        fixture.now_ += Millis {400};
        CHECK(choices(fixture).count(upstreamId(0)) == 0);
    }
    SECTION("an upstream that reports no load but responds late gets no requests")
    {
        for (int i = 0; i < 6; ++i) {
            recordLoadReport(fixture.state_, report(fixture, upstreamId(0), 0, 8), fixture.now_);
            train(fixture, upstreamId(0), Millis {1000}, 1);
        }
        CHECK(choices(fixture).count(upstreamId(0)) == 0);
    }
    SECTION("a report of no load does not hide this daemon's own requests")
    {
        for (int i = 0; i < 10; ++i)
            sendTo(fixture, upstreamId(0));
        fixture.now_ += Millis {1};
        recordLoadReport(fixture.state_, report(fixture, upstreamId(0), 0, 8), fixture.now_);
        CHECK(outstanding(fixture.state_.settings_, *findUpstream(fixture.state_, upstreamId(0)),
                          fixture.now_)
              == 10.0);
    }
    SECTION("requests sent after a report was taken are added to it")
    {
        LoadReport late = report(fixture, upstreamId(0), 5, 8);
        fixture.now_ += Millis {100};
        for (int i = 0; i < 4; ++i)
            sendTo(fixture, upstreamId(0));
        recordLoadReport(fixture.state_, late, fixture.now_);
        const UpstreamState *upstream = findUpstream(fixture.state_, upstreamId(0));
        CHECK(outstanding(fixture.state_.settings_, *upstream, fixture.now_) == 9.0);
    }
    SECTION("an expired report is ignored, and so is one older than the last")
    {
        const LoadReport older = report(fixture, upstreamId(0), 3, 8);
        fixture.now_ += Millis {100};
        recordLoadReport(fixture.state_, report(fixture, upstreamId(0), 7, 8), fixture.now_);
        recordLoadReport(fixture.state_, older, fixture.now_);
        const UpstreamState *upstream = findUpstream(fixture.state_, upstreamId(0));
        CHECK(outstanding(fixture.state_.settings_, *upstream, fixture.now_) == 7.0);
        fixture.now_ += Seconds {11};
        CHECK(outstanding(fixture.state_.settings_, *upstream, fixture.now_) == 0.0);
    }
    SECTION("upstreams of the same zone are preferred")
    {
        fixture.state_.settings_.tieMargin_ = Millis {0};
        fixture.state_.settings_.tieShare_ = 0.0;
        fixture.state_.settings_.otherZoneDelay_ = Millis {20};
        CHECK(choices(fixture).count(upstreamId(0)) == 1);
        CHECK(choices(fixture).size() == 1);
    }
    SECTION("an engine without the model or the adapter is the last choice")
    {
        LoadReport without = report(fixture, upstreamId(0), 0, 8);
        without.modelsKnown_ = true;
        recordLoadReport(fixture.state_, without, fixture.now_);
        LoadReport with = report(fixture, upstreamId(1), 0, 8);
        with.modelsKnown_ = true;
        with.models_ = {LoadedModel {model, {}, {AdapterId {"a"}}}};
        recordLoadReport(fixture.state_, with, fixture.now_);
        LoadReport plain = with;
        plain.upstream_ = upstreamId(2);
        plain.models_ = {LoadedModel {model, {}, {}}};
        recordLoadReport(fixture.state_, plain, fixture.now_);
        CHECK(choices(fixture).count(upstreamId(0)) == 0);
        RouteQuery query = makeQuery();
        query.adapter_ = AdapterId {"a"};
        const std::map<UpstreamId, int> counts = choices(fixture, 100, query);
        CHECK(counts.size() == 1);
        CHECK(counts.count(upstreamId(1)) == 1);
    }
    SECTION("the silence limit follows the upstream's speed within its bounds")
    {
        train(fixture, upstreamId(0), Millis {2000}, 40);
        train(fixture, upstreamId(1), Millis {50});
        const auto limitOf = [&](std::size_t index) {
            const UpstreamState *upstream = findUpstream(fixture.state_, upstreamId(index));
            const Prediction prediction
                = predict(fixture.state_, *upstream, makeQuery(), 0.0, fixture.now_);
            return silenceLimit(fixture.state_, upstreamId(index), prediction, 0, fixture.now_);
        };
        CHECK(limitOf(1) == fixture.state_.settings_.minSilenceLimit_);
        CHECK(limitOf(0) > Millis {6000});
        CHECK(limitOf(0) < Millis {20'000});
    }
    SECTION("an upstream that has not responded yet has the silence limit of the settings")
    {
        Fixture fresh = makeFixture(1);
        CHECK(silenceLimit(fresh.state_, upstreamId(0), {}, 0, fresh.now_)
              == fresh.state_.settings_.firstSilenceLimit_);
    }
    SECTION("attempts that time out raise the limit, so that a slow upstream is not excluded "
            "permanently")
    {
        const UpstreamState *upstream = findUpstream(fixture.state_, upstreamId(0));
        const auto limit = [&] {
            return silenceLimit(fixture.state_, upstreamId(0),
                                predict(fixture.state_, *upstream, makeQuery(), 0.0, fixture.now_),
                                0, fixture.now_);
        };
        const Millis before = limit();
        for (int i = 0; i < 4; ++i) {
            const Sent sent = sendTo(fixture, upstreamId(0));
            end(fixture, sent, AttemptResult::TimedOut, {}, limit());
        }
        CHECK(limit() > before);
    }
}

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

TEST_CASE("routing by cached prefixes")
{
    Fixture fixture = makeFixture(3);
    CacheIndex &cache = fixture.state_.cache_;
    const UpstreamIndex holder = fixture.state_.byId_.at(upstreamId(1));
    const std::vector<std::uint64_t> blocks {11, 12, 13, 14};
    const auto store = [&](std::uint64_t first, std::uint64_t from, std::uint64_t to) {
        CacheEventBatch batch {upstreamId(1), {}};
        for (std::uint64_t i = from; i < to; ++i)
            batch.events_.push_back(CacheEvent {first + i - from, CacheEventKind::Stored, 11 + i});
        applyCacheEvents(cache, holder, batch, fixture.now_);
    };
    const auto share = [&] {
        const std::vector<CacheMatch> matches = matchPrefix(cache, blocks, fixture.now_);
        return matches.empty() ? 0.0 : matches.front().share_;
    };

    SECTION("the engine with the prefix is chosen")
    {
        store(1, 0, 4);
        CHECK(share() == Approx(1.0));
        RouteQuery query = makeQuery();
        query.promptBlocks_ = blocks;
        query.promptTokens_ = 1000;
        CHECK(choices(fixture, 50, query).size() == 1);
        CHECK(choices(fixture, 50, query).count(upstreamId(1)) == 1);
    }
    SECTION("only the part up to the first missing block counts")
    {
        store(1, 0, 1);
        store(2, 2, 4);
        CHECK(share() == Approx(0.25));
    }
    SECTION("the weight of an entry decays with age")
    {
        store(1, 0, 4);
        fixture.now_ += cache.settings_.halfLife_;
        CHECK(share() == Approx(0.5));
    }
    SECTION("after a gap in the events, earlier entries count less and later ones fully")
    {
        store(1, 0, 2);
        fixture.now_ += Millis {1};
        store(10, 2, 3);
        fixture.now_ += Millis {1};
        store(11, 3, 4);
        CHECK(cache.sources_.at(holder).gaps_ == 1);
        CHECK(share() == Approx((0.5 + 0.5 + 0.5 + 1.0) / 4).epsilon(0.01));
    }
    SECTION("duplicate events change nothing, removals and clears do")
    {
        store(1, 0, 4);
        store(1, 0, 4);
        CHECK(cache.order_.size() == 4);
        applyCacheEvents(cache, holder,
                         {upstreamId(1), {CacheEvent {5, CacheEventKind::Removed, 13}}},
                         fixture.now_);
        CHECK(share() == Approx(0.5));
        applyCacheEvents(cache, holder,
                         {upstreamId(1), {CacheEvent {1, CacheEventKind::Cleared, 0}}},
                         fixture.now_);
        CHECK(share() == 0.0);
    }
    SECTION("memory is bounded and the oldest entries are evicted first")
    {
        cache.settings_.maxEntries_ = 3;
        store(1, 0, 4);
        CHECK(cache.order_.size() == 3);
        CHECK(cache.blocks_.size() == 3);
        CHECK(share() == 0.0);
    }
}

TEST_CASE("retry budget")
{
    RetryBudget budget;
    const RetrySettings settings;
    MonoTime now = start;

    SECTION("a retry storm is limited to the share of requests")
    {
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            now += Millis {1};
            creditRequest(budget, settings, now);
            for (int attempt = 0; attempt < 2; ++attempt) {
                if (isRetryAllowed(budget, settings, now)) {
                    consumeRetry(budget);
                    ++retries;
                }
            }
        }
        CHECK(retries <= 1000 * settings.share_ + settings.initial_ + 1);
        CHECK(retries >= 1000 * settings.share_ - 1);
    }
    SECTION("an account with little traffic can retry")
    {
        creditRequest(budget, settings, now);
        for (int i = 0; i < 3; ++i) {
            REQUIRE(isRetryAllowed(budget, settings, now));
            consumeRetry(budget);
        }
        CHECK_FALSE(isRetryAllowed(budget, settings, now));
        now += Seconds {10};
        CHECK(isRetryAllowed(budget, settings, now));
    }
}

} // namespace tamarack
