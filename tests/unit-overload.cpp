// Readiness of a daemon whose host is overloaded or accepts no connections. Guards against a daemon
// that keeps taking the requests of most clients of its zone although its host can't handle them,
// and against one that says that it is ready while no client can connect to it.
#include "relayfixture.h"

namespace tamarack {

namespace {

/// Handles timer work for a while, with the same delay for each event.
/// @return the commands that change the readiness or the reuse of connections
RelayCommands runWithDelay(RelayFixture &fixture, Millis delay, Millis time)
{
    RelayCommands changes;
    for (Millis passed {}; passed < time; passed += Millis {20}) {
        recordEventDelay(fixture.state_, delay, fixture.now_);
        for (RelayCommand &command : advanceTime(fixture, Millis {20})) {
            if (std::holds_alternative<SetReady>(command)
                || std::holds_alternative<SetKeepAlive>(command))
                changes.push_back(std::move(command));
        }
    }
    return changes;
}

} // namespace

TEST_CASE("an overloaded daemon takes no new connections until it has caught up")
{
    RelayFixture fixture;
    setUp(fixture);
    REQUIRE(fixture.state_.ready_);
    const RelayCommands overloaded = runWithDelay(fixture, Millis {200}, Seconds {1});
    REQUIRE(findCommand<SetReady>(overloaded));
    CHECK(!findCommand<SetReady>(overloaded)->ready_);
    REQUIRE(findCommand<SetKeepAlive>(overloaded));
    CHECK(!findCommand<SetKeepAlive>(overloaded)->enabled_);
    // Requests on open connections are still handled.
    CHECK(findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "safe")})));
    CHECK(runWithDelay(fixture, Millis {200}, Seconds {5}).empty());

    const RelayCommands recovered = runWithDelay(fixture, Millis {1}, Seconds {6});
    REQUIRE(findCommand<SetReady>(recovered));
    CHECK(findCommand<SetReady>(recovered)->ready_);
    CHECK(findCommand<SetKeepAlive>(recovered)->enabled_);
}

TEST_CASE("a short burst does not take a daemon out of the rotation")
{
    RelayFixture fixture;
    setUp(fixture);
    CHECK(runWithDelay(fixture, Millis {200}, Millis {100}).empty());
    CHECK(runWithDelay(fixture, Millis {5}, Seconds {5}).empty());
}

TEST_CASE("an overload that returns at once lasts longer")
{
    const OverloadSettings settings;
    Overload overload;
    MonoTime now {Seconds {1000}};
    std::vector<Millis> durations;
    for (int round = 0; round < 6; ++round) {
        while (!isOverloaded(overload))
            recordEventDelay(overload, settings, Millis {200}, now += Millis {20});
        const MonoTime begin = now;
        while (isOverloaded(overload))
            recordEventDelay(overload, settings, Millis {}, now += Millis {20});
        durations.push_back(std::chrono::duration_cast<Millis>(now - begin));
    }
    CHECK(durations[1] >= 2 * settings.minDuration_);
    CHECK(durations[2] >= 4 * settings.minDuration_);
    CHECK(durations[5] <= settings.maxDuration_ + settings.smoothingTime_);
}

