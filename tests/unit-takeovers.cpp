// Requests of a daemon that reaches no instance, which other daemons take over. Guards against
// callers that are refused although other daemons could serve them, against requests that run twice
// or go round among daemons, and against one failed instance that is taken for a failure of all
// links.
#include "takeoverfixture.h"

#include <set>

namespace tamarack {

TEST_CASE("a daemon without a link to any instance hands requests over at once")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    cutOff(fixture);
    for (const char *route : {"once", "safe", "stream", "resume"}) {
        INFO(route);
        const auto attempt = start(fixture, makeRequest(fixture, route));
        REQUIRE(attempt);
        CHECK(attempt->toPeer_);
        CHECK(attempt->address_.ends_with(":2"));
        CHECK(attempt->attemptsUsed_ == 0);
        post(fixture, ended(*attempt, AttemptEnd::Delivered, 200));
    }
    CHECK(fixture.state_.active_.empty());
    CHECK(fixture.state_.takeovers_.running_.empty());
}

TEST_CASE("a request is handed over after connects to several hosts have failed")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    // Each request tries two instances.
    for (int i = 0; i < 2; ++i) {
        auto attempt = start(fixture, makeRequest(fixture, "once"));
        for (int connect = 2 * i + 1; connect <= 2 * i + 2; ++connect) {
            REQUIRE(attempt);
            CHECK(attempt->toPeer_ == (connect > 3));
            attempt = findCommand<SendAttempt>(post(fixture, ended(*attempt, AttemptEnd::NotSent)));
        }
    }
    CHECK(!fixture.state_.reachability_.isCutOff_);
}

TEST_CASE("instances that fail at the same time are not taken for lost links")
{
    // A sixth of 95 instances crashed, and all daemons handed their requests to each other.
    RelayFixture fixture;
    setUpFleet(fixture);
    for (std::uint64_t i = 0; i < 40; ++i) {
        ListedInstance listed = makeInstance("y" + std::to_string(i), "app", 50 + i);
        listed.instance_.address_ = "10.0.1." + std::to_string(i) + ":80";
        post(fixture, InstanceChanged {listed, ChangeSource::Store});
    }
    const auto fails = [](const UpstreamId &id) {
        return id.value_.starts_with("x") || id.value_.ends_with("1");
    };
    std::size_t handedOver = 0;
    for (int i = 0; i < 200; ++i) {
        fixture.now_ += Millis {20};
        auto attempt = start(fixture, makeRequest(fixture, "safe"));
        while (attempt) {
            handedOver += attempt->toPeer_ ? 1 : 0;
            const bool failed = !attempt->toPeer_ && fails(attempt->instance_);
            RelayAttemptEnded end
                = ended(*attempt, failed ? AttemptEnd::NotSent : AttemptEnd::Delivered, 200);
            end.connected_ = !failed && i % 4 == 0;
            const RelayCommands commands = post(fixture, end);
            for (const RelayCommand &command : commands) {
                if (const auto *probe = std::get_if<ProbeInstance>(&command))
                    post(fixture, InstanceProbed {probe->instance_, !fails(probe->instance_)});
            }
            attempt = findCommand<SendAttempt>(commands);
        }
        CHECK(!fixture.state_.reachability_.isCutOff_);
    }
    CHECK(handedOver <= 2);
}

