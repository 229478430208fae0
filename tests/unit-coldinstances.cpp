// Which instances count as cold, and for how long. Guards against full load on an instance that has
// just started, and against an instance that stays limited although it is warm.
#include "relayfixture.h"

namespace tamarack {

namespace {

const UpstreamId id {"e1"};
constexpr Millis coldStart {3000};
const MonoTime start {Seconds {1000}};

ListedInstance entry(std::uint64_t revision, int process, Millis remaining = Millis {})
{
    ListedInstance listed = makeInstance("e1", "llm", revision);
    listed.instance_.startedAt_ = WallTime {Seconds {process}};
    listed.instance_.coldRemaining_ = remaining;
    return listed;
}

std::optional<ColdCause> causeAt(const ColdInstances &cold, MonoTime now)
{
    const std::optional<ColdPeriod> period = coldPeriod(cold, id, coldStart, now);
    return period ? std::optional(period->cause_) : std::nullopt;
}

/// An instance that was warm in the first complete listing.
ColdInstances makeWarm()
{
    ColdInstances cold;
    recordEntry(cold, entry(1, 10), true, start);
    return cold;
}

} // namespace

TEST_CASE("an instance of the first listing is cold only as far as its entry says")
{
    CHECK(!causeAt(makeWarm(), start));
    ColdInstances cold;
    recordEntry(cold, entry(1, 10, Millis {800}), true, start);
    CHECK(causeAt(cold, start + Millis {799}) == ColdCause::Entry);
    CHECK(!causeAt(cold, start + Millis {800}));
}

TEST_CASE("a process that appears later is cold for the time of a start")
{
    ColdInstances cold = makeWarm();
    const MonoTime restart = start + Seconds {60};
    SECTION("also if its entry says nothing")
    {
        recordEntry(cold, entry(2, 70), false, restart);
        CHECK(causeAt(cold, restart) == ColdCause::Started);
        CHECK(causeAt(cold, restart + coldStart - Millis {1}));
        CHECK(!causeAt(cold, restart + coldStart));
    }
    SECTION("longer if its entry says so")
    {
        recordEntry(cold, entry(2, 70, Millis {5000}), false, restart);
        CHECK(causeAt(cold, restart + Millis {4999}) == ColdCause::Entry);
        CHECK(!causeAt(cold, restart + Millis {5000}));
    }
    SECTION("until a renewed entry says that it is warm")
    {
        recordEntry(cold, entry(2, 70, Millis {1500}), false, restart);
        // May have been written before the first one was received.
        recordEntry(cold, entry(3, 70), false, restart + Millis {900});
        CHECK(causeAt(cold, restart + Millis {900}) == ColdCause::Started);
        recordEntry(cold, entry(4, 70), false, restart + Millis {2100});
        CHECK(!causeAt(cold, restart + Millis {2100}));
    }
}

TEST_CASE("an entry of the time before a restart does not end the cold time")
{
    ColdInstances cold = makeWarm();
    const MonoTime restart = start + Seconds {60};
    recordEntry(cold, entry(5, 70, Millis {3000}), false, restart);
    recordEntry(cold, entry(4, 10), false, restart + Millis {1500});
    recordEntry(cold, entry(6, 10), false, restart + Millis {1600});
    recordEntry(cold, entry(5, 70), false, restart + Millis {1700});
    CHECK(causeAt(cold, restart + Millis {2999}));
}

TEST_CASE("a renewed entry of a warm instance does not make it cold")
{
    ColdInstances cold = makeWarm();
    for (std::uint64_t i = 2; i < 10; ++i) {
        const MonoTime now = start + Millis {1200} * static_cast<int>(i);
        recordEntry(cold, entry(i, 10), false, now);
        CHECK(!causeAt(cold, now));
    }
    CHECK(cold.records_.empty());
}

TEST_CASE("an instance whose connection was lost may have restarted")
{
    ColdInstances cold = makeWarm();
    const MonoTime lost = start + Seconds {60};
    recordPossibleRestart(cold, id, WallTime {Seconds {10}}, lost);
    CHECK(causeAt(cold, lost + Seconds {30}) == ColdCause::MayHaveRestarted);
    SECTION("until a renewal that was written after it")
    {
        recordEntry(cold, entry(2, 10), false, lost + Millis {999});
        CHECK(causeAt(cold, lost + Millis {999}));
        recordEntry(cold, entry(3, 10), false, lost + Millis {2199});
        CHECK(!causeAt(cold, lost + Millis {2199}));
    }
    SECTION("until the time of a start has passed since its first response")
    {
        recordResponse(cold, id, lost - Millis {1}, lost + Millis {50});
        CHECK(causeAt(cold, lost + Seconds {30}));
        recordResponse(cold, id, lost + Millis {100}, lost + Millis {200});
        recordResponse(cold, id, lost + Millis {1000}, lost + Millis {1100});
        CHECK(causeAt(cold, lost + Millis {200} + coldStart - Millis {1}));
        CHECK(!causeAt(cold, lost + Millis {200} + coldStart));
    }
    SECTION("and is cold as a new process once its entry arrives")
    {
        const MonoTime arrival = lost + Millis {300};
        recordEntry(cold, entry(2, 70, Millis {2500}), false, arrival);
        CHECK(causeAt(cold, arrival + coldStart - Millis {1}) == ColdCause::Started);
        // An attempt at the earlier process ends late.
        recordPossibleRestart(cold, id, WallTime {Seconds {10}}, arrival + Millis {200});
        CHECK(!causeAt(cold, arrival + coldStart));
    }
}

TEST_CASE("the instances of a zone that is back from an evacuation count as cold")
{
    InstanceDirectory directory;
    upsertInstance(directory, entry(1, 10));
    upsertInstance(directory, makeInstance("e2", "llm", 2, "far"));
    ColdInstances cold = makeWarm();
    const MonoTime back = start + Seconds {60};
    markZoneCold(cold, directory, ZoneId {"near"}, back);
    CHECK(causeAt(cold, back) == ColdCause::ZoneReturned);
    CHECK(!coldPeriod(cold, UpstreamId {"e2"}, coldStart, back));
    SECTION("until the time of a start has passed")
    {
        CHECK(causeAt(cold, back + coldStart - Millis {1}));
        CHECK(!causeAt(cold, back + coldStart));
    }
    SECTION("until an entry renewed since says that it is warm")
    {
        recordEntry(cold, entry(2, 10), false, back + Millis {500});
        CHECK(causeAt(cold, back + Millis {500}));
        recordEntry(cold, entry(3, 10), false, back + Millis {1700});
        CHECK(!causeAt(cold, back + Millis {1700}));
    }
    SECTION("longer if an entry renewed since says so")
    {
        recordEntry(cold, entry(2, 10, Millis {4000}), false, back + Millis {1700});
        CHECK(causeAt(cold, back + Millis {5699}) == ColdCause::Entry);
        CHECK(!causeAt(cold, back + Millis {5700}));
    }
}

TEST_CASE("a response states how long an instance stays cold")
{
    ColdInstances cold = makeWarm();
    recordColdResponse(cold, id, Millis {2000}, start);
    // Was on its way longer.
    recordColdResponse(cold, id, Millis {1500}, start + Millis {10});
    CHECK(causeAt(cold, start + Millis {1999}) == ColdCause::Response);
    CHECK(!causeAt(cold, start + Millis {2000}));
}

TEST_CASE("changes are reported once, and only for services with a limit for cold instances")
{
    ColdInstances cold = makeWarm();
    ColdRule rule {true, coldStart};
    const ColdRuleOf ruleOf = [&rule](const UpstreamId &) {
        return std::optional(rule);
    };
    CHECK(takeColdChanges(cold, ruleOf, start).empty());
    recordEntry(cold, entry(2, 70, Millis {1000}), false, start);
    SECTION("limited")
    {
        const std::vector<ColdChange> changes = takeColdChanges(cold, ruleOf, start);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].period_);
        CHECK(coldCount(cold) == 1);
        CHECK(takeColdChanges(cold, ruleOf, start + Millis {1}).empty());
        CHECK(nextColdEnd(cold, ruleOf, start) == start + coldStart);
        const std::vector<ColdChange> ends = takeColdChanges(cold, ruleOf, start + coldStart);
        REQUIRE(ends.size() == 1);
        CHECK(!ends[0].period_);
        CHECK(cold.records_.empty());
        CHECK(!nextColdEnd(cold, ruleOf, start + coldStart));
    }
    SECTION("not limited")
    {
        rule.limited_ = false;
        CHECK(takeColdChanges(cold, ruleOf, start).empty());
        CHECK(cold.records_.empty());
    }
}

