// Hand-overs of requests whose response has begun, and of the first requests after the links to the
// instances are lost. Guards against responses that are cut although their instance goes on.
#include "takeoverfixture.h"

namespace tamarack {

TEST_CASE("a stream that has begun while its request is handed over goes on at its version")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    const auto first = start(fixture, makeRequest(fixture, "resume"));
    REQUIRE(first);
    REQUIRE_FALSE(first->toPeer_);
    cutOff(fixture);
    // The first attempt has had no output for long.
    std::optional<SendAttempt> second;
    for (int i = 0; i < 20 && !second; ++i) {
        for (const RelayCommand &command : advanceTime(fixture, Millis {100})) {
            const auto *sent = std::get_if<SendAttempt>(&command);
            if (sent && sent->id_ == first->id_)
                second = *sent;
        }
    }
    REQUIRE(second);
    REQUIRE(second->toPeer_);
    // Its output came before the second attempt was sent.
    RelayAttemptEnded superseded = ended(*second, AttemptEnd::Superseded);
    superseded.begunBy_ = first->attempt_;
    superseded.events_ = 11;
    const RelayCommands commands = post(fixture, superseded);
    CHECK_FALSE(findCommand<AbortResponse>(commands));
    const auto third = findCommand<SendAttempt>(commands);
    REQUIRE(third);
    CHECK_FALSE(third->toPeer_);
    CHECK(third->version_ == first->version_);
}

TEST_CASE("daemons that were starting a moment ago take the first requests over")
{
    // A daemon says that it can serve no request until it has a configuration.
    RelayFixture fixture;
    setUpFleet(fixture);
    for (int i = 0; i < peerCount; ++i) {
        PresenceReply starting;
        starting.unable_ = true;
        post(fixture, PresenceReplyReceived {peer(i).host_, starting});
    }
    fixture.now_ += Seconds {1};
    auto attempt = start(fixture, makeRequest(fixture, "safe"));
    while (attempt && !attempt->toPeer_)
        attempt = findCommand<SendAttempt>(post(fixture, ended(*attempt, AttemptEnd::NotSent)));
    REQUIRE(attempt);
    CHECK(attempt->toPeer_);
}

} // namespace tamarack
