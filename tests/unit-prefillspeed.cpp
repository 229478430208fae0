// Learned speeds of engines. Guards against a fast and a slow engine that are taken for equal,
// against a queue that is taken for a slow engine, against a speed that outlives its process, and
// against a changed choice in deployments that don't share their load.
#include "relayfixture.h"

namespace tamarack {

namespace {

constexpr double fastPerMs = 48.0;
constexpr double slowPerMs = 22.0;

RelayRequest engineRequest(RelayFixture &fixture, Tokens prompt)
{
    RelayRequest request = makeRequest(fixture, "stream");
    request.usage_ = PromptUsage {prompt, Tokens {10}, {}};
    return request;
}

void setUpEngines(RelayFixture &fixture, bool sharesLoad)
{
    setUp(fixture);
    fixture.state_.settings_.shareLoadFrom_ = sharesLoad ? 1 : 0;
    auto config = makeConfig(2);
    config->accounts_.at(AccountId {"acme"}).prepaid_.reset();
    post(fixture, ConfigReceived {config, ChangeSource::Store});
}

/// Sends one request, and gives it its output after the time that its engine takes.
UpstreamId serveOne(RelayFixture &fixture, Tokens prompt)
{
    const auto attempt
        = findCommand<SendAttempt>(post(fixture, RequestRead {engineRequest(fixture, prompt)}));
    REQUIRE(attempt);
    const double perMs = attempt->instance_ == UpstreamId {"e1"} ? fastPerMs : slowPerMs;
    const auto time = std::chrono::duration_cast<Micros>(
        PreciseMicros {Millis {1}} * (static_cast<double>(prompt.count_) / perMs));
    fixture.now_ += time;
    post(fixture, OutputStarted {attempt->id_, attempt->attempt_, fixture.now_});
    post(fixture, ended(*attempt, AttemptEnd::Delivered, 200));
    return attempt->instance_;
}

/// Teaches the speeds of both engines.
void learnSpeeds(RelayFixture &fixture)
{
    for (int i = 0; i < 60; ++i) {
        serveOne(fixture, Tokens {600});
        // The delay that was last observed is forgotten, so that both engines get requests.
        fixture.now_ += Seconds {15};
    }
}

} // namespace

TEST_CASE("the speed of an engine is learned from prompts that found no queue")
{
    const PrefillSpeedSettings settings;
    PrefillSpeed speed;
    MonoTime now {Seconds {10}};
    CHECK(sampledPerMs(speed) == 0.0);
    CHECK(learnedPerMs(speed, settings, 40.0, now) == Approx(40.0));
    for (int i = 0; i < 50; ++i) {
        now += Seconds {1};
        recordPrefill(speed, settings, Tokens {930}, Millis {10}, 40.0, now);
    }
    CHECK(sampledPerMs(speed) == Approx(93.0));
    CHECK(learnedPerMs(speed, settings, 40.0, now) > 80.0);
    // Kept for minutes, but not for ever.
    CHECK(learnedPerMs(speed, settings, 40.0, now + Seconds {120}) > 75.0);
    CHECK(learnedPerMs(speed, settings, 40.0, now + Seconds {3600}) == Approx(40.0).margin(1.0));
}

TEST_CASE("a single observation can't change the learned speed much")
{
    const PrefillSpeedSettings settings;
    PrefillSpeed speed;
    MonoTime now {Seconds {10}};
    for (int i = 0; i < 50; ++i)
        recordPrefill(speed, settings, Tokens {500}, Millis {10}, 50.0, now);
    recordPrefill(speed, settings, Tokens {500}, Seconds {5}, 50.0, now);
    CHECK(learnedPerMs(speed, settings, 40.0, now) > 45.0);
    recordPrefill(speed, settings, Tokens {20}, Seconds {5}, 50.0, now);
    CHECK(learnedPerMs(speed, settings, 40.0, now) > 45.0);
}

TEST_CASE("the choice uses the learned speeds if the daemons share their load")
{
    RelayFixture fixture;
    setUpEngines(fixture, true);
    learnSpeeds(fixture);
    const auto &stats = fixture.state_.choice_.instanceStats_;
    CHECK(sampledPerMs(stats.at(UpstreamId {"e1"}).speed_) == Approx(fastPerMs).epsilon(0.05));
    int fast = 0;
    for (int i = 0; i < 20; ++i) {
        fixture.now_ += Seconds {15};
        if (serveOne(fixture, Tokens {2000}) == UpstreamId {"e1"})
            ++fast;
    }
    CHECK(fast == 20);
}

TEST_CASE("the predicted speed is the constant if the daemons don't share their load")
{
    RelayFixture fixture;
    setUpEngines(fixture, false);
    learnSpeeds(fixture);
    fixture.now_ += Seconds {60};
    const auto attempt = findCommand<SendAttempt>(
        post(fixture, RequestRead {engineRequest(fixture, Tokens {4000})}));
    REQUIRE(attempt);
    const Choice &choice = *fixture.state_.active_.at(attempt->id_).choice_;
    CHECK(choice.predicted_ == PreciseMicros {Millis {100}});
}

TEST_CASE("a request behind others teaches no speed")
{
    RelayFixture fixture;
    setUpEngines(fixture, true);
    std::vector<SendAttempt> sent;
    for (int i = 0; i < 8; ++i) {
        const auto attempt = findCommand<SendAttempt>(
            post(fixture, RequestRead {engineRequest(fixture, Tokens {800})}));
        REQUIRE(attempt);
        sent.push_back(*attempt);
    }
    for (const SendAttempt &attempt : sent) {
        fixture.now_ += Millis {20};
        post(fixture, OutputStarted {attempt.id_, attempt.attempt_, fixture.now_});
    }
    // Only the first request at each engine found no queue.
    for (const auto &[id, stats] : fixture.state_.choice_.instanceStats_)
        CHECK(stats.speed_.tokens_ == 800.0);
}

TEST_CASE("the speed is forgotten with the process, and a new engine starts with the mean")
{
    RelayFixture fixture;
    setUpEngines(fixture, true);
    learnSpeeds(fixture);
    ListedInstance restarted = makeInstance("e1", "llm", 20);
    restarted.instance_.startedAt_ = WallTime {Seconds {5000}};
    post(fixture, InstanceChanged {restarted, ChangeSource::Store});
    // The other engine is the slow one, so it is the mean.
    post(fixture, InstanceRemoved {UpstreamId {"e2"}, Revision {21}, ChangeSource::Store});
    const auto attempt = findCommand<SendAttempt>(
        post(fixture, RequestRead {engineRequest(fixture, Tokens {2200})}));
    REQUIRE(attempt);
    CHECK(attempt->instance_ == UpstreamId {"e1"});
    const Choice &choice = *fixture.state_.active_.at(attempt->id_).choice_;
    CHECK(choice.prefillPerMs_ == Approx(slowPerMs).epsilon(0.05));
    CHECK(fixture.state_.choice_.instanceStats_.at(UpstreamId {"e1"}).speed_.tokens_ == 0.0);
}

} // namespace tamarack
