// Streams that continue at another instance. Guards against a response, or a client's series of
// responses, whose events come from two software versions.
#include "streamversionfixture.h"

#include <set>

namespace tamarack {

TEST_CASE("a stream that broke off continues at the version that began it")
{
    for (int i = 0; i < 20; ++i) {
        RelayFixture fixture;
        setUpVersions(fixture);
        fixture.lastExchange_ = static_cast<std::uint64_t>(i) * 100;
        const auto first = start(fixture, makeRequest(fixture, "resume"));
        REQUIRE(first);
        startOutput(fixture, *first);
        const auto next = findCommand<SendAttempt>(breakOff(fixture, *first));
        REQUIRE(next);
        CHECK(next->instance_ != first->instance_);
        CHECK(versionOf(fixture, *next) == versionOf(fixture, *first));
        CHECK(next->version_ == first->version_);
    }
}

TEST_CASE("a stream is cut at once if no other instance of its version is left")
{
    RelayFixture fixture;
    setUpVersions(fixture);
    tell(fixture, "b", v2);
    remove(fixture, "n2", 12);
    const auto first = start(fixture, takeUp(fixture, "b"));
    REQUIRE(first);
    CHECK(first->instance_ == UpstreamId {"n1"});
    startOutput(fixture, *first);
    const RelayCommands commands = breakOff(fixture, *first);
    CHECK(!findCommand<SendAttempt>(commands));
    CHECK(findCommand<AbortResponse>(commands));
    CHECK(fixture.state_.active_.empty());
}

TEST_CASE("a stream waits for its own version while the instances of another one are free")
{
    RelayFixture fixture;
    setUpVersions(fixture);
    tell(fixture, "b", v1);
    for (const char *id : {"e1", "e2"})
        fixture.state_.choice_.instanceStats_[UpstreamId {id}].ejectedUntil_
            = fixture.now_ + Seconds {60};
    const RelayCommands commands = post(fixture, RequestRead {takeUp(fixture, "b")});
    CHECK(!findCommand<SendAttempt>(commands));
    const RelayCommands later = advanceTime(fixture, Seconds {1});
    CHECK(!findCommand<SendAttempt>(later));
    const auto refusal = findCommand<RespondToClient>(later);
    REQUIRE(refusal);
    CHECK(refusal->status_ == 503);
    CHECK(refusal->retryAfter_);
}

TEST_CASE("before its first event, a stream may begin at any version")
{
    RelayFixture fixture;
    setUpVersions(fixture);
    const auto first = start(fixture, makeRequest(fixture, "resume"));
    REQUIRE(first);
    for (const auto &[id, known] : fixture.state_.directory_.known_) {
        if (known.instance_.version_ == first->version_)
            fixture.state_.choice_.instanceStats_[id].ejectedUntil_ = fixture.now_ + Seconds {60};
    }
    const auto next = findCommand<SendAttempt>(breakOff(fixture, *first, 0));
    REQUIRE(next);
    CHECK(next->version_ != first->version_);
    startOutput(fixture, *next);
    CHECK(fixture.state_.active_.begin()->second.origin_->version_ == next->version_);
}

TEST_CASE("an attempt that begins to respond while it is given up decides the version")
{
    RelayFixture fixture;
    setUpVersions(fixture);
    fixture.state_.config_ = [] {
        auto config = makeConfig(2);
        config->routes_[3].maxAttempts_ = 2;
        return config;
    }();
    const auto first = start(fixture, makeRequest(fixture, "resume"));
    REQUIRE(first);
    for (const auto &[id, known] : fixture.state_.directory_.known_) {
        if (known.instance_.version_ == first->version_)
            fixture.state_.choice_.instanceStats_[id].ejectedUntil_ = fixture.now_ + Millis {900};
    }
    // Silent for twice its objective.
    const auto second = findCommand<SendAttempt>(advanceTime(fixture, Millis {801}));
    REQUIRE(second);
    REQUIRE(second->version_ != first->version_);
    fixture.now_ += Millis {200};
    RelayAttemptEnded superseded = ended(*second, AttemptEnd::Superseded);
    superseded.events_ = 2;
    superseded.partiallyDelivered_ = true;
    superseded.begunBy_ = first->attempt_;
    const auto third = findCommand<SendAttempt>(post(fixture, superseded));
    REQUIRE(third);
    CHECK(third->version_ == first->version_);
    CHECK(third->instance_ != first->instance_);
}

TEST_CASE("no stream begins at a version that the store has not confirmed")
{
    RelayFixture fixture;
    setUp(fixture);
    for (const char *id : {"e1", "e2"})
        fixture.state_.choice_.instanceStats_[UpstreamId {id}].ejectedUntil_
            = fixture.now_ + Seconds {60};
    change(fixture, engine("n1", "v2", 10));
    CHECK(!start(fixture, makeRequest(fixture, "resume")));
    // The stream of this route never continues elsewhere.
    CHECK(start(fixture, makeRequest(fixture, "stream")));
    confirmVersions(fixture);
    CHECK(start(fixture, makeRequest(fixture, "resume")));
}

TEST_CASE("a stream that waits begins once its version is confirmed")
{
    RelayFixture fixture;
    setUp(fixture);
    remove(fixture, "e1", 6);
    remove(fixture, "e2", 7);
    RelayCommands commands
        = post(fixture, InstanceChanged {engine("n1", "v2", 10), ChangeSource::Store});
    const auto write = findCommand<SubmitStoreCall>(commands);
    REQUIRE(write);
    REQUIRE(std::holds_alternative<CompareAndSwapCall>(write->call_));
    CHECK(!start(fixture, makeRequest(fixture, "resume")));
    StoreReply reply;
    reply.call_ = write->id_;
    reply.status_ = StoreStatus::Ok;
    reply.current_.revision_ = Revision {8};
    commands = post(fixture, StoreReplied {reply});
    CHECK(findCommand<SendAttempt>(commands));
    CHECK(findCommand<PublishVersions>(commands));
}

TEST_CASE("a daemon continues the streams that it began itself")
{
    RelayFixture fixture;
    setUpVersions(fixture);
    const RelayRequest request = makeRequest(fixture, "resume");
    const auto first = start(fixture, request);
    REQUIRE(first);
    startOutput(fixture, *first);
    post(fixture, ClientDisconnected {request.id_, 3});
    for (int i = 0; i < 10; ++i) {
        const auto again = start(fixture, takeUp(fixture, request.request_.value_));
        REQUIRE(again);
        CHECK(again->version_ == first->version_);
    }
}

TEST_CASE("the keepers of a stream are told where it began")
{
    RelayFixture fixture;
    setUpVersions(fixture);
    addPeers(fixture, 7);
    const RelayRequest request = makeRequest(fixture, "resume");
    const auto first = start(fixture, request);
    REQUIRE(first);
    const RelayCommands commands
        = post(fixture, OutputStarted {first->id_, first->attempt_, fixture.now_});
    std::set<std::string> told;
    for (const RelayCommand &command : commands) {
        const auto *sent = std::get_if<SendPeer>(&command);
        const auto *began = sent ? std::get_if<StreamBegan>(&sent->message_) : nullptr;
        if (!began)
            continue;
        told.insert(sent->host_.value_);
        CHECK(began->stream_ == streamKey(request.request_));
        CHECK(began->origin_.version_ == first->version_);
        CHECK(began->lifetime_ > *request.clientTimeout_);
    }
    CHECK(told.size() >= 2);
}

TEST_CASE("while one version serves, the keepers are told only if the record can't be asked")
{
    RelayFixture fixture;
    setUp(fixture);
    addPeers(fixture, 7);
    const RelayRequest request = makeRequest(fixture, "resume");
    const auto first = start(fixture, request);
    REQUIRE(first);
    const auto told = [&request](const RelayCommands &commands) {
        std::size_t count = 0;
        for (const RelayCommand &command : commands) {
            const auto *sent = std::get_if<SendPeer>(&command);
            const auto *began = sent ? std::get_if<StreamBegan>(&sent->message_) : nullptr;
            if (began && began->stream_ == streamKey(request.request_)
                && began->origin_.version_ == v1.version_)
                ++count;
        }
        return count;
    };
    CHECK(told(post(fixture, OutputStarted {first->id_, first->attempt_, fixture.now_})) == 0);
    SECTION("a second version appears")
    {
        CHECK(told(post(fixture, InstanceChanged {engine("n1", "v2", 10), ChangeSource::Store}))
              >= 2);
    }
    SECTION("the store is lost")
    {
        fixture.state_.storeContact_ = false;
        fixture.state_.sync_.unavailableFeeds_.insert("store.config");
        CHECK(told(advanceTime(fixture, Millis {1})) >= 2);
    }
}

TEST_CASE("a stream that another daemon began continues at the version that its keepers know")
{
    RelayFixture fixture;
    setUpVersions(fixture);
    addPeers(fixture, 7);
    fixture.now_ += Seconds {1};
    const RelayCommands asked = post(fixture, RequestRead {takeUp(fixture, "b")});
    const std::set<std::string> hosts = askedHosts(asked);
    REQUIRE(hosts.size() >= 2);
    CHECK(!findCommand<SendAttempt>(asked));
    const StreamKey key = streamKey(RequestId {"b"});
    SECTION("one keeper knows it")
    {
        RelayCommands commands = post(
            fixture,
            StreamOriginReplyReceived {HostId {*hosts.begin()},
                                       StreamOriginReply {key, OriginKnowledge::Unknown, {}}});
        CHECK(!findCommand<SendAttempt>(commands));
        commands
            = post(fixture,
                   StreamOriginReplyReceived {HostId {*hosts.rbegin()},
                                              StreamOriginReply {key, OriginKnowledge::Known, v2}});
        const auto attempt = findCommand<SendAttempt>(commands);
        REQUIRE(attempt);
        CHECK(attempt->version_ == v2.version_);
    }
    SECTION("a reply about another stream changes nothing")
    {
        const RelayCommands commands
            = post(fixture,
                   StreamOriginReplyReceived {
                       HostId {*hosts.begin()},
                       StreamOriginReply {streamKey(RequestId {"c"}), OriginKnowledge::Known, v2}});
        CHECK(!findCommand<SendAttempt>(commands));
        CHECK(!findCommand<RespondToClient>(commands));
    }
    SECTION("a keeper was told two versions")
    {
        const RelayCommands commands
            = post(fixture,
                   StreamOriginReplyReceived {
                       HostId {*hosts.begin()},
                       StreamOriginReply {key, OriginKnowledge::Contradictory, {}}});
        const auto refusal = findCommand<RespondToClient>(commands);
        REQUIRE(refusal);
        CHECK(refusal->status_ == 503);
        CHECK(refusal->reason_ == "stream_version_unknown");
    }
    SECTION("silent keepers are not waited for")
    {
        const RelayCommands commands
            = advanceTime(fixture, fixture.state_.settings_.origins_.replyTimeout_);
        const auto read = findCommand<SubmitStoreCall>(commands);
        REQUIRE(read);
        CHECK(std::holds_alternative<ReadCall>(read->call_));
    }
}

TEST_CASE("a stream that nobody remembers continues only if there is a single version")
{
    const std::string begunBy = GENERATE("b", "");
    RelayFixture fixture;
    setUp(fixture);
    fixture.now_ += Seconds {1};
    const RelayCommands waiting = post(fixture, RequestRead {takeUp(fixture, begunBy)});
    CHECK(!findCommand<SendAttempt>(waiting));
    const auto read = findCommand<SubmitStoreCall>(waiting);
    REQUIRE(read);
    SECTION("the record has one")
    {
        const auto attempt
            = findCommand<SendAttempt>(post(fixture, StoreReplied {recordReply(*read, {v1})}));
        REQUIRE(attempt);
        CHECK(attempt->version_ == v1.version_);
    }
    SECTION("the record has one that this daemon has not seen")
    {
        const RelayCommands commands = post(fixture, StoreReplied {recordReply(*read, {v1, v2})});
        CHECK(!findCommand<SendAttempt>(commands));
        const auto refusal = findCommand<RespondToClient>(commands);
        REQUIRE(refusal);
        CHECK(refusal->status_ == 503);
        CHECK(refusal->reason_ == "stream_version_unknown");
    }
    SECTION("the record has none, and one is served")
    {
        const auto attempt
            = findCommand<SendAttempt>(post(fixture, StoreReplied {recordReply(*read, {})}));
        // It may begin streams only once it is confirmed, but this stream has begun there.
        REQUIRE(attempt);
        CHECK(attempt->version_ == v1.version_);
    }
    SECTION("the store fails")
    {
        StoreReply failed;
        failed.call_ = read->id_;
        const RelayCommands commands = post(fixture, StoreReplied {failed});
        CHECK(!findCommand<SendAttempt>(commands));
        CHECK(findCommand<RespondToClient>(commands));
        // The next one is refused at once.
        CHECK(findCommand<RespondToClient>(post(fixture, RequestRead {takeUp(fixture, begunBy)})));
    }
    SECTION("the store is silent")
    {
        const RelayCommands commands = advanceTime(fixture, fixture.state_.settings_.recordWait_);
        CHECK(!findCommand<SendAttempt>(commands));
        CHECK(findCommand<RespondToClient>(commands));
    }
}

TEST_CASE("the client learns at once that no instance of the version is left")
{
    RelayFixture fixture;
    setUpVersions(fixture);
    tell(fixture, "b", ServedVersion {ServiceId {"llm"}, SoftwareVersion {"v0"}});
    const RelayCommands commands = post(fixture, RequestRead {takeUp(fixture, "b")});
    const auto refusal = findCommand<RespondToClient>(commands);
    REQUIRE(refusal);
    CHECK(refusal->status_ == 503);
    CHECK(refusal->reason_ == "stream_version_gone");
    // To come back would not help; the client has to begin anew.
    CHECK(!refusal->retryAfter_);
    CHECK(fixture.state_.resumedStreams_.gone_ == 1);
}

TEST_CASE("a route that moves to another service does not continue streams of the old one")
{
    RelayFixture fixture;
    setUpVersions(fixture);
    tell(fixture, "b", v1);
    auto config = makeConfig(2);
    config->routes_[3].targets_ = {RelayTarget {ServiceId {"app"}, 1}};
    post(fixture, ConfigReceived {config, ChangeSource::Store});
    confirmVersions(fixture);
    const RelayCommands commands = post(fixture, RequestRead {takeUp(fixture, "b")});
    CHECK(!findCommand<SendAttempt>(commands));
    CHECK(findCommand<RespondToClient>(commands));
}

TEST_CASE("a traffic split selects the same service for a stream that is taken up")
{
    RelayFixture fixture;
    setUp(fixture);
    auto config = makeConfig(2);
    config->routes_[3].targets_
        = {RelayTarget {ServiceId {"app"}, 1}, RelayTarget {ServiceId {"llm"}, 1}};
    post(fixture, ConfigReceived {config, ChangeSource::Store});
    confirmVersions(fixture);
    std::set<ServiceId> services;
    for (int i = 0; i < 20; ++i) {
        const RelayRequest request = makeRequest(fixture, "resume");
        const auto first = start(fixture, request);
        REQUIRE(first);
        startOutput(fixture, *first);
        const auto &service
            = fixture.state_.directory_.known_.at(first->instance_).instance_.service_;
        services.insert(service);
        fixture.state_.origins_ = {};
        fixture.state_.versions_.copy_->readAt_ = fixture.now_;
        const auto again = start(fixture, takeUp(fixture, request.request_.value_));
        REQUIRE(again);
        CHECK(fixture.state_.directory_.known_.at(again->instance_).instance_.service_ == service);
    }
    CHECK(services.size() == 2);
}

TEST_CASE("an instance that is back under its id with another version")
{
    RelayFixture fixture;
    setUp(fixture);
    remove(fixture, "e2", 6);
    change(fixture, engine("e1", "v1", 7));
    fixture.now_ += Millis {500};
    const RelayRequest request = makeRequest(fixture, "resume");
    const auto first = start(fixture, request);
    REQUIRE(first);
    startOutput(fixture, *first);
    fixture.now_ += Millis {200};
    ListedInstance restarted = engine("e1", "v2", 8);
    restarted.instance_.startedAt_ = WallTime {Millis {5}};
    SECTION("streams that began lately may have begun at either version")
    {
        change(fixture, restarted);
        change(fixture, engine("e3", "v1", 9));
        change(fixture, engine("n1", "v2", 10));
        confirmVersions(fixture);
        const RelayCommands commands = breakOff(fixture, *first);
        CHECK(!findCommand<SendAttempt>(commands));
        CHECK(findCommand<AbortResponse>(commands));
        const auto refusal = findCommand<RespondToClient>(
            post(fixture, RequestRead {takeUp(fixture, request.request_.value_)}));
        REQUIRE(refusal);
        CHECK(refusal->reason_ == "stream_version_unknown");
    }
    SECTION("a stream that began long before continues at the old one")
    {
        fixture.state_.settings_.maxEntryDelay_ = Millis {100};
        restarted.position_ = Revision {30};
        change(fixture, restarted);
        change(fixture, engine("e3", "v1", 31));
        confirmVersions(fixture);
        const auto next = findCommand<SendAttempt>(breakOff(fixture, *first));
        REQUIRE(next);
        CHECK(next->instance_ == UpstreamId {"e3"});
    }
}

TEST_CASE("a stream does not continue at an instance that may be another process by now")
{
    RelayFixture fixture;
    setUp(fixture);
    const auto refused = start(fixture, makeRequest(fixture, "stream"));
    REQUIRE(refused);
    post(fixture, ended(*refused, AttemptEnd::NotSent));
    fixture.now_ += Seconds {2};
    tell(fixture, "b", v1);
    for (int i = 0; i < 10; ++i) {
        const auto attempt = start(fixture, takeUp(fixture, "b"));
        REQUIRE(attempt);
        CHECK(attempt->instance_ != refused->instance_);
    }
    // After this time, its entry would show another version.
    fixture.now_ += Seconds {4};
    tell(fixture, "c", v1);
    std::set<UpstreamId> instances;
    for (int i = 0; i < 10; ++i)
        instances.insert(start(fixture, takeUp(fixture, "c"))->instance_);
    CHECK(instances.contains(refused->instance_));
}

TEST_CASE("an instance whose entry has not changed for long gets streams")
{
    // Entries change only if more than their sequence number does.
    RelayFixture fixture;
    setUp(fixture);
    for (int i = 0; i < 60; ++i)
        advanceTime(fixture, Seconds {1});
    change(fixture, engine("e2", "v1", 8));
    std::set<UpstreamId> instances;
    for (int i = 0; i < 10; ++i)
        instances.insert(start(fixture, makeRequest(fixture, "resume"))->instance_);
    CHECK(instances.size() == 2);
}

TEST_CASE("a machine that was suspended begins no streams until the versions are confirmed again")
{
    RelayFixture fixture;
    setUp(fixture);
    const RelayCommands commands = post(fixture, MachineResumed {});
    CHECK(!start(fixture, makeRequest(fixture, "resume")));
    CHECK(findCommand<SubmitStoreCall>(commands));
}

} // namespace tamarack