namespace {

/// A fixture whose service "app" has a limit for cold instances. Two instances were there in the
/// first listing, and the daemon has been alone for long.
RelayFixture makeColdFixture(double perSecond = 4.0)
{
    RelayFixture fixture;
    fixture.state_.settings_.host_ = HostId {"me"};
    fixture.state_.settings_.cold_.overrun_ = 1.5;
    fixture.state_.settings_.cold_.slack_ = 5.0;
    setUp(fixture);
    auto config = makeConfig(2);
    config->services_.at(ServiceId {"app"}).coldPerSecond_ = perSecond;
    config->services_.at(ServiceId {"app"}).coldStart_ = coldStart;
    post(fixture, ConfigReceived {config, ChangeSource::Store});
    // The daemon reads the fleet every 6 s.
    for (int i = 0; i < 4; ++i) {
        post(fixture, FleetView {1, 1, {}});
        advanceTime(fixture, Seconds {6});
    }
    post(fixture, FleetView {1, 1, {}});
    return fixture;
}

void restartInstance(RelayFixture &fixture, const std::string &name)
{
    ListedInstance listed = makeInstance(name, "app", 100);
    listed.instance_.startedAt_ = WallTime {Seconds {500}};
    listed.instance_.coldRemaining_ = coldStart;
    post(fixture, InstanceChanged {listed, ChangeSource::Store});
}

/// Sends 40 requests within two seconds, which end at once.
/// @return number of requests that the instance "a1" got
int countSent(RelayFixture &fixture)
{
    int sent = 0;
    for (int i = 0; i < 40; ++i) {
        const auto out = post(fixture, RequestRead {makeRequest(fixture, "safe")});
        const auto attempt = findCommand<SendAttempt>(out);
        if (attempt) {
            sent += attempt->instance_ == UpstreamId {"a1"} ? 1 : 0;
            post(fixture, ended(*attempt, AttemptEnd::Delivered, 200));
        }
        advanceTime(fixture, Millis {50});
    }
    return sent;
}

} // namespace

