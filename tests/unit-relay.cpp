// Relay decisions. Guards against a request that runs twice, a "not run" status for a request that
// may have run, a retry that the route does not permit, and a configuration that reverts to an
// older version.
#include "relayfixture.h"

namespace tamarack {

namespace {

SendAttempt sendFirst(RelayFixture &fixture, const std::string &route)
{
    const RelayCommands out = post(fixture, RequestRead {makeRequest(fixture, route)});
    const std::optional<SendAttempt> attempt = findCommand<SendAttempt>(out);
    REQUIRE(attempt);
    return *attempt;
}

} // namespace

TEST_CASE("requests need a known route and a valid key")
{
    RelayFixture fixture;
    SECTION("without a configuration every request is refused as unavailable")
    {
        const auto out = post(fixture, RequestRead {makeRequest(fixture, "nowhere")});
        CHECK(findCommand<RespondToClient>(out)->status_ == 503);
    }
    SECTION("with a configuration")
    {
        setUp(fixture);
        CHECK(findCommand<RespondToClient>(
                  post(fixture, RequestRead {makeRequest(fixture, "nowhere")}))
                  ->status_
              == 404);
        RelayRequest request = makeRequest(fixture, "safe");
        request.key_ = "another";
        CHECK(findCommand<RespondToClient>(post(fixture, RequestRead {request}))->status_ == 401);
        auto config = makeConfig(2);
        config->routes_[1].public_ = true;
        post(fixture, ConfigReceived {config, ChangeSource::Store});
        request.id_ = ExchangeId {99};
        const auto sent = findCommand<SendAttempt>(post(fixture, RequestRead {request}));
        REQUIRE(sent);
        CHECK(sent->account_.isEmpty());
    }
}

TEST_CASE("the longest prefix matches, and the request id selects the service of a split")
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

TEST_CASE("an attempt that ended is retried, forwarded or failed as its route permits")
{
    struct Case
    {
        const char *route_;
        AttemptEnd end_;
        int status_;
        /// The request is sent to another instance.
        bool retried_;
        /// Status code of the response if it is not retried; 0 if the upstream's failure is
        /// forwarded.
        int responseStatus_;
    };
    const Case cases[] {
        {"once", AttemptEnd::NotSent, 0, true, 0},
        {"once", AttemptEnd::NotExecuted, 503, true, 0},
        {"once", AttemptEnd::WrongInstance, 421, true, 0},
        {"once", AttemptEnd::ConnectionLost, 0, false, 502},
        {"once", AttemptEnd::Malformed, 200, false, 502},
        {"once", AttemptEnd::Failed, 500, false, 0},
        // Without the "not executed" header, 503 doesn't show whether the request ran.
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
        const auto second = findCommand<SendAttempt>(out);
        CHECK(second.has_value() == c.retried_);
        if (second) {
            CHECK(second->instance_ != first.instance_);
            CHECK(second->attempt_ == 2);
            continue;
        }
        if (c.responseStatus_ == 0) {
            CHECK(findCommand<ForwardFailure>(out));
            continue;
        }
        REQUIRE(findCommand<RespondToClient>(out));
        CHECK(findCommand<RespondToClient>(out)->status_ == c.responseStatus_);
    }
}

TEST_CASE("a request that no upstream ran is refused with 503 and Retry-After")
{
    RelayFixture fixture;
    setUp(fixture);
    const SendAttempt first = sendFirst(fixture, "once");
    const auto second
        = findCommand<SendAttempt>(post(fixture, ended(first, AttemptEnd::NotExecuted, 503)));
    REQUIRE(second);
    const auto response
        = findCommand<RespondToClient>(post(fixture, ended(*second, AttemptEnd::NotSent)));
    REQUIRE(response);
    CHECK(response->status_ == 503);
    REQUIRE(response->retryAfter_);
    CHECK(*response->retryAfter_ <= Millis {4000} / 3);
}

TEST_CASE("a request that may have run is never refused as not run")
{
    RelayFixture fixture;
    setUp(fixture);
    const SendAttempt first = sendFirst(fixture, "safe");
    const auto second
        = findCommand<SendAttempt>(post(fixture, ended(first, AttemptEnd::ConnectionLost)));
    REQUIRE(second);
    post(fixture, ended(*second, AttemptEnd::NotExecuted, 503));
    // No third instance becomes available.
    const auto response = findCommand<RespondToClient>(advanceTime(fixture, Millis {50}));
    REQUIRE(response);
    CHECK(response->status_ == 502);
}

TEST_CASE("an interrupted stream is resumed only if its route is resumable")
{
    RelayFixture fixture;
    setUp(fixture);
    const bool resumable = GENERATE(false, true);
    const SendAttempt first = sendFirst(fixture, resumable ? "resume" : "stream");
    post(fixture, OutputStarted {first.id_, 1, fixture.now_});
    RelayAttemptEnded interrupted = ended(first, AttemptEnd::ConnectionLost);
    interrupted.events_ = 4;
    interrupted.partiallyDelivered_ = true;
    const RelayCommands out = post(fixture, interrupted);
    CHECK(findCommand<SendAttempt>(out).has_value() == resumable);
    CHECK(findCommand<AbortResponse>(out).has_value() != resumable);
}

TEST_CASE("timeouts of requests and attempts")
{
    RelayFixture fixture;
    setUp(fixture);
    SECTION("a non-retryable request without output waits until the route's timeout")
    {
        const SendAttempt first = sendFirst(fixture, "once");
        CHECK(first.deadline_ == fixture.now_ + Millis {2000});
        CHECK(advanceTime(fixture, Millis {1999}).empty());
        CHECK(findCommand<RespondToClient>(advanceTime(fixture, Millis {1}))->status_ == 504);
        CHECK(fixture.state_.active_.empty());
    }
    SECTION("a retryable request without output is sent to another instance")
    {
        const SendAttempt first = sendFirst(fixture, "safe");
        const auto second = findCommand<SendAttempt>(advanceTime(fixture, Millis {800}));
        REQUIRE(second);
        CHECK(second->instance_ != first.instance_);
    }
    SECTION("a delivered response ends the request although a retry was just started")
    {
        const SendAttempt first = sendFirst(fixture, "safe");
        REQUIRE(findCommand<SendAttempt>(advanceTime(fixture, Millis {800})));
        post(fixture, ended(first, AttemptEnd::Delivered, 200));
        CHECK(fixture.state_.active_.empty());
    }
    SECTION("a response that has started is aborted at the timeout")
    {
        const SendAttempt first = sendFirst(fixture, "stream");
        post(fixture, OutputStarted {first.id_, 1, fixture.now_});
        CHECK(findCommand<AbortResponse>(advanceTime(fixture, Millis {2000})));
    }
}

TEST_CASE("retries of all daemons stay within one limit")
{
    RelayFixture fixture;
    setUp(fixture);
    fixture.state_.settings_.retries_ = SharedRetryLimit {0.2, 56.0, Seconds {10}};
    post(fixture, FleetView {8, 3, {}});
    int retries = 0;
    constexpr int requests = 200;
    for (int i = 0; i < requests; ++i) {
        // Reverts ejections, which this test does not cover.
        fixture.state_.choice_.instanceStats_.clear();
        const SendAttempt first = sendFirst(fixture, "safe");
        const auto second
            = findCommand<SendAttempt>(post(fixture, ended(first, AttemptEnd::ConnectionLost)));
        if (second) {
            ++retries;
            post(fixture, ended(*second, AttemptEnd::Delivered, 200));
        }
    }
    CHECK(retries > 0);
    CHECK(retries <= requests * 0.2 + 56.0 / 8);
}

TEST_CASE("a daemon of a large fleet retries within the shared limit")
{
    // The daemon's part of the additional retries is less than one. This must not block its retries
    // per request.
    RelayFixture fixture;
    setUp(fixture);
    constexpr double share = 0.2;
    constexpr double extra = 196.0;
    constexpr std::uint32_t daemons = 78;
    fixture.state_.settings_.retries_ = SharedRetryLimit {share, extra, Seconds {10}};
    post(fixture, FleetView {daemons, daemons, {}});
    int retries = 0;
    constexpr int windows = 10;
    constexpr int requests = windows * 50;
    for (int i = 0; i < requests; ++i) {
        advanceTime(fixture, Millis {200});
        fixture.state_.choice_.instanceStats_.clear();
        const SendAttempt first = sendFirst(fixture, "safe");
        const auto second
            = findCommand<SendAttempt>(post(fixture, ended(first, AttemptEnd::ConnectionLost)));
        if (second) {
            ++retries;
            post(fixture, ended(*second, AttemptEnd::Delivered, 200));
        }
    }
    CHECK(retries > requests * share / 2);
    CHECK(retries <= requests * share + windows * extra / daemons);
}

TEST_CASE("an older configuration is ignored, whatever its source")
{
    RelayFixture fixture;
    setUp(fixture);
    post(fixture, ConfigReceived {makeConfig(5), ChangeSource::Peer});
    post(fixture, ConfigReceived {makeConfig(4), ChangeSource::Store});
    CHECK(fixture.state_.config_->version_ == ConfigVersion {5});
}

TEST_CASE("a request keeps the configuration of its admission")
{
    RelayFixture fixture;
    setUp(fixture);
    const SendAttempt first = sendFirst(fixture, "safe");
    auto config = makeConfig(2);
    config->routes_.clear();
    post(fixture, ConfigReceived {config, ChangeSource::Store});
    CHECK(findCommand<SendAttempt>(post(fixture, ended(first, AttemptEnd::ConnectionLost))));
}

TEST_CASE("a stopping daemon takes no request that it might have to interrupt")
{
    // Such requests were sent to an upstream and cut at the end of the stop, without a response,
    // although they may not be sent again.
    struct Case
    {
        const char *route_;
        Seconds clientTimeout_;
        bool accepted_;
    };
    const Case cases[] {
        {"once", Seconds {6}, true},    {"once", Seconds {9}, false}, {"stream", Seconds {6}, true},
        {"stream", Seconds {9}, false}, {"safe", Seconds {6}, true},  {"safe", Seconds {9}, true},
        {"resume", Seconds {9}, true},
    };
    for (const Case &c : cases) {
        INFO(c.route_ << ' ' << c.clientTimeout_.count());
        RelayFixture fixture;
        setUp(fixture);
        auto config = makeConfig(2);
        for (RelayRoute &route : config->routes_)
            route.timeout_ = Seconds {20};
        post(fixture, ConfigReceived {config, ChangeSource::Store});
        RelayRequest before = makeRequest(fixture, c.route_);
        before.clientTimeout_ = Seconds {9};
        CHECK(findCommand<SendAttempt>(post(fixture, RequestRead {before})));
        post(fixture, RelayStopRequested {fixture.now_ + Seconds {8}});
        RelayRequest request = makeRequest(fixture, c.route_);
        request.clientTimeout_ = c.clientTimeout_;
        const auto commands = post(fixture, RequestRead {request});
        CHECK(findCommand<SendAttempt>(commands).has_value() == c.accepted_);
        if (c.accepted_)
            continue;
        const auto refusal = findCommand<RespondToClient>(commands);
        REQUIRE(refusal);
        CHECK(refusal->status_ == 503);
        CHECK(refusal->reason_ == "stopping");
        // Other daemons can take it at once.
        REQUIRE(refusal->retryAfter_.has_value());
        CHECK(*refusal->retryAfter_ <= Millis {100});
    }
}

TEST_CASE("readiness and graceful shutdown")
{
    RelayFixture fixture;
    auto config = makeConfig();
    config->routes_[0].timeout_ = Seconds {10};
    post(fixture, ConfigReceived {config, ChangeSource::Store});
    CHECK(!fixture.state_.ready_);
    const auto listed
        = post(fixture,
               InstancesListed {{makeInstance("a1", "app", 2)}, Revision {2}, ChangeSource::Store});
    REQUIRE(findCommand<SetReady>(listed));
    CHECK(findCommand<SetReady>(listed)->ready_);
    const SendAttempt running = sendFirst(fixture, "once");
    const auto stopping = post(fixture, RelayStopRequested {fixture.now_ + Seconds {8}});
    CHECK(!findCommand<SetReady>(stopping)->ready_);
    REQUIRE(findCommand<SetKeepAlive>(stopping));
    CHECK(!findCommand<SetKeepAlive>(stopping)->enabled_);
    CHECK(!findCommand<RelayStopCompleted>(advanceTime(fixture, Millis {1500})));
    CHECK(!findCommand<CloseIdleConnections>(advanceTime(fixture, Millis {300})));
    fixture.now_ += Millis {1200};
    const auto lingered = advanceTime(fixture, Millis {100});
    CHECK(findCommand<CloseIdleConnections>(lingered));
    SECTION("a late request that may outlast the stop is refused instead of interrupted")
    {
        RelayRequest late = makeRequest(fixture, "once");
        late.clientTimeout_ = Seconds {10};
        const auto refusal = findCommand<RespondToClient>(post(fixture, RequestRead {late}));
        REQUIRE(refusal);
        CHECK(refusal->status_ == 503);
        CHECK(refusal->retryAfter_.has_value());
        // A shorter request ends before the stop deadline.
        CHECK(findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "safe")})));
    }
    SECTION("the stop completes after the last response was delivered, not with its decision")
    {
        // The process exited before the front end had sent the upstream's failure.
        const auto failed = post(fixture, ended(running, AttemptEnd::Failed, 500));
        CHECK(findCommand<ForwardFailure>(failed));
        CHECK(!findCommand<RelayStopCompleted>(failed));
        CHECK(findCommand<CloseClients>(failed));
        CHECK(findCommand<RelayStopCompleted>(post(fixture, ClientsClosed {})));
    }
    SECTION("a request that arrives while the connections are being closed gets a response")
    {
        post(fixture, ended(running, AttemptEnd::Delivered, 200));
        const SendAttempt late = sendFirst(fixture, "safe");
        CHECK(!findCommand<RelayStopCompleted>(advanceTime(fixture, Millis {100})));
        post(fixture, ended(late, AttemptEnd::Delivered, 200));
        CHECK(findCommand<RelayStopCompleted>(post(fixture, ClientsClosed {})));
    }
    SECTION("requests that still run at the end get a response before the process exits")
    {
        // They were cut without one.
        const SendAttempt begun = sendFirst(fixture, "safe");
        post(fixture, OutputStarted {begun.id_, begun.attempt_, fixture.now_});
        // The log is written after that, and the process is killed 8 s after the signal.
        const auto last = advanceTime(fixture, Millis {4300});
        const auto response = findCommand<RespondToClient>(last);
        REQUIRE(response);
        CHECK(response->id_ == running.id_);
        CHECK(response->status_ == 504);
        REQUIRE(findCommand<AbortResponse>(last));
        CHECK(findCommand<AbortResponse>(last)->id_ == begun.id_);
        CHECK(findCommand<CloseClients>(last));
        CHECK(!findCommand<RelayStopCompleted>(last));
        SECTION("at once when they are delivered")
        {
            CHECK(findCommand<RelayStopCompleted>(post(fixture, ClientsClosed {})));
        }
        SECTION("at the latest before the process is killed")
        {
            REQUIRE(nextDueTime(fixture.state_));
            fixture.now_ = *nextDueTime(fixture.state_);
            CHECK(findCommand<RelayStopCompleted>(runDueWork(fixture.state_, fixture.now_)));
            CHECK(fixture.now_ <= fixture.state_.stopRequestedAt_.value() + Millis {7700});
        }
    }
}

} // namespace tamarack