TEST_CASE("a request that returns to the instances has its tokens reserved again")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    PrepaidBalance &balance = fixture.state_.prepaid_.balances_[AccountId {"acme"}];
    balance.grant_.authorized_ = Tokens {10'000};
    balance.funded_ = Tokens {100'000};
    cutOff(fixture);
    RelayRequest request = makeRequest(fixture, "safe");
    request.usage_ = PromptUsage {Tokens {100}, Tokens {50}, {}};
    auto attempt = start(fixture, request);
    REQUIRE(attempt);
    CHECK(attempt->toPeer_);
    post(fixture, InstanceProbed {UpstreamId {"x0"}, true});
    for (int i = 0; i < peerCount; ++i)
        fixture.state_.takeovers_.excluded_[peer(i).host_] = fixture.now_ + Seconds {1};
    attempt = findCommand<SendAttempt>(post(fixture, ended(*attempt, AttemptEnd::NotSent)));
    REQUIRE(attempt);
    CHECK(!attempt->toPeer_);
    CHECK(fixture.state_.active_.begin()->second.reserved_);
}

TEST_CASE("failures of one host, old ones, and those before a connection say nothing of this host")
{
    const ReachabilitySettings settings;
    const MonoTime now {Seconds {1000}};
    constexpr std::size_t hosts = 95;
    Reachability reachability;
    const auto failAt = [&](int host, MonoTime time) {
        return recordConnectFailed(reachability, settings, "10.0.0." + std::to_string(host) + ":80",
                                   hosts, time);
    };
    SECTION("one host")
    {
        for (int i = 0; i < 20; ++i)
            CHECK(!failAt(1, now));
        CHECK(!mayBeCutOff(reachability, settings, now));
    }
    SECTION("old failures")
    {
        for (int i = 0; i < 20; ++i)
            CHECK(!failAt(i, now + (settings.window_ / 4 + Millis {1}) * i));
    }
    SECTION("a connection")
    {
        for (int i = 0; i < 20; ++i) {
            CHECK(!failAt(i, now));
            if (i % 5 == 4)
                recordConnected(reachability, now);
        }
    }
    SECTION("a connection that was begun before the last failure")
    {
        for (int i = 0; i < 40; ++i) {
            CHECK(!failAt(i, now + Millis {i}));
            recordConnected(reachability, now + Millis {i - 2});
            CHECK(reachability.failedAt_.size() <= 2);
        }
    }
    SECTION("several hosts")
    {
        for (int i = 1; i < 8; ++i) {
            CHECK(!failAt(i, now));
            CHECK(mayBeCutOff(reachability, settings, now) == (i >= 3));
        }
        CHECK(failAt(8, now));
        CHECK(!failAt(9, now));
        CHECK(recordConnected(reachability, now));
        CHECK(!recordConnected(reachability, now));
        CHECK(!mayBeCutOff(reachability, settings, now));
    }
    SECTION("fewer hosts than that")
    {
        CHECK(!recordConnectFailed(reachability, settings, "10.0.0.1:80", 2, now));
        CHECK(recordConnectFailed(reachability, settings, "10.0.0.2:80", 2, now));
    }
    SECTION("a single host")
    {
        CHECK(!recordConnectFailed(reachability, settings, "10.0.0.1:80", 1, now));
    }
}

TEST_CASE("responses on connections that were open before don't show that new ones are possible")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    const auto open = start(fixture, makeRequest(fixture, "safe"));
    REQUIRE(open);
    cutOff(fixture);
    post(fixture, OutputStarted {open->id_, open->attempt_, fixture.now_, false});
    CHECK(fixture.state_.reachability_.isCutOff_);
    // One to another daemon shows nothing either.
    const auto handed = start(fixture, makeRequest(fixture, "safe"));
    REQUIRE(handed);
    CHECK(handed->toPeer_);
    post(fixture, OutputStarted {handed->id_, handed->attempt_, fixture.now_, true});
    CHECK(fixture.state_.reachability_.isCutOff_);
}

TEST_CASE("a request that was handed over is not handed on")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    cutOff(fixture);
    RelayRequest request = makeRequest(fixture, "safe");
    request.handedOver_ = true;
    const RelayCommands commands = post(fixture, RequestRead {request});
    CHECK(!findCommand<SendAttempt>(commands));
    const auto refusal = findCommand<RespondToClient>(commands);
    REQUIRE(refusal);
    CHECK(refusal->status_ == 503);
    CHECK(refusal->reason_ == "cut_off");
}

