// Requests to instances that state something about themselves. Guards against requests beyond the
// limit of an instance, requests that wait while another instance is free, and refusals whose
// Retry-After is not true.
#include "relayfixture.h"

namespace tamarack {

namespace {

InstanceNoticeReceived limitNotice(const std::string &instance, std::optional<double> perSecond)
{
    return InstanceNoticeReceived {UpstreamId {instance},
                                   InstanceNotice {perSecond, false, std::nullopt}};
}

/// Sends one request to each instance of the service "app", so that they are known to this daemon.
std::vector<SendAttempt> sendToBoth(RelayFixture &fixture)
{
    std::vector<SendAttempt> sent;
    for (int i = 0; i < 2; ++i) {
        const auto out = post(fixture, RequestRead {makeRequest(fixture, "safe")});
        sent.push_back(findCommand<SendAttempt>(out).value());
    }
    REQUIRE(sent[0].instance_ != sent[1].instance_);
    return sent;
}

/// Adds another daemon, which is asked for permits if it is first in rank.
void addPeer(RelayFixture &fixture, const std::string &host)
{
    FleetView view {2, 2, {PeerAddress {HostId {host}, ZoneId {"near"}, host + ":1", 1'000'000}}};
    post(fixture, view);
    advanceTime(fixture, Seconds {20});
}

std::optional<PermitRequest> findPermitRequest(const RelayCommands &commands)
{
    for (const RelayCommand &command : commands) {
        const auto *message = std::get_if<SendPeer>(&command);
        if (message && std::holds_alternative<PermitRequest>(message->message_))
            return std::get<PermitRequest>(message->message_);
    }
    return std::nullopt;
}

PermitReplyReceived replyTo(const PermitRequest &request, PermitResult result,
                            Millis retryAfter = Millis {})
{
    return PermitReplyReceived {
        HostId {"peer"}, PermitReply {request.process_, request.number_, result, retryAfter}};
}

/// Both instances of the service "app" are limited, and the other daemon coordinates them.
void limitBoth(RelayFixture &fixture)
{
    setUp(fixture);
    addPeer(fixture, "peer");
    sendToBoth(fixture);
    post(fixture, limitNotice("a1", 2.0));
    post(fixture, limitNotice("a2", 2.0));
}

} // namespace

TEST_CASE("requests beyond an instance's limit go to other instances")
{
    RelayFixture fixture;
    setUp(fixture);
    sendToBoth(fixture);
    post(fixture, limitNotice("a1", 2.0));
    int limited = 0;
    int other = 0;
    for (int i = 0; i < 40; ++i) {
        const auto out = post(fixture, RequestRead {makeRequest(fixture, "safe")});
        const auto attempt = findCommand<SendAttempt>(out);
        REQUIRE(attempt);
        ++(attempt->instance_ == UpstreamId {"a1"} ? limited : other);
        post(fixture, ended(*attempt, AttemptEnd::Delivered, 200));
        advanceTime(fixture, Millis {100});
    }
    CHECK(limited <= 2 * 4 + 2);
    CHECK(other >= 30);
}

TEST_CASE("a request that no instance can take is refused at once with a true Retry-After")
{
    RelayFixture fixture;
    setUp(fixture);
    sendToBoth(fixture);
    post(fixture, limitNotice("a1", 0.5));
    post(fixture, limitNotice("a2", 0.5));
    std::optional<RespondToClient> refusal;
    for (int i = 0; i < 4 && !refusal; ++i)
        refusal = findCommand<RespondToClient>(
            post(fixture, RequestRead {makeRequest(fixture, "safe")}));
    REQUIRE(refusal);
    CHECK(refusal->status_ == 503);
    CHECK(refusal->reason_ == "upstreams_limited");
    REQUIRE(refusal->retryAfter_);
    advanceTime(fixture, *refusal->retryAfter_);
    // Denials are not kept longer than a second, so the time may be shorter than that to a permit.
    CHECK(*refusal->retryAfter_ >= Millis {900});
}

TEST_CASE("a request waits for the coordinator's permit")
{
    RelayFixture fixture;
    limitBoth(fixture);
    auto out = post(fixture, RequestRead {makeRequest(fixture, "safe")});
    CHECK(!findCommand<SendAttempt>(out));
    const auto first = findPermitRequest(out);
    REQUIRE(first);
    CHECK(first->limit_ == 2.0);
    SECTION("granted")
    {
        out = post(fixture, replyTo(*first, PermitResult::Granted));
        const auto attempt = findCommand<SendAttempt>(out);
        REQUIRE(attempt);
        CHECK(attempt->instance_ == first->process_.instance_);
        // A repeated reply must not send the request again.
        CHECK(!findCommand<SendAttempt>(post(fixture, replyTo(*first, PermitResult::Granted))));
    }
    SECTION("denied: the other instance is tried, then the request is refused")
    {
        out = post(fixture, replyTo(*first, PermitResult::Denied, Millis {700}));
        const auto second = findPermitRequest(out);
        REQUIRE(second);
        CHECK(second->process_ != first->process_);
        out = post(fixture, replyTo(*second, PermitResult::Denied, Millis {900}));
        const auto refusal = findCommand<RespondToClient>(out);
        REQUIRE(refusal);
        CHECK(refusal->status_ == 503);
        CHECK(*refusal->retryAfter_ >= Millis {700});
        // The next request doesn't ask again.
        out = post(fixture, RequestRead {makeRequest(fixture, "safe")});
        CHECK(!findPermitRequest(out));
        CHECK(findCommand<RespondToClient>(out));
    }
    SECTION("the limit has ended")
    {
        out = post(fixture, replyTo(*first, PermitResult::LimitEnded));
        const auto attempt = findCommand<SendAttempt>(out);
        REQUIRE(attempt);
        CHECK(attempt->instance_ == first->process_.instance_);
    }
    SECTION("the instance leaves meanwhile")
    {
        ListedInstance leaving = makeInstance(first->process_.instance_.value_, "app", 90);
        leaving.instance_.state_ = InstanceState::Draining;
        post(fixture, InstanceChanged {leaving, ChangeSource::Store});
        out = post(fixture, replyTo(*first, PermitResult::Granted));
        CHECK(!findCommand<SendAttempt>(out));
        CHECK(findPermitRequest(out));
    }
    SECTION("the client disconnects meanwhile")
    {
        post(fixture, ClientDisconnected {ExchangeId {fixture.lastExchange_}, 0});
        CHECK(!findCommand<SendAttempt>(post(fixture, replyTo(*first, PermitResult::Granted))));
    }
}

TEST_CASE("another instance is used if the coordinator does not reply")
{
    RelayFixture fixture;
    setUp(fixture);
    addPeer(fixture, "peer");
    sendToBoth(fixture);
    post(fixture, limitNotice("a1", 2.0));
    std::optional<PermitRequest> asked;
    for (int i = 0; i < 2 && !asked; ++i)
        asked = findPermitRequest(post(fixture, RequestRead {makeRequest(fixture, "safe")}));
    REQUIRE(asked);
    const auto attempt = findCommand<SendAttempt>(advanceTime(fixture, Millis {151}));
    REQUIRE(attempt);
    CHECK(attempt->instance_ == UpstreamId {"a2"});
}

TEST_CASE("a limit is kept while the entry of its instance is missing")
{
    RelayFixture fixture;
    setUp(fixture);
    sendToBoth(fixture);
    post(fixture, limitNotice("a1", 0.0));
    post(fixture, limitNotice("a2", 0.0));
    post(fixture, InstanceRemoved {UpstreamId {"a1"}, Revision {20}, ChangeSource::Store});
    post(fixture, InstanceRemoved {UpstreamId {"a2"}, Revision {21}, ChangeSource::Store});
    advanceTime(fixture, Seconds {3});
    post(fixture, InstanceChanged {makeInstance("a1", "app", 22), ChangeSource::Store});
    post(fixture, InstanceChanged {makeInstance("a2", "app", 23), ChangeSource::Store});
    int sent = 0;
    for (int i = 0; i < 10; ++i)
        sent += findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "safe")}))
            ? 1
            : 0;
    CHECK(sent <= 2);
}

