// Requests with quarantined prompt parts. Guards against such a request being sent to an instance,
// or left waiting on one, and against untrue answers to its client.
#include "relayfixture.h"

#include "core/hash.h"

#include <algorithm>

namespace tamarack {

namespace {

RelayRequest requestWith(RelayFixture &fixture, const std::string &route,
                         const std::vector<std::string> &parts)
{
    RelayRequest request = makeRequest(fixture, route);
    request.usage_ = PromptUsage {Tokens {100}, Tokens {10}, {}};
    for (const std::string &part : parts)
        request.usage_->parts_.push_back(PromptPart {part, Tokens {50}});
    return request;
}

RelayRequest deadlyRequest(RelayFixture &fixture, const std::string &route = "stream")
{
    return requestWith(fixture, route, {"system", "deadly", "own"});
}

/// Sets up a relay with many instances, whose account is not limited.
void setUpEngines(RelayFixture &fixture)
{
    setUp(fixture);
    auto config = makeConfig(2);
    config->accounts_[AccountId {"acme"}].prepaid_.reset();
    config->routes_[3].maxAttempts_ = 5;
    post(fixture, ConfigReceived {config, ChangeSource::Store});
    for (std::uint64_t i = 3; i < 9; ++i)
        post(fixture,
             InstanceChanged {makeInstance("e" + std::to_string(i), "llm", 10 + i),
                              ChangeSource::Store});
    const auto sent = findCommand<SendAttempt>(
        post(fixture, RequestRead {requestWith(fixture, "stream", {"system", "own"})}));
    post(fixture, ended(*sent, AttemptEnd::Delivered, 200));
}

/// Another daemon reports the end of two instances under a part.
void reportCrashes(RelayFixture &fixture, const std::string &part)
{
    QuarantineReport report;
    for (const char *instance : {"x1", "x2"}) {
        const bool first = report.crashes_.empty();
        report.crashes_.push_back(
            ReportedCrash {InstanceProcess {UpstreamId {instance}, WallTime {}},
                           std::string(instance) + ":80",
                           Millis {first ? 1500 : 100},
                           {SuspectId {hash64(part)}},
                           {},
                           std::nullopt});
    }
    post(fixture, QuarantineReportReceived {HostId {"peer"}, report});
    advanceTime(fixture, fixture.state_.settings_.quarantine_.objectionTime_);
}

} // namespace

TEST_CASE("a request with a quarantined part is refused at once and not sent")
{
    RelayFixture fixture;
    setUpEngines(fixture);
    reportCrashes(fixture, "deadly");
    const RelayCommands out = post(fixture, RequestRead {deadlyRequest(fixture)});
    CHECK(!findCommand<SendAttempt>(out));
    const auto response = findCommand<RespondToClient>(out);
    REQUIRE(response);
    CHECK(response->status_ == 503);
    CHECK(response->reason_ == "prompt_part_quarantined");
    // The client is told when a retry may succeed, even if that is after its deadline.
    REQUIRE(response->retryAfter_);
    CHECK(*response->retryAfter_ > Seconds {50});
    // Requests of the same account with the same first part go on.
    CHECK(findCommand<SendAttempt>(
        post(fixture, RequestRead {requestWith(fixture, "stream", {"system", "other", "own"})})));
    CHECK(findCommand<SendAttempt>(
        post(fixture, RequestRead {requestWith(fixture, "stream", {"system", "deadly"})})));
}

TEST_CASE("requests that wait on instances with a quarantined part are ended")
{
    RelayFixture fixture;
    setUpEngines(fixture);
    const auto waiting
        = findCommand<SendAttempt>(post(fixture, RequestRead {deadlyRequest(fixture)}));
    const auto writing
        = findCommand<SendAttempt>(post(fixture, RequestRead {deadlyRequest(fixture)}));
    REQUIRE(writing);
    post(fixture, OutputStarted {writing->id_, 1, fixture.now_});
    QuarantineReport report;
    for (int i = 0; i < 2; ++i)
        report.crashes_.push_back(
            ReportedCrash {InstanceProcess {UpstreamId {"x" + std::to_string(i)}, WallTime {}},
                           std::to_string(i) + ":80",
                           Millis {i * 1000},
                           {SuspectId {hash64("deadly")}},
                           {},
                           std::nullopt});
    post(fixture, QuarantineReportReceived {HostId {"peer"}, report});
    const auto response = findCommand<RespondToClient>(
        advanceTime(fixture, fixture.state_.settings_.quarantine_.objectionTime_));
    REQUIRE(response);
    CHECK(response->id_ == waiting->id_);
    // The instance may have begun to run the request.
    CHECK(response->status_ == 502);
    CHECK(!response->retryAfter_);
    CHECK(fixture.state_.active_.size() == 1);
}

TEST_CASE("a request that may have crashed several instances is not sent to another one")
{
    RelayFixture fixture;
    setUpEngines(fixture);
    RelayCommands out = post(fixture, RequestRead {deadlyRequest(fixture, "resume")});
    int crashes = 0;
    while (const auto sent = findCommand<SendAttempt>(out)) {
        ++crashes;
        fixture.now_ += Millis {50};
        out = post(fixture, ended(*sent, AttemptEnd::ConnectionLost));
    }
    CHECK(crashes == 2);
    CHECK(findCommand<RespondToClient>(out)->status_ == 502);
}

TEST_CASE("a sound request whose instance ends is retried as before")
{
    RelayFixture fixture;
    setUpEngines(fixture);
    RelayCommands out
        = post(fixture, RequestRead {requestWith(fixture, "resume", {"system", "own"})});
    for (int i = 0; i < 3; ++i) {
        const auto sent = findCommand<SendAttempt>(out);
        REQUIRE(sent);
        out = post(fixture, ended(*sent, AttemptEnd::ConnectionLost));
    }
    CHECK(findCommand<SendAttempt>(out));
    CHECK(fixture.state_.quarantine_.crashes_.empty());
}

TEST_CASE("output clears the parts of a request only after it has lasted")
{
    RelayFixture fixture;
    setUpEngines(fixture);
    for (int i = 0; i < 4; ++i) {
        const auto sent
            = findCommand<SendAttempt>(post(fixture, RequestRead {deadlyRequest(fixture)}));
        REQUIRE(sent);
        post(fixture, OutputStarted {sent->id_, 1, fixture.now_});
        fixture.now_ += Millis {i < 2 ? 100 : 1000};
        post(fixture, ended(*sent, AttemptEnd::ConnectionLost));
        fixture.now_ += Seconds {1};
        if (i == 1) {
            CHECK(!findCommand<SendAttempt>(post(fixture, RequestRead {deadlyRequest(fixture)})));
            fixture.state_.quarantine_ = Quarantine {};
        }
    }
    CHECK(findCommand<SendAttempt>(post(fixture, RequestRead {deadlyRequest(fixture)})));
}

TEST_CASE("an attempt that did not reach its instance is no crash")
{
    RelayFixture fixture;
    setUpEngines(fixture);
    for (const AttemptEnd end : {AttemptEnd::NotSent, AttemptEnd::NotExecuted, AttemptEnd::Failed,
                                 AttemptEnd::Malformed, AttemptEnd::WrongInstance}) {
        const auto sent
            = findCommand<SendAttempt>(post(fixture, RequestRead {deadlyRequest(fixture)}));
        if (sent)
            post(fixture, ended(*sent, end));
    }
    CHECK(fixture.state_.quarantine_.crashes_.empty());
}

TEST_CASE("resets by instances that go on answering condemn no prompt part")
{
    RelayFixture fixture;
    setUpEngines(fixture);
    const auto sendRare = [&fixture] {
        return findCommand<SendAttempt>(
            post(fixture, RequestRead {requestWith(fixture, "stream", {"system", "rare", "own"})}));
    };
    for (int i = 0; i < 4; ++i) {
        const auto rare = sendRare();
        REQUIRE(rare);
        std::vector<SendAttempt> others;
        others.reserve(40);
        for (int other = 0; other < 40; ++other)
            others.push_back(*findCommand<SendAttempt>(
                post(fixture, RequestRead {requestWith(fixture, "stream", {"system", "own"})})));
        REQUIRE(std::any_of(others.begin(), others.end(), [&rare](const SendAttempt &other) {
            return other.instance_ == rare->instance_;
        }));
        post(fixture, ended(*rare, AttemptEnd::ConnectionLost));
        advanceTime(fixture, Millis {700});
        for (const SendAttempt &other : others)
            post(fixture, ended(other, AttemptEnd::Delivered, 200));
    }
    advanceTime(fixture, Seconds {1});
    CHECK(sendRare());
}

TEST_CASE("after the quarantine a relay sends one request as a trial")
{
    RelayFixture fixture;
    setUpEngines(fixture);
    reportCrashes(fixture, "deadly");
    advanceTime(fixture, fixture.state_.settings_.quarantine_.minDuration_);
    const auto trial
        = findCommand<SendAttempt>(post(fixture, RequestRead {deadlyRequest(fixture)}));
    REQUIRE(trial);
    CHECK(!findCommand<SendAttempt>(post(fixture, RequestRead {deadlyRequest(fixture)})));
    SECTION("a response lets the part back")
    {
        post(fixture, ended(*trial, AttemptEnd::Delivered, 200));
        CHECK(findCommand<SendAttempt>(post(fixture, RequestRead {deadlyRequest(fixture)})));
    }
    SECTION("a crash prolongs the quarantine")
    {
        post(fixture, ended(*trial, AttemptEnd::ConnectionLost));
        advanceTime(fixture, fixture.state_.settings_.quarantine_.minDuration_ / 2);
        CHECK(!findCommand<SendAttempt>(post(fixture, RequestRead {deadlyRequest(fixture)})));
    }
}

TEST_CASE("crashes are reported to the peers, and a restarted daemon asks for them")
{
    RelayFixture fixture;
    setUpEngines(fixture);
    fixture.state_.settings_.host_ = HostId {"me"};
    const RelayCommands joined = post(
        fixture, FleetView {2, 2, {PeerAddress {HostId {"peer"}, ZoneId {"near"}, "p:1", 0}}});
    const auto question = findCommand<SendPeer>(joined);
    REQUIRE(question);
    CHECK(std::get<QuarantineReport>(question->message_).purpose_ == ReportPurpose::Compare);
    const auto sent = findCommand<SendAttempt>(post(fixture, RequestRead {deadlyRequest(fixture)}));
    post(fixture, ended(*sent, AttemptEnd::ConnectionLost));
    const auto news = findCommand<SendPeer>(
        advanceTime(fixture, fixture.state_.settings_.quarantine_.reportDelay_));
    REQUIRE(news);
    const auto &report = std::get<QuarantineReport>(news->message_);
    REQUIRE(report.crashes_.size() == 1);
    CHECK(report.crashes_[0].suspects_ == std::vector<SuspectId> {{hash64("deadly")}});
}

} // namespace tamarack