TEST_CASE("a daemon that can serve none is replaced by another one, and left out for a while")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    cutOff(fixture);
    std::set<UpstreamId> asked;
    auto attempt = start(fixture, makeRequest(fixture, "once"));
    RelayCommands commands;
    while (attempt) {
        CHECK(asked.insert(attempt->instance_).second);
        commands = post(fixture, unable(*attempt));
        attempt = findCommand<SendAttempt>(commands);
    }
    CHECK(asked.size() == fixture.state_.settings_.takeovers_.maxTries_);
    fixture.now_ += Seconds {1};
    // The refusal is the last daemon's: it says when to come back.
    CHECK(findCommand<ForwardFailure>(commands));
    const auto next = start(fixture, makeRequest(fixture, "once"));
    REQUIRE(next);
    CHECK(!asked.contains(next->instance_));
}

TEST_CASE("the refusal of one request does not keep a daemon from taking over others")
{
    // One account without tokens had all daemons left out, and all requests refused.
    RelayFixture fixture;
    setUpFleet(fixture);
    cutOff(fixture);
    for (int i = 0; i < 20; ++i) {
        const auto attempt = start(fixture, makeRequest(fixture, "safe"));
        REQUIRE(attempt);
        CHECK(attempt->toPeer_);
        const RelayCommands commands = post(fixture, ended(*attempt, AttemptEnd::Failed, 503));
        CHECK(findCommand<ForwardFailure>(commands));
        CHECK(!findCommand<SendAttempt>(commands));
    }
    CHECK(fixture.state_.takeovers_.excluded_.empty());
}

TEST_CASE("a connection that was opened before a failure does not end the state of being cut off")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    const auto before = start(fixture, makeRequest(fixture, "stream"));
    REQUIRE(before);
    fixture.now_ += Millis {100};
    cutOff(fixture);
    post(fixture, OutputStarted {before->id_, before->attempt_, fixture.now_, true});
    CHECK(fixture.state_.reachability_.isCutOff_);
}

TEST_CASE("no request is spent on daemons that have said that they can serve none")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    fixture.state_.limits_.address_ = "me:1";
    cutOff(fixture);
    std::set<HostId> asked;
    for (const RelayCommand &command : advanceTime(fixture, Millis {500})) {
        const auto *sent = std::get_if<SendPeer>(&command);
        if (sent && std::holds_alternative<PresenceRequest>(sent->message_))
            asked.insert(sent->host_);
    }
    CHECK(asked.size() == peerCount);
    for (int i = 0; i < peerCount; ++i)
        post(fixture, PresenceReplyReceived {peer(i).host_, PresenceReply {false, 5, i != 2}});
    for (int i = 0; i < 10; ++i) {
        const auto attempt = start(fixture, makeRequest(fixture, "safe"));
        REQUIRE(attempt);
        CHECK(attempt->address_ == "h2:2");
    }
    // One that is able again gets requests at once.
    post(fixture, PresenceReplyReceived {peer(0).host_, PresenceReply {false, 5, false}});
    CHECK(start(fixture, makeRequest(fixture, "safe"))->address_ == "h0:2");
}

TEST_CASE("a daemon says whether it can serve requests")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    const auto reply = [&fixture] {
        const auto sent = findCommand<SendPeer>(
            post(fixture, PresenceRequestReceived {HostId {"h0"}, PresenceRequest {"h0:1"}}));
        return std::get<PresenceReply>(sent.value().message_);
    };
    CHECK(!reply().unable_);
    cutOff(fixture);
    CHECK(reply().unable_);
}

TEST_CASE("a lost connection to a daemon does not keep it from taking over the next request")
{
    // All connections between daemons were reset at once, and all requests refused after that.
    RelayFixture fixture;
    setUpFleet(fixture);
    cutOff(fixture);
    std::vector<SendAttempt> attempts;
    attempts.reserve(12);
    for (int i = 0; i < 12; ++i)
        attempts.push_back(*start(fixture, makeRequest(fixture, "once")));
    for (const SendAttempt &attempt : attempts)
        post(fixture, ended(attempt, AttemptEnd::ConnectionLost));
    const auto next = start(fixture, makeRequest(fixture, "once"));
    REQUIRE(next);
    CHECK(next->toPeer_);
}