TEST_CASE("no request is sent to an instance that has said that it is leaving")
{
    RelayFixture fixture;
    setUp(fixture);
    const std::vector<SendAttempt> sent = sendToBoth(fixture);
    for (const SendAttempt &attempt : sent)
        post(fixture, ended(attempt, AttemptEnd::Delivered, 200));
    const InstanceNotice leaving {std::nullopt, true, std::nullopt};
    post(fixture, InstanceNoticeReceived {UpstreamId {"a1"}, leaving});
    const auto chosen = [&fixture] {
        const auto out = post(fixture, RequestRead {makeRequest(fixture, "safe")});
        const auto attempt = findCommand<SendAttempt>(out);
        if (attempt)
            post(fixture, ended(*attempt, AttemptEnd::Delivered, 200));
        return attempt ? attempt->instance_.value_ : std::string("none");
    };
    for (int i = 0; i < 10; ++i)
        CHECK(chosen() == "a2");
    SECTION("except as a last resort, until shortly before it stops")
    {
        ListedInstance draining = makeInstance("a2", "app", 20);
        draining.instance_.state_ = InstanceState::Draining;
        post(fixture, InstanceChanged {draining, ChangeSource::Store});
        advanceTime(fixture, Millis {1400});
        CHECK(chosen() == "a1");
        advanceTime(fixture, Millis {200});
        CHECK(chosen() == "none");
    }
    SECTION("also after its entry was missing, as in a store outage")
    {
        post(fixture, InstanceRemoved {UpstreamId {"a1"}, Revision {20}, ChangeSource::Store});
        advanceTime(fixture, Seconds {3});
        post(fixture, InstanceChanged {makeInstance("a1", "app", 22), ChangeSource::Store});
        for (int i = 0; i < 10; ++i)
            CHECK(chosen() == "a2");
    }
    SECTION("a new process under the same id is used")
    {
        ListedInstance restarted = makeInstance("a1", "app", 22);
        restarted.instance_.startedAt_ += Seconds {100};
        post(fixture, InstanceChanged {restarted, ChangeSource::Store});
        std::set<std::string> used;
        for (int i = 0; i < 20; ++i)
            used.insert(chosen());
        CHECK(used == std::set<std::string> {"a1", "a2"});
    }
}