TEST_CASE("requests beyond the rate of a cold instance go to warm ones")
{
    RelayFixture fixture = makeColdFixture();
    restartInstance(fixture, "a1");
    CHECK(coldCount(fixture.state_.cold_) == 1);
    const int sent = countSent(fixture);
    CHECK(sent <= 2 * 4 + 2);
    // It is not left idle.
    CHECK(sent >= 6);
    advanceTime(fixture, Seconds {2});
    CHECK(coldCount(fixture.state_.cold_) == 0);
    CHECK(countSent(fixture) >= 15);
}

TEST_CASE("instances of a service without a limit are served as before")
{
    RelayFixture fixture = makeColdFixture(0.0);
    restartInstance(fixture, "a1");
    CHECK(coldCount(fixture.state_.cold_) == 0);
    CHECK(countSent(fixture) >= 15);
}

TEST_CASE("a lost connection limits an instance, a used up connection limit does not")
{
    RelayFixture fixture = makeColdFixture();
    auto out = post(fixture, RequestRead {makeRequest(fixture, "safe")});
    const auto attempt = findCommand<SendAttempt>(out);
    REQUIRE(attempt);
    RelayAttemptEnded lost = ended(*attempt, AttemptEnd::NotSent);
    SECTION("connection limit")
    {
        lost.connectionsUsed_ = true;
        post(fixture, lost);
        CHECK(coldCount(fixture.state_.cold_) == 0);
    }
    SECTION("connect failed")
    {
        post(fixture, lost);
        CHECK(coldCount(fixture.state_.cold_) == 1);
    }
    SECTION("reset before any response")
    {
        lost.end_ = AttemptEnd::ConnectionLost;
        post(fixture, lost);
        CHECK(coldCount(fixture.state_.cold_) == 1);
    }
}

