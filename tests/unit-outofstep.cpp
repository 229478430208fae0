// Streams that clients take up at a daemon that stood still or was cut off while instances of
// another software version joined. Guards against a stream that goes on at another version, because
// what the daemon knows is older than it looks.
#include "streamversionfixture.h"

namespace tamarack {

namespace {

/// How long the daemon stands still or hears from nobody.
constexpr Millis absence {4000};

/// Lets time pass in which other daemons reply to requests for documents.
/// @param contactAge nothing if they have no contact to the store
void passTime(RelayFixture &fixture, Millis time, std::optional<Millis> contactAge)
{
    constexpr Millis step {100};
    for (Millis passed {}; passed < time; passed += step) {
        for (const RelayCommand &command : advanceTime(fixture, step)) {
            const auto *asked = std::get_if<RequestPeerDocuments>(&command);
            if (!asked)
                continue;
            for (const PeerAddress &peer : asked->peers_)
                post(fixture, DocumentsReplyReceived {peer.host_, contactAge});
        }
    }
}

/// A daemon that is in step with the others.
RelayFixture makeFixture()
{
    RelayFixture fixture;
    fixture.state_.settings_.host_ = HostId {"me"};
    setUpVersions(fixture);
    addPeers(fixture, 3);
    passTime(fixture, Seconds {10}, Millis {100});
    return fixture;
}

/// Takes a stream up that began at the first version.
std::optional<SendAttempt> takeUpKnown(RelayFixture &fixture)
{
    tell(fixture, "b1", v1);
    return start(fixture, takeUp(fixture, "b1"));
}

} // namespace

TEST_CASE("a daemon in step continues streams whose version is known")
{
    RelayFixture fixture = makeFixture();
    SECTION("while the store is in reach") { }
    SECTION("while the store is away for all")
    {
        passTime(fixture, Seconds {10}, std::nullopt);
    }
    const auto attempt = takeUpKnown(fixture);
    REQUIRE(attempt);
    CHECK(versionOf(fixture, *attempt) == v1.version_);
}

TEST_CASE("a daemon that stood still continues no stream at instances that may have been replaced")
{
    const bool isCounted = GENERATE(true, false);
    INFO(isCounted);
    RelayFixture fixture = makeFixture();
    if (isCounted) {
        fixture.now_ += absence;
    } else {
        post(fixture, MachineResumed {});
        // The confirmations of the versions are renewed first.
        confirmVersions(fixture);
    }
    CHECK_FALSE(takeUpKnown(fixture));
    SECTION("until it is in step again")
    {
        passTime(fixture, Seconds {6}, Millis {100});
        CHECK(takeUpKnown(fixture));
    }
}

TEST_CASE(
    "a daemon that heard from nobody continues no stream at instances that may have been replaced")
{
    RelayFixture fixture = makeFixture();
    advanceTime(fixture, absence / 2);
    advanceTime(fixture, absence / 2);
    CHECK_FALSE(takeUpKnown(fixture));
}

TEST_CASE("a daemon without others continues streams while the store is away")
{
    RelayFixture fixture;
    setUpVersions(fixture);
    post(fixture, ConfigFeedReplied {});
    advanceTime(fixture, absence);
    CHECK(takeUpKnown(fixture));
}

TEST_CASE("a stream that breaks off while a daemon stands still does not go on at once")
{
    RelayFixture fixture = makeFixture();
    const auto first = start(fixture, makeRequest(fixture, "resume"));
    REQUIRE(first);
    startOutput(fixture, *first);
    // Less than the timeout of the route.
    constexpr Millis standstill {1500};
    fixture.state_.settings_.sync_.maxSilence_ = Millis {1000};
    fixture.now_ += standstill;
    CHECK_FALSE(findCommand<SendAttempt>(breakOff(fixture, *first)));
}

TEST_CASE("the record of the versions settles no stream for a daemon that is out of step")
{
    // A daemon of an earlier release begins streams at versions that the record does not have.
    RelayFixture fixture;
    fixture.state_.settings_.host_ = HostId {"me"};
    setUp(fixture);
    const auto takesUp = [&fixture] {
        RelayCommands commands = post(fixture, RequestRead {takeUp(fixture, "b1")});
        auto call = findCommand<SubmitStoreCall>(commands);
        for (int i = 0; i < 3 && !call; ++i)
            call = findCommand<SubmitStoreCall>(advanceTime(fixture, Millis {50}));
        if (!call)
            return false;
        commands = post(fixture, StoreReplied {recordReply(*call, {v1})});
        return findCommand<SendAttempt>(commands).has_value();
    };
    addPeers(fixture, 3);
    passTime(fixture, Seconds {10}, Millis {100});
    // Nobody remembers the stream.
    fixture.state_.limits_.address_.clear();
    CHECK(takesUp());
    fixture.now_ += absence;
    CHECK_FALSE(takesUp());
}

} // namespace tamarack
