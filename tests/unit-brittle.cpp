// Instances that fail if they have to refuse more than a few requests in a second. Guards against
// daemons that together send such an instance more than it has room for.
#include "relayfixture.h"

#include <set>

namespace tamarack {

namespace {

/// A daemon of a fleet, with one instance.
void setUpDaemon(RelayFixture &fixture, int number, int daemons, std::uint32_t slots)
{
    setUp(fixture);
    fixture.state_.settings_.host_ = HostId {"h" + std::to_string(number)};
    for (const char *id : {"a1", "a2"})
        post(fixture, InstanceRemoved {UpstreamId {id}, Revision {40}, ChangeSource::Store});
    advanceTime(fixture, Seconds {2});
    ListedInstance listed = makeInstance("b", "app", 41);
    listed.instance_.slots_ = slots;
    post(fixture, InstanceChanged {listed, ChangeSource::Store});
    fixture.state_.fleet_.daemons_ = static_cast<std::uint32_t>(daemons);
    for (int i = 0; i < daemons; ++i) {
        if (i != number)
            fixture.state_.fleet_.peers_.push_back(
                PeerAddress {HostId {"h" + std::to_string(i)}, ZoneId {"near"}, "x:1", 0});
    }
}

std::optional<SendAttempt> start(RelayFixture &fixture)
{
    return findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "once")}));
}

void state(RelayFixture &fixture, std::optional<double> maxRefusals)
{
    InstanceNotice notice;
    notice.maxRefusals_ = maxRefusals;
    post(fixture, InstanceNoticeReceived {UpstreamId {"b"}, notice});
}

/// Sends one request to the instance, which states its limit, and ends it.
void learn(RelayFixture &fixture, std::optional<double> maxRefusals)
{
    const auto attempt = start(fixture);
    REQUIRE(attempt);
    state(fixture, maxRefusals);
    post(fixture, ended(*attempt, AttemptEnd::Delivered, 200));
}

} // namespace

TEST_CASE("all daemons together send a brittle instance no more than it has slots for")
{
    struct Case
    {
        int daemons_;
        std::uint32_t slots_;
    };
    for (const Case &c : {Case {1, 6}, Case {8, 64}, Case {8, 6}, Case {8, 9}, Case {73, 16}}) {
        INFO(c.daemons_ << " daemons, " << c.slots_ << " slots");
        std::uint32_t sent = 0;
        for (int i = 0; i < c.daemons_; ++i) {
            RelayFixture fixture;
            setUpDaemon(fixture, i, c.daemons_, c.slots_);
            learn(fixture, 5.0);
            for (std::uint32_t request = 0; request < c.slots_; ++request)
                sent += start(fixture) ? 1 : 0;
        }
        CHECK(sent <= c.slots_);
        // Most of the slots are used.
        CHECK(sent * 2 > c.slots_);
    }
}

TEST_CASE("a request that ends makes room for the next one at a brittle instance")
{
    RelayFixture fixture;
    setUpDaemon(fixture, 0, 6, 6);
    learn(fixture, 5.0);
    const auto first = start(fixture);
    REQUIRE(first);
    const RelayCommands waiting = post(fixture, RequestRead {makeRequest(fixture, "once")});
    CHECK(!findCommand<SendAttempt>(waiting));
    CHECK(findCommand<SendAttempt>(post(fixture, ended(*first, AttemptEnd::Delivered, 200))));
}

TEST_CASE("after a refusal, a brittle instance gets no request until the next one may be refused")
{
    RelayFixture fixture;
    setUpDaemon(fixture, 0, 8, 64);
    learn(fixture, 5.0);
    const auto refused = start(fixture);
    REQUIRE(refused);
    post(fixture, ended(*refused, AttemptEnd::NotExecuted, 503));
    // 8 daemons share 5 refusals in a second.
    fixture.now_ += Millis {1590};
    CHECK(!start(fixture));
    fixture.now_ += Millis {20};
    CHECK(start(fixture));
}

TEST_CASE("an instance that does not state it any more gets requests as before")
{
    RelayFixture fixture;
    setUpDaemon(fixture, 0, 6, 6);
    learn(fixture, 5.0);
    REQUIRE(start(fixture));
    CHECK(!start(fixture));
    state(fixture, std::nullopt);
    CHECK(start(fixture));
    CHECK(start(fixture));
}

} // namespace tamarack