TEST_CASE("an instance that said when to come back gets no request before")
{
    RelayFixture fixture;
    setUp(fixture);
    const std::vector<SendAttempt> sent = sendToBoth(fixture);
    const InstanceNotice closed {std::nullopt, false, Millis {2500}};
    for (const SendAttempt &attempt : sent)
        post(fixture, InstanceNoticeReceived {attempt.instance_, closed});
    post(fixture, ended(sent[0], AttemptEnd::NotExecuted, 503));
    // A success from before the refusal changes nothing.
    post(fixture, ended(sent[1], AttemptEnd::Delivered, 200));
    const auto refusal
        = findCommand<RespondToClient>(post(fixture, RequestRead {makeRequest(fixture, "safe")}));
    REQUIRE(refusal);
    CHECK(refusal->status_ == 503);
    CHECK(*refusal->retryAfter_ >= Millis {2500});
    advanceTime(fixture, Millis {2499});
    CHECK(!findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "safe")})));
    advanceTime(fixture, Millis {2});
    CHECK(findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "safe")})));
}

TEST_CASE("a retry needs a permit too")
{
    RelayFixture fixture;
    setUp(fixture);
    addPeer(fixture, "peer");
    const std::vector<SendAttempt> sent = sendToBoth(fixture);
    post(fixture, limitNotice(sent[1].instance_.value_, 2.0));
    const auto out = post(fixture, ended(sent[0], AttemptEnd::NotExecuted, 503));
    CHECK(!findCommand<SendAttempt>(out));
    CHECK(findPermitRequest(out));
}

TEST_CASE("a late response is delivered while the request waits for a permit to be sent again")
{
    RelayFixture fixture;
    setUp(fixture);
    addPeer(fixture, "peer");
    const std::vector<SendAttempt> sent = sendToBoth(fixture);
    post(fixture, limitNotice(sent[1].instance_.value_, 2.0));
    // The first attempt has been silent for twice the latency objective.
    const auto out = advanceTime(fixture, Millis {801});
    const auto asked = findPermitRequest(out);
    REQUIRE(asked);
    SECTION("its output ends the wait")
    {
        post(fixture, OutputStarted {sent[0].id_, 1, fixture.now_});
        CHECK(!findCommand<SendAttempt>(post(fixture, replyTo(*asked, PermitResult::Granted))));
    }
    SECTION("its end ends the request")
    {
        post(fixture, ended(sent[0], AttemptEnd::Delivered, 200));
        CHECK(!fixture.state_.active_.contains(sent[0].id_));
    }
    SECTION("its failure is not forgotten if the permit is denied")
    {
        post(fixture, ended(sent[0], AttemptEnd::ConnectionLost));
        const auto response = findCommand<RespondToClient>(
            post(fixture, replyTo(*asked, PermitResult::Denied, Millis {700})));
        REQUIRE(response);
        CHECK(response->status_ == 502);
    }
}

TEST_CASE("a silent attempt goes on if no other instance can take the request")
{
    RelayFixture fixture;
    setUp(fixture);
    const std::vector<SendAttempt> sent = sendToBoth(fixture);
    const InstanceNotice closed {std::nullopt, false, Millis {5000}};
    post(fixture, InstanceNoticeReceived {sent[1].instance_, closed});
    CHECK(!findCommand<RespondToClient>(advanceTime(fixture, Millis {801})));
    REQUIRE(fixture.state_.active_.contains(sent[0].id_));
    SECTION("its response is delivered")
    {
        post(fixture, ended(sent[0], AttemptEnd::Delivered, 200));
        CHECK(!fixture.state_.active_.contains(sent[0].id_));
    }
    SECTION("its failure ends the request")
    {
        const auto response = findCommand<RespondToClient>(
            post(fixture, ended(sent[0], AttemptEnd::ConnectionLost)));
        REQUIRE(response);
        CHECK(response->status_ == 502);
    }
    SECTION("the route's timeout ends the request")
    {
        const auto response = findCommand<RespondToClient>(advanceTime(fixture, Seconds {2}));
        REQUIRE(response);
        CHECK(response->status_ == 504);
    }
}

TEST_CASE("a stopping daemon grants no permits to others")
{
    RelayFixture fixture;
    setUp(fixture);
    post(fixture, RelayStopRequested {fixture.now_ + Seconds {8}});
    const PermitRequest request {"peer:1", InstanceProcess {UpstreamId {"a1"}, {}}, 3, 5.0,
                                 Millis {10}};
    const auto out = post(fixture, PermitRequestReceived {HostId {"peer"}, request});
    const auto reply = findCommand<SendPeer>(out);
    REQUIRE(reply);
    CHECK(std::get<PermitReply>(reply->message_).result_ == PermitResult::Unavailable);
}

} // namespace tamarack