TEST_CASE("without a daemon that takes over, requests are refused at once")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    cutOff(fixture);
    for (int i = 0; i < peerCount; ++i)
        fixture.state_.takeovers_.excluded_[peer(i).host_] = fixture.now_ + Seconds {1};
    const RelayCommands commands = post(fixture, RequestRead {makeRequest(fixture, "safe")});
    const auto refusal = findCommand<RespondToClient>(commands);
    REQUIRE(refusal);
    CHECK(refusal->status_ == 503);
    CHECK(refusal->retryAfter_);
}

TEST_CASE("a daemon that knows no other one keeps trying the instances")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    cutOff(fixture);
    std::vector<PeerAddress> old {peer(0), peer(1)};
    for (PeerAddress &each : old)
        each.handoverAddress_.clear();
    fixture.state_.fleet_.peers_ = old;
    for (auto &[id, record] : fixture.state_.choice_.instanceStats_)
        record.ejectedUntil_ = {};
    const auto attempt = start(fixture, makeRequest(fixture, "safe"));
    REQUIRE(attempt);
    CHECK(!attempt->toPeer_);
}

TEST_CASE("a request that may run once is not sent again after its connection to a daemon was lost")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    cutOff(fixture);
    const auto attempt = start(fixture, makeRequest(fixture, "once"));
    REQUIRE(attempt);
    const RelayCommands commands = post(fixture, ended(*attempt, AttemptEnd::ConnectionLost));
    CHECK(!findCommand<SendAttempt>(commands));
    const auto refusal = findCommand<RespondToClient>(commands);
    REQUIRE(refusal);
    CHECK(refusal->status_ == 502);
}

TEST_CASE("a request that may run again counts the attempts of both daemons")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    cutOff(fixture);
    const auto first = start(fixture, makeRequest(fixture, "safe"));
    REQUIRE(first);
    const auto second
        = findCommand<SendAttempt>(post(fixture, ended(*first, AttemptEnd::ConnectionLost)));
    REQUIRE(second);
    CHECK(second->toPeer_);
    CHECK(second->attemptsUsed_ == 1);
    // The route allows two.
    CHECK(!findCommand<SendAttempt>(post(fixture, ended(*second, AttemptEnd::ConnectionLost))));

    RelayFixture other;
    setUpFleet(other);
    RelayRequest request = makeRequest(other, "safe");
    request.handedOver_ = true;
    request.attemptsUsed_ = 1;
    const auto taken = start(other, request);
    REQUIRE(taken);
    CHECK(!findCommand<SendAttempt>(post(other, ended(*taken, AttemptEnd::ConnectionLost))));
}

TEST_CASE("a refusal is not passed on for a request that may have run")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    cutOff(fixture);
    const auto first = start(fixture, makeRequest(fixture, "safe"));
    REQUIRE(first);
    auto next = findCommand<SendAttempt>(post(fixture, ended(*first, AttemptEnd::ConnectionLost)));
    RelayCommands commands;
    while (next) {
        commands = post(fixture, unable(*next));
        next = findCommand<SendAttempt>(commands);
    }
    CHECK(!findCommand<ForwardFailure>(commands));
    const auto refusal = findCommand<RespondToClient>(commands);
    REQUIRE(refusal);
    CHECK(refusal->status_ == 502);
}

TEST_CASE("a stream that began at another daemon is continued by another daemon only")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    cutOff(fixture);
    const auto first = start(fixture, makeRequest(fixture, "resume"));
    REQUIRE(first);
    post(fixture, OutputStarted {first->id_, first->attempt_, fixture.now_});
    // The instances can be reached again.
    post(fixture, InstanceProbed {UpstreamId {"x3"}, true});
    CHECK(!fixture.state_.reachability_.isCutOff_);
    RelayAttemptEnded lost = ended(*first, AttemptEnd::ConnectionLost);
    lost.events_ = 2;
    lost.partiallyDelivered_ = true;
    lost.begunBy_ = first->attempt_;
    const auto second = findCommand<SendAttempt>(post(fixture, lost));
    REQUIRE(second);
    CHECK(second->toPeer_);
    RelayAttemptEnded refused = unable(*second);
    refused.events_ = 2;
    refused.partiallyDelivered_ = true;
    RelayCommands commands = post(fixture, refused);
    while (const auto next = findCommand<SendAttempt>(commands)) {
        CHECK(next->toPeer_);
        refused.attempt_ = next->attempt_;
        commands = post(fixture, refused);
    }
    CHECK(findCommand<AbortResponse>(commands));
}