TEST_CASE("a daemon whose network link is overloaded takes no new connections")
{
    // The processor of such a host is idle.
    OverloadSettings settings;
    settings.linkBytesPerSecond_ = 1'250'000;
    Overload overload;
    MonoTime now {Seconds {1000}};
    TrafficTotals totals;
    const bool receives = GENERATE(true, false);
    const auto transfer = [&](double linkUse, Millis time) {
        for (Millis passed {}; passed < time; passed += Millis {10}) {
            now += Millis {10};
            const auto bytes = static_cast<std::uint64_t>(linkUse * 12'500);
            (receives ? totals.received_ : totals.sent_) += bytes;
            recordTraffic(overload, settings, totals, now);
            recordEventDelay(overload, settings, Millis {}, now);
        }
    };
    transfer(0.3, Seconds {5});
    CHECK(!isOverloaded(overload));
    SECTION("a large body, which takes the whole link for a moment, is no overload")
    {
        for (int i = 0; i < 10; ++i) {
            transfer(1.0, Millis {300});
            transfer(0.1, Seconds {1});
            CHECK(!isOverloaded(overload));
        }
    }
    SECTION("it recovers when there is less traffic")
    {
        transfer(0.95, Seconds {3});
        REQUIRE(isOverloaded(overload));
        transfer(0.95, Seconds {20});
        CHECK(isOverloaded(overload));
        transfer(0.2, Seconds {3});
        CHECK(!isOverloaded(overload));
    }
    SECTION("it recovers when there is no more traffic")
    {
        transfer(0.95, Seconds {3});
        REQUIRE(isOverloaded(overload));
        transfer(0.0, 2 * settings.minDuration_);
        CHECK(!isOverloaded(overload));
    }
    SECTION("without a known capacity nothing can be said")
    {
        settings.linkBytesPerSecond_ = 0;
        transfer(5.0, Seconds {5});
        CHECK(!isOverloaded(overload));
    }
}

TEST_CASE("a full network link takes a relay out of the rotation")
{
    RelayFixture fixture;
    setUp(fixture);
    fixture.state_.settings_.overload_.linkBytesPerSecond_ = 1'250'000;
    TrafficTotals totals;
    for (int i = 0; i < 100; ++i) {
        totals.sent_ += 24'000;
        recordTraffic(fixture.state_, totals, fixture.now_);
        advanceTime(fixture, Millis {20});
    }
    CHECK(!fixture.state_.ready_);
}

TEST_CASE("peers that are slow or silent take no daemon out of the rotation")
{
    // A large document, or a cut between hosts, delays the replies to all daemons. If they took it
    // for their own overload, most of the fleet would leave the rotation at once.
    RelayFixture fixture;
    setUp(fixture);
    const bool silent = GENERATE(true, false);
    FleetView fleet {5, 5, {}};
    for (int i = 0; i < 4; ++i)
        fleet.peers_.push_back(PeerAddress {HostId {"peer" + std::to_string(i)}, ZoneId {"near"},
                                            "p:" + std::to_string(i), 1000});
    fixture.state_.settings_.host_ = HostId {"me"};
    post(fixture, fleet);
    std::size_t requests = 0;
    for (int i = 0; i < 100; ++i) {
        for (const RelayCommand &command : advanceTime(fixture, Millis {50})) {
            const auto *request = std::get_if<RequestPeerDocuments>(&command);
            if (!request)
                continue;
            requests += request->peers_.size();
            if (silent)
                continue;
            fixture.now_ += Millis {300};
            for (const PeerAddress &peer : request->peers_)
                post(fixture, DocumentsReplyReceived {peer.host_, Millis {0}});
        }
        CHECK(fixture.state_.ready_);
    }
    CHECK(requests > 3);
}

TEST_CASE("a stopping daemon stays out of the rotation after an overload")
{
    RelayFixture fixture;
    setUp(fixture);
    runWithDelay(fixture, Millis {200}, Seconds {1});
    post(fixture, RelayStopRequested {fixture.now_ + Seconds {60}});
    CHECK(runWithDelay(fixture, Millis {}, Millis {8000}).empty());
}

namespace {

std::optional<bool> announcedReadiness(const RelayCommands &commands)
{
    const auto ready = findCommand<SetReady>(commands);
    return ready ? std::optional(ready->ready_) : std::nullopt;
}

} // namespace

TEST_CASE("a daemon that accepts no connections is not ready")
{
    RelayFixture fixture;
    setUp(fixture);
    REQUIRE(fixture.state_.ready_);
    const Millis pause = fixture.state_.settings_.maxAcceptPause_;
    CHECK_FALSE(announcedReadiness(post(fixture, AcceptingChanged {false})));
    CHECK(nextDueTime(fixture.state_) <= fixture.now_ + pause);
    SECTION("but for a moment")
    {
        CHECK_FALSE(announcedReadiness(advanceTime(fixture, pause - Millis {1})));
        CHECK_FALSE(announcedReadiness(post(fixture, AcceptingChanged {true})));
        CHECK_FALSE(announcedReadiness(advanceTime(fixture, pause)));
    }
    SECTION("until it accepts them again")
    {
        const RelayCommands commands = advanceTime(fixture, pause);
        CHECK(announcedReadiness(commands) == false);
        // Connections that clients keep are closed after their responses, which makes room.
        const auto keepAlive = findCommand<SetKeepAlive>(commands);
        REQUIRE(keepAlive);
        CHECK_FALSE(keepAlive->enabled_);
        CHECK(announcedReadiness(post(fixture, AcceptingChanged {true})) == true);
    }
}

} // namespace tamarack
