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

/// Adds four larger daemons of the zone, so that this daemon is no lender.
void addLenders(RelayFixture &fixture)
{
    fixture.state_.prepaid_.peerAddress_ = "10.0.0.9:1";
    FleetView view {5, 5, {}};
    for (int i = 0; i < 4; ++i) {
        const std::string host = "lender-" + std::to_string(i);
        view.peers_.push_back(PeerAddress {HostId {host}, ZoneId {"near"}, host + ":1", 1000});
    }
    post(fixture, view);
}

/// Returns the loan request among @a commands that asks for tokens, and the lender.
std::optional<std::pair<HostId, LoanRequest>> findLoanRequest(const RelayCommands &commands)
{
    for (const RelayCommand &command : commands) {
        const auto *message = std::get_if<SendPeer>(&command);
        const auto *request = message ? std::get_if<LoanRequest>(&message->message_) : nullptr;
        if (request && request->wanted_ > Tokens {})
            return std::pair {message->host_, *request};
    }
    return std::nullopt;
}

RelayCommands replyToLoan(RelayFixture &fixture, const HostId &lender, Tokens lent,
                          bool unavailable)
{
    LoanReply reply;
    reply.lender_ = HolderId {lender.value_ + "-1"};
    reply.borrower_ = fixture.state_.prepaid_.holder_;
    reply.account_ = acme;
    reply.lent_ = lent;
    reply.unavailable_ = unavailable;
    return post(fixture, LoanReplyReceived {lender, reply});
}

/// Replies to a loan request and those that follow that no lender has tokens.
RelayCommands refuseByAllLenders(RelayFixture &fixture, RelayCommands out)
{
    std::size_t asked = 0;
    while (const auto request = findLoanRequest(out)) {
        ++asked;
        out = replyToLoan(fixture, request->first, Tokens {}, true);
    }
    CHECK(asked == 4);
    return out;
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

TEST_CASE("a request is refused at once when every lender has said that it has no tokens")
{
    // It waited 250 ms although no tokens could arrive.
    RelayFixture fixture;
    setUpPriorities(fixture);
    addLenders(fixture);
    const RelayCommands out = refuseByAllLenders(
        fixture, post(fixture, RequestRead {makeTokenRequest(fixture, "once", 400)}));
    const auto refusal = findCommand<RespondToClient>(out);
    REQUIRE(refusal);
    CHECK(refusal->status_ == 503);
    CHECK(refusal->retryAfter_ > Millis {0});
    SECTION("as are the next ones, without a message")
    {
        const RelayCommands next
            = post(fixture, RequestRead {makeTokenRequest(fixture, "once", 400)});
        CHECK(findCommand<RespondToClient>(next));
        CHECK_FALSE(findLoanRequest(next));
    }
    SECTION("a lender is asked again after a while")
    {
        advanceTime(fixture, fixture.state_.settings_.prepaid_.lenders_.noTokensExclusion_);
        CHECK(findLoanRequest(post(fixture, RequestRead {makeTokenRequest(fixture, "once", 400)})));
    }
}

TEST_CASE("urgent requests that were refused return first")
{
    RelayFixture fixture;
    setUpPriorities(fixture);
    addLenders(fixture);
    Millis latestUrgent {};
    Millis earliestOther {Seconds {3600}};
    const auto refuse = [&](const std::string &route) {
        return findCommand<RespondToClient>(
                   post(fixture, RequestRead {makeTokenRequest(fixture, route, 400)}))
            .value()
            .retryAfter_.value();
    };
    refuseByAllLenders(fixture,
                       post(fixture, RequestRead {makeTokenRequest(fixture, "once", 400)}));
    refuse("safe");
    for (int i = 0; i < 50; ++i) {
        latestUrgent = std::max(latestUrgent, refuse("once"));
        earliestOther = std::min(earliestOther, refuse("safe"));
    }
    CHECK(latestUrgent <= earliestOther);
    // Clients wait up to a third of their time.
    CHECK(earliestOther <= Millis {2000 / 3});
}

TEST_CASE("a borrower whose lenders have no tokens keeps what it holds for urgent requests")
{
    RelayFixture fixture;
    setUpPriorities(fixture);
    addLenders(fixture);
    // Urgent requests use 200 tokens a second.
    const auto first
        = findLoanRequest(post(fixture, RequestRead {makeTokenRequest(fixture, "once", 100)}));
    REQUIRE(first);
    CHECK(first->second.urgency_ == 0);
    replyToLoan(fixture, first->first, Tokens {20'000}, false);
    for (int i = 0; i < 60; ++i) {
        advanceTime(fixture, Millis {500});
        const auto sent = findCommand<SendAttempt>(
            post(fixture, RequestRead {makeTokenRequest(fixture, "once", 100)}));
        REQUIRE(sent);
        post(fixture, ended(*sent, AttemptEnd::Delivered, 200));
    }
    // A large request that the loan does not cover finds the lenders without tokens.
    const Tokens left = reservableTokens(
        fixture.state_.prepaid_.balances_.at(acme).receivedLoans_.begin()->second.grant_);
    RelayCommands out
        = post(fixture, RequestRead {makeTokenRequest(fixture, "safe", left.count_ + 1)});
    std::optional<RespondToClient> refusal;
    while (const auto request = findLoanRequest(out)) {
        CHECK(request->second.urgency_ == 2);
        out = replyToLoan(fixture, request->first,
                          request->first == first->first ? Tokens {20'000} : Tokens {}, true);
    }
    refusal = findCommand<RespondToClient>(out);
    REQUIRE(refusal);
    CHECK(refusal->reason_ == "budget_unconfirmed");
    const RelayCommands large
        = post(fixture, RequestRead {makeTokenRequest(fixture, "safe", left.count_ - 200)});
    refusal = findCommand<RespondToClient>(large);
    REQUIRE(refusal);
    CHECK(refusal->reason_ == "budget_reserved_for_urgent");
    CHECK(refusal->urgency_ == 2);
    CHECK_FALSE(findLoanRequest(large));
    CHECK(findCommand<SendAttempt>(
        post(fixture, RequestRead {makeTokenRequest(fixture, "once", left.count_ - 200)})));
}

} // namespace tamarack
