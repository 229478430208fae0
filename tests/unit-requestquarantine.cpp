// Quarantine of requests that crash the instances that run them. Guards against such a request
// reaching instance after instance, and against sound requests that are refused.
#include "quarantinefixture.h"
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

/// A request; the second string stands for what differs between attempts.
RequestParts requestNamed(const std::string &name)
{
    return {name, "attempt"};
}

/// The three instances of a service end within 0.2 s, while sound requests wait on them too.
void endInstances(QuarantineFleet &fleet, int wave, const RequestParts &request)
{
    for (int i = 0; i < 3; ++i) {
        const std::string instance = "i" + std::to_string(wave * 3 + i);
        const std::string address = std::to_string(i) + ":80";
        for (int sound = 0; sound < 20; ++sound)
            crash(fleet, static_cast<std::size_t>(sound * 7 + i) % fleet.daemons_.size(), instance,
                  requestNamed(instance + "-" + std::to_string(sound)), address);
        crash(fleet, static_cast<std::size_t>(wave * 11 + i) % fleet.daemons_.size(), instance,
              request, address);
        passTime(fleet, Millis {60});
    }
}

RelayRequest requestWithContent(RelayFixture &fixture, std::uint64_t contentHash)
{
    RelayRequest request = makeRequest(fixture, "safe");
    request.contentHash_ = contentHash;
    return request;
}

/// A peer reports three crashes by requests with this content.
void reportCrashes(RelayFixture &fixture, std::uint64_t contentHash)
{
    const RelayRequest request = requestWithContent(fixture, contentHash);
    post(fixture, RequestRead {request});
    const SuspectId identity = fixture.state_.active_.at(request.id_).identity_;
    post(fixture, ClientDisconnected {request.id_, 0});
    QuarantineReport report;
    report.scope_ = QuarantineScope::Requests;
    for (int i = 0; i < 3; ++i)
        report.crashes_.push_back(
            ReportedCrash {InstanceProcess {UpstreamId {"x" + std::to_string(i)}, WallTime {}},
                           std::to_string(i) + ":80",
                           Millis {100 + i * 1000},
                           {identity},
                           {},
                           std::nullopt});
    post(fixture, QuarantineReportReceived {HostId {"peer"}, report});
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
    CHECK(response->reason_ == "request_quarantined");
    REQUIRE(response->retryAfter_);
    CHECK(*response->retryAfter_ > Seconds {60});
}

TEST_CASE("all daemons refuse a request that crashes the few instances of a service again")
{
    const std::size_t size = GENERATE(1U, 8U, 73U, 195U, 410U);
    QuarantineFleet fleet = makeQuarantineFleet(size, QuarantineScope::Requests);
    endInstances(fleet, 0, requestNamed("deadly"));
    passTime(fleet, Seconds {3});
    CHECK(countRefusing(fleet, requestNamed("deadly")) == 0);
    // The second end of the first instance is enough.
    crash(fleet, 0, "again", requestNamed("deadly"), "0:80");
    passTime(fleet, Seconds {1});
    CHECK(countRefusing(fleet, requestNamed("deadly")) == size);
    CHECK(countRefusing(fleet, requestNamed("i0-1")) == 0);
}

TEST_CASE("a request that crashes one instance in a while is refused after its third crash")
{
    QuarantineFleet fleet = makeQuarantineFleet(73, QuarantineScope::Requests);
    for (int i = 0; i < 3; ++i) {
        CHECK(countRefusing(fleet, requestNamed("deadly")) == 0);
        const std::string number = std::to_string(i);
        for (int other = 0; other < 3; ++other)
            crash(fleet, 5, "other" + number + std::to_string(other),
                  requestNamed("r" + number + std::to_string(other)));
        crash(fleet, static_cast<std::size_t>(i) * 20, "i" + number, requestNamed("deadly"));
        passTime(fleet, Seconds {8});
    }
    CHECK(countRefusing(fleet, requestNamed("deadly")) == 73);
}

TEST_CASE("a request that is answered between crashes is not refused")
{
    QuarantineFleet fleet = makeQuarantineFleet(20, QuarantineScope::Requests);
    for (int wave = 0; wave < 5; ++wave) {
        endInstances(fleet, wave, requestNamed("popular"));
        passTime(fleet, Seconds {2});
        respond(fleet, 13, requestNamed("popular"));
        passTime(fleet, Seconds {1});
        CHECK(countRefusing(fleet, requestNamed("popular")) == 0);
    }
}