TEST_CASE("tokens that were reserved for a request that is handed over are released")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    RelayRequest request = makeRequest(fixture, "once");
    request.usage_ = PromptUsage {Tokens {100}, Tokens {50}, {}};
    PrepaidBalance &balance = fixture.state_.prepaid_.balances_[AccountId {"acme"}];
    balance.grant_.authorized_ = Tokens {10'000};
    balance.funded_ = Tokens {100'000};
    const auto first = start(fixture, request);
    REQUIRE(first);
    CHECK(fixture.state_.active_.begin()->second.reserved_);
    fixture.state_.reachability_.isCutOff_ = true;
    const auto second = findCommand<SendAttempt>(post(fixture, ended(*first, AttemptEnd::NotSent)));
    REQUIRE(second);
    CHECK(second->toPeer_);
    CHECK(!fixture.state_.active_.begin()->second.reserved_);
}

TEST_CASE("while it is cut off, a daemon probes instances and returns with the first connection")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    cutOff(fixture);
    std::set<UpstreamId> probed;
    for (int i = 0; i < 40; ++i) {
        for (const RelayCommand &command : advanceTime(fixture, Millis {100})) {
            const auto *probe = std::get_if<ProbeInstance>(&command);
            if (!probe)
                continue;
            probed.insert(probe->instance_);
            post(fixture, InstanceProbed {probe->instance_, false});
        }
    }
    CHECK(probed.size() == 6);
    CHECK(fixture.state_.reachability_.isCutOff_);
    post(fixture, InstanceProbed {UpstreamId {"x0"}, true});
    CHECK(!fixture.state_.reachability_.isCutOff_);
    // The instances are not left out for what this host's links did.
    for (const char *route : {"safe", "stream"}) {
        const auto attempt = start(fixture, makeRequest(fixture, route));
        REQUIRE(attempt);
        CHECK(!attempt->toPeer_);
    }
    CHECK(!findCommand<ProbeInstance>(advanceTime(fixture, Seconds {2})));
}

TEST_CASE("requests are spread over the daemons that take over, those of the own zone first")
{
    TakeoverSettings settings;
    const MonoTime now {Seconds {1000}};
    Takeovers takeovers;
    const std::vector<PeerAddress> peers {peer(0), peer(1), peer(2, "far"), peer(3, "far")};
    for (int i = 0; i < 24; ++i) {
        const PeerAddress *chosen = chooseTakeover(takeovers, settings, peers, ZoneId {"near"}, {},
                                                   "r" + std::to_string(i), now);
        REQUIRE(chosen);
        recordHandedOver(takeovers, chosen->host_);
    }
    CHECK(takeovers.running_.at(HostId {"h0"}) == 8);
    CHECK(takeovers.running_.at(HostId {"h1"}) == 8);
    CHECK(takeovers.running_.at(HostId {"h2"}) == 4);
    CHECK(takeovers.running_.at(HostId {"h3"}) == 4);
}

TEST_CASE("a request does not leave the regions that it allows")
{
    RelayFixture fixture;
    setUpFleet(fixture);
    fixture.state_.settings_.regions_ = {{ZoneId {"near"}, RegionId {"north"}},
                                         {ZoneId {"far"}, RegionId {"south"}},
                                         {ZoneId {"other"}, RegionId {"east"}}};
    cutOff(fixture);
    fixture.state_.fleet_.peers_ = {peer(0, "other"), peer(1, "far")};
    auto config = makeConfig(2);
    config->routes_[1].allowedRegions_ = {RegionId {"south"}, RegionId {"north"}};
    post(fixture, ConfigReceived {config, ChangeSource::Store});
    for (int i = 0; i < 5; ++i) {
        const auto attempt = start(fixture, makeRequest(fixture, "safe"));
        REQUIRE(attempt);
        CHECK(attempt->address_ == "h1:2");
    }
}

} // namespace tamarack
