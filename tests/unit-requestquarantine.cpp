// Quarantine of requests that crash the instances that run them. Guards against such a request
// reaching instance after instance, and against sound requests that are refused.
#include "relayfixture.h"

#include <string>

namespace tamarack {

namespace {

/// Time in which the fleet must have learned of the third crash.
constexpr Millis learningTime {3000};
/// Number of times that a request may be sent after that.
constexpr int allowedSends = 3;

/// The instance ends, and another process starts at its address.
void restartInstance(RelayFixture &fixture, const SendAttempt &attempt, std::uint64_t number)
{
    post(fixture,
         InstanceRemoved {attempt.instance_, Revision {100 + 2 * number}, ChangeSource::Store});
    ListedInstance next = makeInstance("r" + std::to_string(number), "app", 101 + 2 * number);
    next.instance_.address_ = attempt.address_;
    post(fixture, InstanceChanged {next, ChangeSource::Store});
}

} // namespace

TEST_CASE("a request that crashes each instance that runs it is no longer sent after a few crashes")
{
    const std::string route = GENERATE("safe", "once");
    RelayFixture fixture;
    setUp(fixture);
    post(fixture, InstanceChanged {makeInstance("a3", "app", 10), ChangeSource::Store});
    std::optional<MonoTime> thirdCrash;
    std::uint64_t crashes = 0;
    int lateSends = 0;
    RelayCommands out;
    for (int i = 0; i < 30; ++i) {
        out = post(fixture, RequestRead {makeRequest(fixture, route)});
        while (const auto sent = findCommand<SendAttempt>(out)) {
            if (thirdCrash && fixture.now_ > *thirdCrash + learningTime)
                ++lateSends;
            fixture.now_ += Millis {50};
            out = post(fixture, ended(*sent, AttemptEnd::ConnectionLost));
            restartInstance(fixture, *sent, ++crashes);
            if (crashes == 3)
                thirdCrash = fixture.now_;
        }
        advanceTime(fixture, Millis {800});
    }
    CHECK(lateSends <= allowedSends);
    const auto response = findCommand<RespondToClient>(out);
    REQUIRE(response);
    CHECK(response->status_ == 503);
}

} // namespace tamarack
