// The relay's decisions. Guards against a request that runs twice, a refusal that promises "not
// run" though the request may have run, a repeat without permission, and a configuration that goes
// back.
#include "relayfixture.h"

namespace tamarack {

namespace {

SendAttempt sendFirst(RelayFixture &fixture, const std::string &route)
{
    const RelayCommands out = post(fixture, RequestRead {makeRequest(fixture, route)});
    const std::optional<SendAttempt> attempt = find<SendAttempt>(out);
    REQUIRE(attempt);
    return *attempt;
}

} // namespace

TEST_CASE("access to routes")
{
    RelayFixture fixture;
    SECTION("without a configuration nothing is said about routes or keys")
    {
        const auto out = post(fixture, RequestRead {makeRequest(fixture, "nowhere")});
        CHECK(find<RespondToClient>(out)->status_ == 503);
    }
    SECTION("with one")
    {
        setUp(fixture);
        CHECK(find<RespondToClient>(post(fixture, RequestRead {makeRequest(fixture, "nowhere")}))
                  ->status_
              == 404);
        RelayRequest request = makeRequest(fixture, "safe");
        request.key_ = "another";
        CHECK(find<RespondToClient>(post(fixture, RequestRead {request}))->status_ == 401);
        auto config = makeConfig(2);
        config->routes_[1].public_ = true;
        post(fixture, ConfigReceived {config, ChangeSource::Store});
        request.id_ = ExchangeId {99};
        const auto sent = find<SendAttempt>(post(fixture, RequestRead {request}));
        REQUIRE(sent);
        CHECK(sent->account_.isEmpty());
    }
}

TEST_CASE("the longest prefix wins, and a split follows the request's id")
{
    auto config = makeConfig();
    RelayRoute longer = makeRoute("safe", RetryPolicy::AtMostOnce, "llm");
    longer.pathPrefix_ = "/safe/deep/";
    longer.targets_ = {RelayTarget {ServiceId {"x"}, 90}, RelayTarget {ServiceId {"y"}, 10},
                       RelayTarget {ServiceId {"z"}, 0}};
    config->routes_.push_back(longer);
    CHECK(findRoute(*config, "H:8080", "/safe/deep/1?q=/safe/")->pathPrefix_ == "/safe/deep/");
    CHECK(findRoute(*config, "h", "/safe/deeper")->pathPrefix_ == "/safe/");
    CHECK(!findRoute(*config, "h", "/safe"));
    CHECK(!findRoute(*config, "g", "/safe/1"));
    int first = 0;
    constexpr int requests = 2000;
    for (int i = 0; i < requests; ++i) {
        const auto services = servicesInOrder(longer, RequestId {std::to_string(i)});
        REQUIRE(services.size() == 2);
        first += services.front() == ServiceId {"x"} ? 1 : 0;
    }
    CHECK(first > requests * 85 / 100);
    CHECK(first < requests * 95 / 100);
}

TEST_CASE("the end of an attempt")
{
    struct Case
    {
        const char *route_;
        AttemptEnd end_;
        int status_;
        /// The request is sent to another instance.
        bool repeated_;
        /// Status of the answer if it is not; 0 if the upstream's failure is passed on.
        int answer_;
    };
    const Case cases[] {
        {"once", AttemptEnd::NotSent, 0, true, 0},
        {"once", AttemptEnd::NotExecuted, 503, true, 0},
        {"once", AttemptEnd::WrongInstance, 421, true, 0},
        {"once", AttemptEnd::ConnectionLost, 0, false, 502},
        {"once", AttemptEnd::Malformed, 200, false, 502},
        {"once", AttemptEnd::Failed, 500, false, 0},
        // Without the mark of a refusal, 503 says nothing about whether the request ran.
        {"once", AttemptEnd::Failed, 503, false, 502},
        {"once", AttemptEnd::Failed, 429, false, 502},
        {"stream", AttemptEnd::ConnectionLost, 0, false, 502},
        {"safe", AttemptEnd::ConnectionLost, 0, true, 0},
        {"safe", AttemptEnd::Failed, 500, true, 0},
        {"safe", AttemptEnd::Malformed, 0, true, 0},
        {"resume", AttemptEnd::ConnectionLost, 0, true, 0},
    };
    for (const Case &c : cases) {
        INFO(c.route_ << " " << attemptEndCode(c.end_) << " " << c.status_);
        RelayFixture fixture;
        setUp(fixture);
        const SendAttempt first = sendFirst(fixture, c.route_);
        const RelayCommands out = post(fixture, ended(first, c.end_, c.status_));
        const auto second = find<SendAttempt>(out);
        CHECK(second.has_value() == c.repeated_);
        if (second) {
            CHECK(second->instance_ != first.instance_);
            CHECK(second->attempt_ == 2);
            continue;
        }
        if (c.answer_ == 0) {
            CHECK(find<ForwardFailure>(out));
            continue;
        }
        REQUIRE(find<RespondToClient>(out));
        CHECK(find<RespondToClient>(out)->status_ == c.answer_);
    }
}

TEST_CASE("a refused request that no upstream ran is told so, with a time to come back")
{
    RelayFixture fixture;
    setUp(fixture);
    const SendAttempt first = sendFirst(fixture, "once");
    const auto second
        = find<SendAttempt>(post(fixture, ended(first, AttemptEnd::NotExecuted, 503)));
    REQUIRE(second);
    const auto answer = find<RespondToClient>(post(fixture, ended(*second, AttemptEnd::NotSent)));
    REQUIRE(answer);
    CHECK(answer->status_ == 503);
    REQUIRE(answer->retryAfter_);
    CHECK(*answer->retryAfter_ <= Millis {4000} / 3);
}

TEST_CASE("after one attempt that may have run, no later refusal promises otherwise")
{
    RelayFixture fixture;
    setUp(fixture);
    const SendAttempt first = sendFirst(fixture, "safe");
    const auto second = find<SendAttempt>(post(fixture, ended(first, AttemptEnd::ConnectionLost)));
    REQUIRE(second);
    post(fixture, ended(*second, AttemptEnd::NotExecuted, 503));
    // No third instance turns up.
    const auto answer = find<RespondToClient>(pass(fixture, Millis {50}));
    REQUIRE(answer);
    CHECK(answer->status_ == 502);
}

TEST_CASE("streams that began")
{
    RelayFixture fixture;
    setUp(fixture);
    const bool resumable = GENERATE(false, true);
    const SendAttempt first = sendFirst(fixture, resumable ? "resume" : "stream");
    post(fixture, OutputStarted {first.id_, 1, fixture.now_});
    RelayAttemptEnded cut = ended(first, AttemptEnd::ConnectionLost);
    cut.events_ = 4;
    cut.partiallyDelivered_ = true;
    const RelayCommands out = post(fixture, cut);
    CHECK(find<SendAttempt>(out).has_value() == resumable);
    CHECK(find<AbortResponse>(out).has_value() != resumable);
}

TEST_CASE("time limits")
{
    RelayFixture fixture;
    setUp(fixture);
    SECTION("a silent request that runs once waits until the route's timeout")
    {
        const SendAttempt first = sendFirst(fixture, "once");
        CHECK(first.deadline_ == fixture.now_ + Millis {2000});
        CHECK(pass(fixture, Millis {1999}).empty());
        CHECK(find<RespondToClient>(pass(fixture, Millis {1}))->status_ == 504);
        CHECK(fixture.state_.active_.empty());
    }
    SECTION("a silent repeatable request is sent to another instance")
    {
        const SendAttempt first = sendFirst(fixture, "safe");
        const auto second = find<SendAttempt>(pass(fixture, Millis {800}));
        REQUIRE(second);
        CHECK(second->instance_ != first.instance_);
    }
    SECTION("an answer that went out ends the request although a repeat was just ordered")
    {
        const SendAttempt first = sendFirst(fixture, "safe");
        REQUIRE(find<SendAttempt>(pass(fixture, Millis {800})));
        post(fixture, ended(first, AttemptEnd::Delivered, 200));
        CHECK(fixture.state_.active_.empty());
    }
    SECTION("a begun answer is cut at the timeout")
    {
        const SendAttempt first = sendFirst(fixture, "stream");
        post(fixture, OutputStarted {first.id_, 1, fixture.now_});
        CHECK(find<AbortResponse>(pass(fixture, Millis {2000})));
    }
}

TEST_CASE("repeats share one limit over all daemons")
{
    RelayFixture fixture;
    setUp(fixture);
    fixture.state_.settings_.retries_ = SharedRetryLimit {0.2, 56.0, Seconds {10}};
    post(fixture, FleetCounted {8, 3, {}});
    int repeats = 0;
    constexpr int requests = 200;
    for (int i = 0; i < requests; ++i) {
        // Ejection is not at issue here.
        fixture.state_.choice_.records_.clear();
        const SendAttempt first = sendFirst(fixture, "safe");
        const auto second
            = find<SendAttempt>(post(fixture, ended(first, AttemptEnd::ConnectionLost)));
        if (second) {
            ++repeats;
            post(fixture, ended(*second, AttemptEnd::Delivered, 200));
        }
    }
    CHECK(repeats > 0);
    CHECK(repeats <= requests * 0.2 + 56.0 / 8);
}

TEST_CASE("a daemon of a large fleet repeats within the shared limit")
{
    // Its part of the fixed repeats is less than one, which must not keep it from its other part.
    RelayFixture fixture;
    setUp(fixture);
    constexpr double share = 0.2;
    constexpr double extra = 196.0;
    constexpr std::uint32_t daemons = 78;
    fixture.state_.settings_.retries_ = SharedRetryLimit {share, extra, Seconds {10}};
    post(fixture, FleetCounted {daemons, daemons, {}});
    int repeats = 0;
    constexpr int windows = 10;
    constexpr int requests = windows * 50;
    for (int i = 0; i < requests; ++i) {
        pass(fixture, Millis {200});
        fixture.state_.choice_.records_.clear();
        const SendAttempt first = sendFirst(fixture, "safe");
        const auto second
            = find<SendAttempt>(post(fixture, ended(first, AttemptEnd::ConnectionLost)));
        if (second) {
            ++repeats;
            post(fixture, ended(*second, AttemptEnd::Delivered, 200));
        }
    }
    CHECK(repeats > requests * share / 2);
    CHECK(repeats <= requests * share + windows * extra / daemons);
}

TEST_CASE("a configuration never goes back, whoever tells it")
{
    RelayFixture fixture;
    setUp(fixture);
    post(fixture, ConfigReceived {makeConfig(5), ChangeSource::Peer});
    post(fixture, ConfigReceived {makeConfig(4), ChangeSource::Store});
    CHECK(fixture.state_.config_->version_ == ConfigVersion {5});
}

TEST_CASE("a request belongs to the version that it was admitted under")
{
    RelayFixture fixture;
    setUp(fixture);
    const SendAttempt first = sendFirst(fixture, "safe");
    auto config = makeConfig(2);
    config->routes_.clear();
    post(fixture, ConfigReceived {config, ChangeSource::Store});
    CHECK(find<SendAttempt>(post(fixture, ended(first, AttemptEnd::ConnectionLost))));
}

TEST_CASE("readiness and the planned stop")
{
    RelayFixture fixture;
    auto config = makeConfig();
    config->routes_[0].timeout_ = Seconds {10};
    post(fixture, ConfigReceived {config, ChangeSource::Store});
    CHECK(!fixture.state_.ready_);
    const auto listed
        = post(fixture,
               InstancesListed {{makeInstance("a1", "app", 2)}, Revision {2}, ChangeSource::Store});
    REQUIRE(find<SetReady>(listed));
    CHECK(find<SetReady>(listed)->ready_);
    const SendAttempt running = sendFirst(fixture, "once");
    const auto stopping = post(fixture, RelayStopRequested {fixture.now_ + Seconds {8}});
    CHECK(!find<SetReady>(stopping)->ready_);
    CHECK(find<DisableKeepAlive>(stopping));
    CHECK(!find<RelayStopCompleted>(pass(fixture, Millis {1500})));
    CHECK(!find<CloseIdleConnections>(pass(fixture, Millis {300})));
    fixture.now_ += Millis {1200};
    const auto lingered = pass(fixture, Millis {100});
    CHECK(find<CloseIdleConnections>(lingered));
    SECTION("a late request that may outlast the stop is refused instead of cut")
    {
        RelayRequest late = makeRequest(fixture, "once");
        late.clientTimeout_ = Seconds {10};
        const auto refusal = find<RespondToClient>(post(fixture, RequestRead {late}));
        REQUIRE(refusal);
        CHECK(refusal->status_ == 503);
        CHECK(refusal->retryAfter_.has_value());
        // A shorter one ends in time.
        CHECK(find<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "safe")})));
    }
    SECTION("the last answer ends it")
    {
        CHECK(find<RelayStopCompleted>(post(fixture, ended(running, AttemptEnd::Delivered, 200))));
    }
}

} // namespace tamarack
