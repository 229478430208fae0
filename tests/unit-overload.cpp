// Overload of a host. Guards against a daemon that keeps taking the requests of most clients of its
// zone although its host can't handle them.
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
    // The processor of such a host is idle; only the messages of its peers arrive late.
    const OverloadSettings settings;
    Overload overload;
    MonoTime now {Seconds {1000}};
    int replies = 0;
    const auto reply = [&](Millis time, int peers = 2) {
        now += Millis {300};
        const HostId from {"peer" + std::to_string(++replies % peers)};
        recordPeerReply(overload, settings, from, time, now);
        recordEventDelay(overload, settings, Millis {}, now);
    };
    SECTION("one slow reply is no overload")
    {
        for (int i = 0; i < 20; ++i)
            reply(i % 3 == 0 ? Millis {400} : Millis {5});
        CHECK(!isOverloaded(overload));
    }
    SECTION("one slow peer is no overload of this host")
    {
        for (int i = 0; i < 20; ++i)
            reply(Millis {400}, 1);
        CHECK(!isOverloaded(overload));
    }
    SECTION("it recovers when replies are fast again")
    {
        for (int i = 0; i < 4; ++i)
            reply(Millis {200});
        REQUIRE(isOverloaded(overload));
        for (int i = 0; i < 30; ++i)
            reply(Millis {200});
        CHECK(isOverloaded(overload));
        for (int i = 0; i < 3; ++i)
            reply(Millis {5});
        CHECK(!isOverloaded(overload));
    }
    SECTION("it recovers when it asks no peers any more")
    {
        for (int i = 0; i < 4; ++i)
            reply(Millis {200});
        REQUIRE(isOverloaded(overload));
        for (MonoTime end = now + 2 * settings.minDuration_; now < end; now += Millis {50})
            recordEventDelay(overload, settings, Millis {}, now);
        CHECK(!isOverloaded(overload));
    }
}

TEST_CASE("late replies of peers take a relay out of the rotation")
{
    RelayFixture fixture;
    setUp(fixture);
    for (int i = 0; i < 3; ++i) {
        const HostId peer {"peer" + std::to_string(i % 2)};
        fixture.state_.sync_.unanswered_[peer] = fixture.now_;
        fixture.now_ += Millis {200};
        post(fixture, DocumentsReplyReceived {peer, Millis {0}});
    }
    CHECK(!fixture.state_.ready_);
}

TEST_CASE("peers that are all silent take a relay out of the rotation, a dead one does not")
{
    // Replies that come after their timeout are not replies.
    RelayFixture fixture;
    setUp(fixture);
    const bool allSilent = GENERATE(true, false);
    FleetView fleet {5, 5, {}};
    for (int i = 0; i < 4; ++i)
        fleet.peers_.push_back(PeerAddress {HostId {"peer" + std::to_string(i)}, ZoneId {"near"},
                                            "p:" + std::to_string(i), 1000});
    fixture.state_.settings_.host_ = HostId {"me"};
    post(fixture, fleet);
    for (int i = 0; i < 100; ++i) {
        for (const RelayCommand &command : advanceTime(fixture, Millis {50})) {
            const auto *request = std::get_if<RequestPeerDocuments>(&command);
            if (!request || allSilent)
                continue;
            for (const PeerAddress &peer : request->peers_) {
                if (peer.host_ != HostId {"peer0"})
                    post(fixture, DocumentsReplyReceived {peer.host_, Millis {0}});
            }
        }
    }
    CHECK(fixture.state_.ready_ == !allSilent);
}

TEST_CASE("a stopping daemon stays out of the rotation after an overload")
{
    RelayFixture fixture;
    setUp(fixture);
    runWithDelay(fixture, Millis {200}, Seconds {1});
    post(fixture, RelayStopRequested {fixture.now_ + Seconds {60}});
    CHECK(runWithDelay(fixture, Millis {}, Millis {8000}).empty());
}

} // namespace tamarack
