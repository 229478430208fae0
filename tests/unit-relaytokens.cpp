// Admission of requests while tokens are short. Guards against tokens that go to less urgent
// requests, and against requests that wait for tokens that can't arrive.
#include "prepaidfixture.h"
#include "relayfixture.h"

namespace tamarack {

namespace {

constexpr std::int64_t prepaidTotal = 1000;

/// Applies a configuration whose route "once" is more urgent than "safe".
void setUpPriorities(RelayFixture &fixture)
{
    setUp(fixture);
    auto config = makeConfig(2);
    config->routes_[0].priority_ = 0;
    config->routes_[1].priority_ = 2;
    config->accounts_.at(acme).prepaid_ = Tokens {prepaidTotal};
    post(fixture, ConfigReceived {config, ChangeSource::Store});
}

RelayRequest makeTokenRequest(RelayFixture &fixture, const std::string &route, std::int64_t tokens,
                              Millis timeout = Millis {2000})
{
    RelayRequest request = makeRequest(fixture, route);
    request.usage_ = PromptUsage {Tokens {tokens / 2}, Tokens {tokens - tokens / 2}, {}};
    request.clientTimeout_ = timeout;
    return request;
}

/// Executes the store calls among @a out and those that follow.
RelayCommands runCalls(RelayFixture &fixture, FakeStoreKey &storeKey, const RelayCommands &out)
{
    RelayCommands all;
    RelayCommands next = out;
    while (!next.empty()) {
        RelayCommands following;
        for (const RelayCommand &command : next) {
            all.push_back(command);
            const auto *call = std::get_if<SubmitStoreCall>(&command);
            if (!call)
                continue;
            for (RelayCommand &result :
                 post(fixture, StoreReplied {applyStoreCall(storeKey, *call)}))
                following.push_back(std::move(result));
        }
        next = std::move(following);
    }
    return all;
}

std::vector<ExchangeId> sentRequests(const RelayCommands &commands)
{
    std::vector<ExchangeId> sent;
    for (const RelayCommand &command : commands) {
        if (const auto *attempt = std::get_if<SendAttempt>(&command))
            sent.push_back(attempt->id_);
    }
    return sent;
}

} // namespace

TEST_CASE("waiting requests get tokens in the order of urgency, then deadline")
{
    RelayFixture fixture;
    setUpPriorities(fixture);
    FakeStoreKey storeKey;
    const RelayCommands out
        = post(fixture, RequestRead {makeTokenRequest(fixture, "safe", 400, Millis {500})});
    post(fixture, RequestRead {makeTokenRequest(fixture, "once", 400, Millis {1500})});
    post(fixture, RequestRead {makeTokenRequest(fixture, "once", 400, Millis {1000})});
    REQUIRE(fixture.state_.active_.size() == 3);
    const RelayCommands results = runCalls(fixture, storeKey, out);
    // The total covers two of the three requests.
    CHECK(sentRequests(results) == std::vector<ExchangeId> {ExchangeId {3}, ExchangeId {2}});
    CHECK(findCommand<RespondToClient>(results)->id_ == ExchangeId {1});
}

} // namespace tamarack