namespace {

/// The coordinator of all instances is another daemon.
RelayFixture makeFollower()
{
    RelayFixture fixture = makeColdFixture();
    FleetView view {
        2, 2, {PeerAddress {HostId {"peer"}, ZoneId {"near"}, "peer:1", 1'000'000'000}}};
    post(fixture, view);
    advanceTime(fixture, Millis {500});
    restartInstance(fixture, "a1");
    return fixture;
}

/// Sends requests until one needs a permit.
std::optional<PermitRequest> sendUntilAsked(RelayFixture &fixture)
{
    for (int i = 0; i < 10; ++i) {
        for (const RelayCommand &command :
             post(fixture, RequestRead {makeRequest(fixture, "safe")})) {
            const auto *message = std::get_if<SendPeer>(&command);
            if (message && std::holds_alternative<PermitRequest>(message->message_))
                return std::get<PermitRequest>(message->message_);
        }
    }
    return std::nullopt;
}

RelayCommands reply(RelayFixture &fixture, const PermitRequest &asked, PermitResult result)
{
    return post(fixture,
                PermitReplyReceived {HostId {"peer"},
                                     PermitReply {asked.process_, asked.number_, result, {}}});
}

} // namespace

TEST_CASE("while a permit is awaited, other requests use warm instances without a wait")
{
    RelayFixture fixture = makeFollower();
    const auto asked = sendUntilAsked(fixture);
    REQUIRE(asked);
    CHECK(asked->process_.instance_ == UpstreamId {"a1"});
    CHECK(asked->coldPerSecond_ == 4.0);
    CHECK(asked->limit_ == 4.0);
    CHECK(asked->zone_ == ZoneId {"near"});
    for (int i = 0; i < 5; ++i) {
        const auto attempt
            = findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "safe")}));
        REQUIRE(attempt);
        CHECK(attempt->instance_ == UpstreamId {"a2"});
    }
    const auto attempt = findCommand<SendAttempt>(reply(fixture, *asked, PermitResult::Granted));
    REQUIRE(attempt);
    CHECK(attempt->instance_ == UpstreamId {"a1"});
}

TEST_CASE("a permit is not used late or for an instance that has become cold since")
{
    RelayFixture fixture = makeFollower();
    SECTION("the reply was handled after a suspension of this daemon")
    {
        const auto asked = sendUntilAsked(fixture);
        REQUIRE(asked);
        fixture.now_ += Millis {900};
        const auto attempt
            = findCommand<SendAttempt>(reply(fixture, *asked, PermitResult::Granted));
        CHECK((!attempt || attempt->instance_ != UpstreamId {"a1"}));
    }
    SECTION("the permit was for the limit that the instance states")
    {
        for (int i = 0; i < 3; ++i)
            post(fixture, RequestRead {makeRequest(fixture, "safe")});
        post(
            fixture,
            InstanceNoticeReceived {UpstreamId {"a2"}, InstanceNotice {50.0, false, std::nullopt}});
        std::optional<PermitRequest> asked;
        for (int i = 0; i < 10 && (!asked || asked->coldPerSecond_); ++i)
            asked = sendUntilAsked(fixture);
        REQUIRE(asked);
        REQUIRE(!asked->coldPerSecond_);
        post(fixture,
             InstanceNoticeReceived {UpstreamId {"a2"},
                                     InstanceNotice {50.0, false, std::nullopt, Millis {2000}}});
        const auto out = reply(fixture, *asked, PermitResult::Granted);
        const auto attempt = findCommand<SendAttempt>(out);
        CHECK((!attempt || attempt->instance_ != UpstreamId {"a2"}));
    }
}

TEST_CASE("a response that states a cold time limits the instance")
{
    RelayFixture fixture = makeColdFixture();
    for (int i = 0; i < 4; ++i)
        post(fixture, RequestRead {makeRequest(fixture, "safe")});
    InstanceNotice notice;
    notice.coldRemaining_ = Millis {2000};
    post(fixture, InstanceNoticeReceived {UpstreamId {"a1"}, notice});
    CHECK(coldCount(fixture.state_.cold_) == 1);
    advanceTime(fixture, Millis {2000});
    CHECK(coldCount(fixture.state_.cold_) == 0);
}

TEST_CASE("a daemon that the store no longer lists in the fleet gives up the full rate")
{
    RelayFixture fixture = makeColdFixture(11.0);
    const ColdPermits &permits = fixture.state_.coldPermits_;
    post(fixture, FleetView {1, 1, {}});
    const std::optional<MonoTime> listedAt = permits.contactAt_;
    REQUIRE(listedAt == fixture.now_);
    FleetView unlisted {2, 2, {}};
    unlisted.listsSelf_ = false;
    fixture.now_ += Seconds {6};
    post(fixture, unlisted);
    CHECK(permits.contactAt_ == listedAt);
    // Contact to peers says nothing about the fleet.
    post(fixture, DocumentsReplyReceived {HostId {"peer"}, Millis {0}});
    CHECK(permits.contactAt_ == listedAt);
}

} // namespace tamarack
