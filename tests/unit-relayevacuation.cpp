// Requests while availability zones are evacuated. Guards against a new request, a retry, a resumed
// stream or a permit that reaches an instance of an evacuated zone.
#include "relayfixture.h"

namespace tamarack {

namespace {

const ZoneId nearZone {"near"};
const ZoneId farZone {"far"};

/// Instances a1 and e1 in the daemon's own zone, a2 and e2 in another one.
void setUpZones(RelayFixture &fixture)
{
    setUp(fixture);
    post(fixture,
         InstancesListed {{makeInstance("a1", "app", 6), makeInstance("a2", "app", 7, "far"),
                           makeInstance("e1", "llm", 8), makeInstance("e2", "llm", 9, "far")},
                          Revision {10},
                          ChangeSource::Store});
}

RelayCommands evacuate(RelayFixture &fixture, const ZoneId &zone, std::uint64_t revision = 20,
                       ChangeSource source = ChangeSource::Store)
{
    return post(fixture, EvacuationChanged {{zone, Revision {revision}}, source});
}

RelayCommands request(RelayFixture &fixture, const std::string &route = "safe")
{
    return post(fixture, RequestRead {makeRequest(fixture, route)});
}

std::optional<UpstreamId> sentTo(const RelayCommands &commands)
{
    const auto attempt = findCommand<SendAttempt>(commands);
    return attempt ? std::optional(attempt->instance_) : std::nullopt;
}

const LogEvent *findLog(const RelayCommands &commands, const std::string &name)
{
    for (const RelayCommand &command : commands) {
        const auto *line = std::get_if<WriteLog>(&command);
        if (line && line->event_.name_ == name)
            return &line->event_;
    }
    return nullptr;
}

std::string field(const LogEvent &event, const std::string &key)
{
    for (const LogField &entry : event.fields_) {
        if (entry.key_ == key)
            return entry.value_;
    }
    return {};
}

std::optional<PermitRequest> findPermitRequest(const RelayCommands &commands)
{
    const auto message = findCommand<SendPeer>(commands);
    if (!message || !std::holds_alternative<PermitRequest>(message->message_))
        return std::nullopt;
    return std::get<PermitRequest>(message->message_);
}

/// Both instances of the service "app" are limited, and another daemon coordinates them.
void limitBoth(RelayFixture &fixture)
{
    setUpZones(fixture);
    post(fixture, FleetView {2, 2, {PeerAddress {HostId {"peer"}, nearZone, "peer:1", 1'000'000}}});
    advanceTime(fixture, Seconds {20});
    for (const char *id : {"a1", "a2"}) {
        std::optional<SendAttempt> attempt;
        while (!attempt || attempt->instance_ != UpstreamId {id}) {
            attempt = findCommand<SendAttempt>(request(fixture));
            REQUIRE(attempt);
        }
    }
    for (const char *id : {"a1", "a2"})
        post(fixture,
             InstanceNoticeReceived {UpstreamId {id}, InstanceNotice {2.0, false, std::nullopt}});
}

} // namespace

TEST_CASE("new requests leave an evacuated zone and come back to it")
{
    RelayFixture fixture;
    setUpZones(fixture);
    CHECK(sentTo(request(fixture)) == UpstreamId {"a1"});
    const auto out = evacuate(fixture, nearZone, 20, ChangeSource::Peer);
    const LogEvent *began = findLog(out, "zone.evacuated");
    REQUIRE(began);
    CHECK(field(*began, "zone") == "near");
    CHECK(field(*began, "revision") == "20");
    CHECK(field(*began, "source") == "peer");
    for (int i = 0; i < 20; ++i)
        CHECK(sentTo(request(fixture)) == UpstreamId {"a2"});
    CHECK(fixture.state_.evacuationSkips_ > 0);
    const auto back
        = post(fixture, EvacuationRemoved {{nearZone, Revision {21}}, ChangeSource::Store});
    REQUIRE(findLog(back, "zone.returned"));
    CHECK(sentTo(request(fixture)) == UpstreamId {"a1"});
}

TEST_CASE("a request is counted once as kept from an evacuated zone")
{
    RelayFixture fixture;
    setUpZones(fixture);
    evacuate(fixture, nearZone);
    const auto attempt = findCommand<SendAttempt>(request(fixture));
    REQUIRE(attempt);
    CHECK(fixture.state_.evacuationSkips_ == 1);
    post(fixture, ended(*attempt, AttemptEnd::NotSent));
    CHECK(fixture.state_.evacuationSkips_ == 1);
}

TEST_CASE("an attempt that runs in an evacuated zone ends normally, its retry goes elsewhere")
{
    RelayFixture fixture;
    setUpZones(fixture);
    SECTION("the request ends")
    {
        const auto attempt = findCommand<SendAttempt>(request(fixture, "once"));
        REQUIRE(attempt);
        const auto out = evacuate(fixture, nearZone);
        CHECK(!findCommand<AbortResponse>(out));
        CHECK(!findCommand<RespondToClient>(out));
        post(fixture, ended(*attempt, AttemptEnd::Delivered, 200));
        CHECK(fixture.state_.active_.empty());
    }
    SECTION("a retry")
    {
        const auto attempt = findCommand<SendAttempt>(request(fixture));
        REQUIRE(attempt);
        evacuate(fixture, farZone);
        const auto out = post(fixture, ended(*attempt, AttemptEnd::NotSent));
        CHECK(!findCommand<SendAttempt>(out));
    }
    SECTION("a resumed stream")
    {
        const auto attempt = findCommand<SendAttempt>(request(fixture, "resume"));
        REQUIRE(attempt);
        evacuate(fixture, attempt->instance_ == UpstreamId {"e1"} ? farZone : nearZone);
        post(fixture, OutputStarted {attempt->id_, 1, fixture.now_});
        RelayAttemptEnded cut = ended(*attempt, AttemptEnd::ConnectionLost);
        cut.events_ = 3;
        CHECK(!findCommand<SendAttempt>(post(fixture, cut)));
    }
    SECTION("a silent attempt")
    {
        const auto attempt = findCommand<SendAttempt>(request(fixture));
        REQUIRE(attempt);
        evacuate(fixture, farZone);
        CHECK(!findCommand<SendAttempt>(advanceTime(fixture, Millis {900})));
    }
}

TEST_CASE("a request is refused at once if all zones with instances of its service are evacuated")
{
    RelayFixture fixture;
    setUpZones(fixture);
    post(fixture, InstanceChanged {makeInstance("e3", "llm", 15, "third"), ChangeSource::Store});
    evacuate(fixture, nearZone, 20);
    evacuate(fixture, farZone, 21);
    const auto refusal = findCommand<RespondToClient>(request(fixture));
    REQUIRE(refusal);
    CHECK(refusal->status_ == 503);
    CHECK(refusal->reason_ == "zones_evacuated");
    CHECK(refusal->retryAfter_);
    CHECK(fixture.state_.evacuationSkips_ == 1);
    // The other service has an instance in a third zone.
    CHECK(sentTo(request(fixture, "stream")) == UpstreamId {"e3"});
}

TEST_CASE("a request that waits for an instance is refused when the last zone is evacuated")
{
    RelayFixture fixture;
    setUpZones(fixture);
    evacuate(fixture, farZone, 20);
    const auto attempt = findCommand<SendAttempt>(request(fixture));
    REQUIRE(attempt);
    REQUIRE(!findCommand<RespondToClient>(post(fixture, ended(*attempt, AttemptEnd::NotSent))));
    const auto refusal = findCommand<RespondToClient>(evacuate(fixture, nearZone, 21));
    REQUIRE(refusal);
    CHECK(refusal->status_ == 503);
    CHECK(refusal->reason_ == "zones_evacuated");
}

TEST_CASE("a request that waits for an instance uses one of a zone that returns")
{
    RelayFixture fixture;
    setUpZones(fixture);
    evacuate(fixture, farZone, 20);
    const auto attempt = findCommand<SendAttempt>(request(fixture));
    REQUIRE(attempt);
    REQUIRE(!findCommand<SendAttempt>(post(fixture, ended(*attempt, AttemptEnd::NotSent))));
    const auto out
        = post(fixture, EvacuationRemoved {{farZone, Revision {21}}, ChangeSource::Store});
    CHECK(sentTo(out) == UpstreamId {"a2"});
}

TEST_CASE("a request that waits for a permit asks for an instance of another zone")
{
    RelayFixture fixture;
    limitBoth(fixture);
    const auto first = findPermitRequest(request(fixture));
    REQUIRE(first);
    const bool isNear = first->process_.instance_ == UpstreamId {"a1"};
    const auto out = evacuate(fixture, isNear ? nearZone : farZone);
    const auto second = findPermitRequest(out);
    REQUIRE(second);
    CHECK(second->process_ != first->process_);
    // A late permit is not used.
    const auto granted
        = post(fixture,
               PermitReplyReceived {
                   HostId {"peer"},
                   PermitReply {first->process_, first->number_, PermitResult::Granted, {}}});
    CHECK(!findCommand<SendAttempt>(granted));
}

TEST_CASE("a granted permit is checked against the evacuations again")
{
    // As if the evacuation had not led to a new choice.
    RelayFixture fixture;
    limitBoth(fixture);
    const auto first = findPermitRequest(request(fixture));
    REQUIRE(first);
    const bool isNear = first->process_.instance_ == UpstreamId {"a1"};
    applyEvacuation(fixture.state_.evacuations_, isNear ? nearZone : farZone, Revision {20},
                    fixture.now_);
    const auto out
        = post(fixture,
               PermitReplyReceived {
                   HostId {"peer"},
                   PermitReply {first->process_, first->number_, PermitResult::Granted, {}}});
    CHECK(sentTo(out) != first->process_.instance_);
}

TEST_CASE("a coordinator grants no permit for an instance of an evacuated zone")
{
    RelayFixture fixture;
    setUpZones(fixture);
    evacuate(fixture, farZone);
    const auto ask = [&fixture](const std::string &instance) {
        const PermitRequest permit {"peer:1", {UpstreamId {instance}, WallTime {}}, 1, 2.0, {}};
        const auto reply
            = findCommand<SendPeer>(post(fixture, PermitRequestReceived {HostId {"peer"}, permit}));
        REQUIRE(reply);
        return std::get<PermitReply>(reply->message_);
    };
    // A new coordinator grants little at first.
    bool granted = false;
    for (int i = 0; i < 20; ++i) {
        advanceTime(fixture, Seconds {1});
        const PermitReply denied = ask("a2");
        CHECK(denied.result_ == PermitResult::Denied);
        CHECK(denied.retryAfter_ > Millis {});
        granted = granted || ask("a1").result_ == PermitResult::Granted;
    }
    CHECK(granted);
}

TEST_CASE("an evacuation survives the store's return from a copy if it is written again in time")
{
    RelayFixture fixture;
    setUpZones(fixture);
    post(fixture,
         EvacuationsListed {
             {{nearZone, {StoreEra {1}, Revision {20}}}}, {StoreEra {1}, Revision {25}}, {}});
    CHECK(sentTo(request(fixture)) == UpstreamId {"a2"});
    post(fixture, EvacuationsListed {{}, {StoreEra {2}, Revision {15}}, ChangeSource::Store});
    CHECK(sentTo(request(fixture)) == UpstreamId {"a2"});
    const Millis settleTime = fixture.state_.settings_.evacuationSettleTime_;
    const std::optional<MonoTime> due = nextDueTime(fixture.state_);
    REQUIRE(due);
    CHECK(*due <= fixture.now_ + settleTime);
    SECTION("written again")
    {
        advanceTime(fixture, settleTime - Millis {1});
        post(fixture,
             EvacuationChanged {{nearZone, {StoreEra {2}, Revision {17}}}, ChangeSource::Peer});
        advanceTime(fixture, settleTime);
        CHECK(sentTo(request(fixture)) == UpstreamId {"a2"});
    }
    SECTION("not written again")
    {
        const LogEvent *ended = nullptr;
        const auto out = advanceTime(fixture, settleTime);
        ended = findLog(out, "zone.returned");
        REQUIRE(ended);
        CHECK(field(*ended, "source") == "unconfirmed");
        CHECK(sentTo(request(fixture)) == UpstreamId {"a1"});
    }
}

TEST_CASE("while the own zone is evacuated, requests with a shared prompt part go to one engine")
{
    // Each daemon computes the same preferred engine of all other zones.
    std::set<UpstreamId> engines;
    std::uint64_t daemons = 0;
    for (const char *own : {"near", "far", "near", "far"}) {
        RelayFixture fixture;
        setUp(fixture);
        fixture.state_.settings_.zone_ = ZoneId {own};
        // The daemons get different requests.
        fixture.lastExchange_ = ++daemons * 100;
        auto config = makeConfig(2);
        config->accounts_.at(AccountId {"acme"}).prepaid_.reset();
        post(fixture, ConfigReceived {config, ChangeSource::Store});
        post(fixture,
             InstancesListed {{makeInstance("e1", "llm", 6), makeInstance("e2", "llm", 7, "far"),
                               makeInstance("e3", "llm", 8, "c"), makeInstance("e4", "llm", 9, "d"),
                               makeInstance("e5", "llm", 10, "e")},
                              Revision {11},
                              ChangeSource::Store});
        evacuate(fixture, nearZone, 20);
        evacuate(fixture, farZone, 21);
        for (int i = 0; i < 5; ++i) {
            RelayRequest chat = makeRequest(fixture, "stream");
            chat.usage_ = PromptUsage {
                Tokens {2010}, Tokens {10}, {{"shared", Tokens {2000}}, {"own", Tokens {10}}}};
            const auto attempt = findCommand<SendAttempt>(post(fixture, RequestRead {chat}));
            REQUIRE(attempt);
            engines.insert(attempt->instance_);
            post(fixture, ended(*attempt, AttemptEnd::Delivered, 200));
        }
    }
    CHECK(engines.size() == 1);
}

} // namespace tamarack
