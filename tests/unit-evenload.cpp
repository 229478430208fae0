// The choice of an engine with the load of other daemons. Guards against daemons that all choose
// the same engine, against engines that are chosen although their slots or memory are taken, and
// against a changed choice where the load is not known.
#include "relayfixture.h"

#include <map>

namespace tamarack {

namespace {

const UpstreamId engine1 {"e1"};
const UpstreamId engine2 {"e2"};

/// A choice among two engines.
struct ChoiceFixture
{
    ChoiceState state_;
    ChoiceSettings settings_;
    InstanceDirectory directory_;
    RelayService service_ {ServiceId {"llm"}, 370, EngineSpec {64, Tokens {400'000}, 3}};
    InstanceLoads loads_;
    RelayRequest request_;
    MonoTime now_ {Seconds {1000}};
};

void setUp(ChoiceFixture &fixture, int engines = 2)
{
    for (int i = 1; i <= engines; ++i)
        upsertInstance(fixture.directory_,
                       makeInstance("e" + std::to_string(i), "llm", static_cast<std::uint64_t>(i)));
    fixture.request_.usage_ = PromptUsage {Tokens {400}, Tokens {100}, {}};
    fixture.request_.request_ = RequestId {"r0"};
    fixture.loads_.weight_ = 1.0;
}

ChoiceQuery makeQuery(const ChoiceFixture &fixture)
{
    ChoiceQuery query;
    query.request_ = &fixture.request_;
    query.service_ = &fixture.service_;
    query.zone_ = ZoneId {"near"};
    query.zoneDaemons_ = 20;
    query.load_ = &fixture.loads_;
    return query;
}

Choice choose(const ChoiceFixture &fixture)
{
    const auto choice = chooseInstance(fixture.state_, fixture.settings_, fixture.directory_,
                                       makeQuery(fixture), fixture.now_);
    REQUIRE(choice);
    return *choice;
}

/// Returns how often each engine is chosen for 1000 requests.
std::map<UpstreamId, int> chooseMany(ChoiceFixture &fixture)
{
    std::map<UpstreamId, int> chosen;
    for (int i = 0; i < 1000; ++i) {
        fixture.request_.request_ = RequestId {"r" + std::to_string(i)};
        ++chosen[choose(fixture).instance_];
    }
    return chosen;
}

void setOthers(ChoiceFixture &fixture, const UpstreamId &id, double running, double queued,
               double context)
{
    LoadSum sum;
    sum.running_ = running;
    sum.queuedPrefill_ = queued;
    sum.contextTokens_ = context;
    fixture.loads_.others_[id] = sum;
}

void usePart(ChoiceFixture &fixture, Tokens shared)
{
    fixture.request_.usage_
        = PromptUsage {shared + Tokens {100},
                       Tokens {100},
                       {PromptPart {"shared", shared}, PromptPart {"own", Tokens {100}}}};
}

} // namespace

TEST_CASE("the load of other daemons decides between engines")
{
    ChoiceFixture fixture;
    setUp(fixture);
    setOthers(fixture, engine1, 20, 0, 0);
    CHECK(chooseMany(fixture)[engine2] == 1000);
    // This daemon's own request counts once, not for each daemon of the zone.
    fixture.state_.instanceStats_[engine2].running_ = 5;
    CHECK(chooseMany(fixture)[engine2] == 1000);
    setOthers(fixture, engine1, 0, 0, 0);
    CHECK(chooseMany(fixture)[engine1] == 1000);
}

TEST_CASE("without knowledge of the others, the choice is that of a daemon that shares nothing")
{
    ChoiceFixture fixture;
    setUp(fixture, 4);
    fixture.loads_.weight_ = 0.0;
    setOthers(fixture, engine1, 50, 5000, 50'000);
    fixture.state_.instanceStats_[engine2].running_ = 1;
    for (int i = 0; i < 200; ++i) {
        fixture.request_.request_ = RequestId {"r" + std::to_string(i)};
        ChoiceQuery query = makeQuery(fixture);
        const auto with = chooseInstance(fixture.state_, fixture.settings_, fixture.directory_,
                                         query, fixture.now_);
        query.load_ = nullptr;
        const auto without = chooseInstance(fixture.state_, fixture.settings_, fixture.directory_,
                                            query, fixture.now_);
        REQUIRE(with);
        REQUIRE(without);
        CHECK(with->instance_ == without->instance_);
        CHECK(with->predicted_ == without->predicted_);
    }
}

TEST_CASE("as knowledge ages, the count of this daemon stands for more of the others")
{
    ChoiceFixture fixture;
    setUp(fixture, 1);
    setOthers(fixture, engine1, 10, 0, 0);
    fixture.state_.instanceStats_[engine1].running_ = 2;
    const auto runningDelay = [&](double weight) {
        fixture.loads_.weight_ = weight;
        return choose(fixture).runningDelay_ / fixture.settings_.delayPerRequest_;
    };
    CHECK(runningDelay(1.0) == Approx(12.0));
    CHECK(runningDelay(0.5) == Approx(26.0));
    CHECK(runningDelay(0.0) == Approx(40.0));
}

TEST_CASE("an engine without a free slot is predicted to be waited for")
{
    ChoiceFixture fixture;
    setUp(fixture, 1);
    setOthers(fixture, engine1, 63, 0, 0);
    const PreciseMicros free = choose(fixture).predicted_;
    setOthers(fixture, engine1, 64, 0, 0);
    const PreciseMicros full = choose(fixture).predicted_;
    CHECK(full - free > Millis {20});
    setOthers(fixture, engine1, 96, 0, 0);
    CHECK(choose(fixture).predicted_ - free > Millis {500});
}

TEST_CASE("a request that does not fit into the memory of an engine is sent to another")
{
    ChoiceFixture fixture;
    setUp(fixture);
    // Fewer requests, but long ones.
    setOthers(fixture, engine1, 4, 0, 399'000);
    setOthers(fixture, engine2, 8, 0, 50'000);
    fixture.request_.usage_ = PromptUsage {Tokens {20'000}, Tokens {1000}, {}};
    CHECK(chooseMany(fixture)[engine2] == 1000);
    fixture.request_.usage_ = PromptUsage {Tokens {500}, Tokens {100}, {}};
    CHECK(choose(fixture).instance_ == engine1);
}

TEST_CASE("requests are spread over engines that are nearly equally good, weighted by room")
{
    ChoiceFixture fixture;
    setUp(fixture, 3);
    // 60 requests are running, so that about 19 more are expected before the knowledge is renewed.
    // They would fill the engines to about 26 each.
    setOthers(fixture, engine1, 14, 0, 0);
    setOthers(fixture, engine2, 22, 0, 0);
    setOthers(fixture, UpstreamId {"e3"}, 24, 0, 0);
    std::map<UpstreamId, int> chosen = chooseMany(fixture);
    CHECK(chosen[engine1] > 570);
    CHECK(chosen[engine1] < 720);
    CHECK(chosen[engine2] > 170);
    CHECK(chosen[engine2] < 300);
    CHECK(chosen[UpstreamId {"e3"}] > 70);
    CHECK(chosen[UpstreamId {"e3"}] < 180);
}

TEST_CASE("other daemons with the same knowledge choose the same engine for the same request only")
{
    ChoiceFixture one;
    ChoiceFixture other;
    setUp(one, 10);
    setUp(other, 10);
    std::map<UpstreamId, int> chosen;
    for (int i = 0; i < 100; ++i) {
        one.request_.request_ = RequestId {"r" + std::to_string(i)};
        other.request_.request_ = one.request_.request_;
        CHECK(choose(one).instance_ == choose(other).instance_);
        ++chosen[choose(one).instance_];
    }
    CHECK(chosen.size() == 10);
}

TEST_CASE("the preferred engine of a shared part is kept unless reading it again is quicker")
{
    ChoiceFixture fixture;
    setUp(fixture);
    usePart(fixture, Tokens {4000});
    const UpstreamId preferred = choose(fixture).instance_;
    CHECK(chooseMany(fixture)[preferred] == 1000);
    // Reading the shared part again takes as long as 4000 tokens that are read before.
    setOthers(fixture, preferred, 0, 3500, 0);
    CHECK(chooseMany(fixture)[preferred] == 1000);
    setOthers(fixture, preferred, 0, 4500, 0);
    CHECK(chooseMany(fixture)[preferred] == 0);
}

TEST_CASE("a new engine is not chosen by everyone, and starts with the mean speed")
{
    ChoiceFixture fixture;
    setUp(fixture, 8);
    MonoTime learnedAt = fixture.now_;
    for (int i = 1; i <= 8; ++i) {
        const UpstreamId id {"e" + std::to_string(i)};
        if (i == 8)
            continue;
        recordPrefill(fixture.state_.instanceStats_[id].speed_, fixture.settings_.speed_,
                      Tokens {50'000}, Millis {1000}, 50.0, learnedAt);
        setOthers(fixture, id, 20, 0, 20'000);
    }
    const std::map<UpstreamId, int> chosen = chooseMany(fixture);
    // 140 requests are running, so that 43 are expected. The empty engine takes 23 of them, and the
    // others 3 each.
    CHECK(chosen.at(UpstreamId {"e8"}) < 620);
    CHECK(chosen.at(UpstreamId {"e8"}) > 440);
    fixture.directory_.known_.erase(engine1);
    ChoiceFixture alone;
    setUp(alone, 8);
    alone.state_ = fixture.state_;
    for (int i = 1; i < 8; ++i)
        alone.directory_.known_.at(UpstreamId {"e" + std::to_string(i)}).instance_.state_
            = InstanceState::Draining;
    const Choice choice = choose(alone);
    CHECK(choice.instance_ == UpstreamId {"e8"});
    CHECK(choice.prefillPerMs_ == Approx(50.0));
}

TEST_CASE("a speed that other daemons have learned is used until there is an own one")
{
    ChoiceFixture fixture;
    setUp(fixture, 1);
    setOthers(fixture, engine1, 1, 0, 0);
    fixture.loads_.others_.at(engine1).prefillPerMs_ = 80.0;
    CHECK(choose(fixture).prefillPerMs_ == Approx(80.0));
}

} // namespace tamarack
