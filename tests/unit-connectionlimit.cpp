// Requests of a daemon that uses all connections that it may open to the instances of a service.
// Guards against a limit of this daemon that is taken for a failure of the instance, which then got
// no requests of it for up to 4 s, and against requests that are refused while a connection
// becomes free.
#include "relayfixture.h"

namespace tamarack {

namespace {

/// One connection to each of the two instances of each service.
void setUpWithOneConnection(RelayFixture &fixture)
{
    setUp(fixture);
    auto config = makeConfig(2);
    config->services_.at(ServiceId {"app"}).maxConnections_ = 1;
    config->routes_[0].priority_ = 1;
    post(fixture, ConfigReceived {config, ChangeSource::Store});
}

std::optional<SendAttempt> sendRequest(RelayFixture &fixture, const std::string &route)
{
    return findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, route)}));
}

} // namespace

TEST_CASE("a connection limit of this daemon does not eject the instance")
{
    RelayFixture fixture;
    setUp(fixture);
    const auto attempt = sendRequest(fixture, "safe");
    REQUIRE(attempt);
    RelayAttemptEnded limited = ended(*attempt, AttemptEnd::NotSent);
    limited.connectionsUsed_ = true;
    post(fixture, limited);
    const InstanceStats &stats = fixture.state_.choice_.instanceStats_.at(attempt->instance_);
    CHECK(stats.ejectedUntil_ <= fixture.now_);
    CHECK(stats.failureRate_ == 0.0);
}

TEST_CASE("a failed connection ejects the instance")
{
    RelayFixture fixture;
    setUp(fixture);
    const auto attempt = sendRequest(fixture, "safe");
    REQUIRE(attempt);
    post(fixture, ended(*attempt, AttemptEnd::NotSent));
    CHECK(fixture.state_.choice_.instanceStats_.at(attempt->instance_).ejectedUntil_
          > fixture.now_);
}

TEST_CASE("instances without a free connection are not chosen")
{
    RelayFixture fixture;
    setUpWithOneConnection(fixture);
    const auto first = sendRequest(fixture, "safe");
    const auto second = sendRequest(fixture, "safe");
    REQUIRE(first);
    REQUIRE(second);
    CHECK(first->instance_ != second->instance_);
    CHECK_FALSE(sendRequest(fixture, "safe"));
}

TEST_CASE("a free connection goes to the most urgent request that waits")
{
    RelayFixture fixture;
    setUpWithOneConnection(fixture);
    const auto running = sendRequest(fixture, "safe");
    REQUIRE(running);
    REQUIRE(sendRequest(fixture, "safe"));
    CHECK_FALSE(sendRequest(fixture, "once"));
    CHECK_FALSE(sendRequest(fixture, "safe"));
    const ExchangeId urgent {fixture.lastExchange_};
    const auto next
        = findCommand<SendAttempt>(post(fixture, ended(*running, AttemptEnd::Delivered, 200)));
    REQUIRE(next);
    CHECK(next->id_ == urgent);
    CHECK(next->instance_ == running->instance_);
}

TEST_CASE("a request that gets no connection in time is refused as not run")
{
    RelayFixture fixture;
    setUpWithOneConnection(fixture);
    REQUIRE(sendRequest(fixture, "safe"));
    REQUIRE(sendRequest(fixture, "safe"));
    CHECK_FALSE(sendRequest(fixture, "safe"));
    const auto refusal = findCommand<RespondToClient>(advanceTime(fixture, Millis {60}));
    REQUIRE(refusal);
    CHECK(refusal->status_ == 503);
}

} // namespace tamarack
