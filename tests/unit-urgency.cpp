// Urgency of requests at engines. Guards against a header in deployments that have one priority
// only, and against an order that differs from the one of the configuration.
#include "relayfixture.h"

namespace tamarack {

namespace {

std::optional<int> sentPriority(RelayFixture &fixture, const std::string &route)
{
    RelayRequest request = makeRequest(fixture, route);
    request.usage_ = PromptUsage {Tokens {400}, Tokens {10}, {}};
    const auto attempt = findCommand<SendAttempt>(post(fixture, RequestRead {request}));
    REQUIRE(attempt);
    return attempt->priority_;
}

void setUpPriorities(RelayFixture &fixture, int stream, int resume, std::optional<int> account)
{
    setUp(fixture);
    auto config = makeConfig(2);
    config->routes_[2].priority_ = stream;
    config->routes_[3].priority_ = resume;
    config->accounts_.at(AccountId {"acme"}).prepaid_.reset();
    config->accounts_.at(AccountId {"acme"}).priority_ = account;
    post(fixture, ConfigReceived {config, ChangeSource::Store});
}

} // namespace

TEST_CASE("an engine is told the urgency if the configuration has several priorities")
{
    RelayFixture fixture;
    setUpPriorities(fixture, 1, 2, std::nullopt);
    CHECK(sentPriority(fixture, "stream") == 1);
    CHECK(sentPriority(fixture, "resume") == 2);
}

TEST_CASE("the priority of the account takes precedence at the engine")
{
    RelayFixture fixture;
    setUpPriorities(fixture, 1, 2, 0);
    CHECK(sentPriority(fixture, "stream") == 0);
    CHECK(sentPriority(fixture, "resume") == 0);
}

TEST_CASE("nothing is told to services without engines, or where all requests are as urgent")
{
    RelayFixture several;
    setUpPriorities(several, 1, 2, std::nullopt);
    CHECK(sentPriority(several, "once") == std::nullopt);
    RelayFixture single;
    setUpPriorities(single, 0, 0, std::nullopt);
    CHECK(sentPriority(single, "stream") == std::nullopt);
}

TEST_CASE("priorities out of the range of engines keep their order")
{
    CHECK(enginePriority({-3, 0, 100}, -3) == 0);
    CHECK(enginePriority({-3, 0, 100}, 0) == 1);
    CHECK(enginePriority({-3, 0, 100}, 100) == 2);
    std::set<int> many;
    for (int priority = 0; priority < 40; ++priority)
        many.insert(priority);
    int last = 0;
    for (const int priority : many) {
        const std::optional<int> told = enginePriority(many, priority);
        REQUIRE(told);
        CHECK(*told >= last);
        last = *told;
    }
    CHECK(enginePriority(many, 0) == 0);
    CHECK(last == 9);
}

TEST_CASE("requests that wait for an instance are sent by urgency, then deadline")
{
    RelayFixture fixture;
    setUpPriorities(fixture, 2, 1, std::nullopt);
    post(fixture, InstancesListed {{}, Revision {10}, ChangeSource::Store});
    advanceTime(fixture, Seconds {2});
    const auto wait = [&fixture](const std::string &route, Millis timeout) {
        RelayRequest request = makeRequest(fixture, route);
        request.usage_ = PromptUsage {Tokens {400}, Tokens {10}, {}};
        request.clientTimeout_ = timeout;
        post(fixture, RequestRead {request});
        REQUIRE(fixture.state_.active_.at(request.id_).stage_ == RelayStage::AwaitingInstance);
        return request.id_;
    };
    const ExchangeId late = wait("stream", Millis {1500});
    const ExchangeId soon = wait("stream", Millis {1000});
    const ExchangeId urgentLate = wait("resume", Millis {1500});
    const ExchangeId urgentSoon = wait("resume", Millis {1000});
    const RelayCommands out
        = post(fixture, InstanceChanged {makeInstance("e1", "llm", 11), ChangeSource::Store});
    std::vector<ExchangeId> sent;
    for (const RelayCommand &command : out) {
        if (const auto *attempt = std::get_if<SendAttempt>(&command))
            sent.push_back(attempt->id_);
    }
    CHECK(sent == std::vector<ExchangeId> {urgentSoon, urgentLate, soon, late});
}

} // namespace tamarack
