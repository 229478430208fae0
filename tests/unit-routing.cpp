// Upstream selection by prediction. Guards against requests to upstreams that are slow or report a
// wrong load, and against a cached prompt that is not used.
#include "routingfixture.h"

namespace tamarack {

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

} // namespace tamarack