TEST_CASE("connections to many instances that are lost at once make few suspects")
{
    // Reports of all requests that were waiting took the processor of small hosts.
    QuarantineFleet fleet = makeQuarantineFleet(20, QuarantineScope::Requests);
    for (int i = 0; i < 60; ++i) {
        for (int request = 0; request < 5; ++request)
            crash(fleet, 3, "i" + std::to_string(i),
                  requestNamed(std::to_string(i) + "-" + std::to_string(request)));
    }
    passTime(fleet, Seconds {2});
    for (const Quarantine &daemon : fleet.daemons_)
        CHECK(daemon.suspects_.size() <= 5 * fleet.settings_.maxSimultaneousLosses_);
    // A single loss later counts again.
    crash(fleet, 3, "later", requestNamed("later"));
    CHECK(fleet.daemons_[3].suspects_.size() == 5 * fleet.settings_.maxSimultaneousLosses_ + 1);
}

TEST_CASE("instances that end for another reason condemn none of the requests that are sent most")
{
    // Nothing tells these requests apart: each of them was waiting on each instance.
    QuarantineFleet fleet = makeQuarantineFleet(20, QuarantineScope::Requests);
    for (int wave = 0; wave < 3; ++wave) {
        for (int popular = 0; popular < 8; ++popular) {
            for (int i = 0; i < 3; ++i)
                crash(fleet, static_cast<std::size_t>(popular), "i" + std::to_string(wave * 3 + i),
                      requestNamed("popular" + std::to_string(popular)), std::to_string(i) + ":80");
        }
        passTime(fleet, Seconds {3});
    }
    for (int popular = 0; popular < 8; ++popular)
        CHECK(countRefusing(fleet, requestNamed("popular" + std::to_string(popular))) == 0);
}

TEST_CASE(
    "requests of other accounts or with other content go on, the same at any attempt does not")
{
    RelayFixture fixture;
    setUp(fixture);
    const auto waiting
        = findCommand<SendAttempt>(post(fixture, RequestRead {requestWithContent(fixture, 7)}));
    REQUIRE(waiting);
    reportCrashes(fixture, 7);
    // One that may have begun to run is ended, without a promise that it has not.
    const auto response = findCommand<RespondToClient>(
        advanceTime(fixture, fixture.state_.settings_.requestQuarantine_.objectionTime_));
    REQUIRE(response);
    CHECK(response->id_ == waiting->id_);
    CHECK(response->status_ == 502);
    CHECK_FALSE(
        findCommand<SendAttempt>(post(fixture, RequestRead {requestWithContent(fixture, 7)})));
    CHECK(findCommand<SendAttempt>(post(fixture, RequestRead {requestWithContent(fixture, 8)})));
    auto config = makeConfig(2);
    config->accounts_[AccountId {"other"}]
        = RelayAccount {AccountId {"other"}, std::nullopt, std::nullopt};
    config->accountByKey_["other-key"] = AccountId {"other"};
    post(fixture, ConfigReceived {config, ChangeSource::Store});
    RelayRequest request = requestWithContent(fixture, 7);
    request.key_ = "other-key";
    CHECK(findCommand<SendAttempt>(post(fixture, RequestRead {request})));
}

TEST_CASE("after the quarantine of a request one trial is sent, and a response ends it")
{
    RelayFixture fixture;
    setUp(fixture);
    reportCrashes(fixture, 7);
    const QuarantineSettings &settings = fixture.state_.settings_.requestQuarantine_;
    advanceTime(fixture, settings.minDuration_ - Seconds {1});
    CHECK_FALSE(
        findCommand<SendAttempt>(post(fixture, RequestRead {requestWithContent(fixture, 7)})));
    advanceTime(fixture, Seconds {1});
    const auto trial
        = findCommand<SendAttempt>(post(fixture, RequestRead {requestWithContent(fixture, 7)}));
    REQUIRE(trial);
    CHECK_FALSE(
        findCommand<SendAttempt>(post(fixture, RequestRead {requestWithContent(fixture, 7)})));
    post(fixture, ended(*trial, AttemptEnd::Delivered, 200));
    CHECK(findCommand<SendAttempt>(post(fixture, RequestRead {requestWithContent(fixture, 7)})));
}

} // namespace tamarack
