// The record of the software versions at which streams may have begun. Guards against a stream that
// begins at a version of which a daemon that starts later would know nothing.
#include "core/relay/relay.h"

#include <catch2/catch.hpp>

#include <optional>
#include <set>
#include <vector>

namespace tamarack {

namespace {

const ServedVersionSettings settings;
const ServiceId llm {"llm"};
const ServedVersion v1 {llm, SoftwareVersion {"v1"}};
const ServedVersion v2 {llm, SoftwareVersion {"v2"}};

/// The key of the record in a store.
struct RecordKey
{
    VersionRecord record_;
    Revision revision_;
    StoreEra era_ {1};
    int calls_ = 0;
    int writes_ = 0;
};

struct Daemon
{
    ServedVersions versions_;
    bool followsStore_ = true;
};

Daemon makeDaemon(bool followsStore = true)
{
    Daemon daemon;
    daemon.versions_.services_ = {llm};
    daemon.versions_.era_ = StoreEra {1};
    daemon.followsStore_ = followsStore;
    return daemon;
}

StoreReply apply(RecordKey &key, const SubmitStoreCall &call)
{
    ++key.calls_;
    StoreReply reply;
    reply.call_ = call.id_;
    reply.era_ = key.era_;
    const auto *swap = std::get_if<CompareAndSwapCall>(&call.call_);
    if (swap && swap->expected_ == key.revision_) {
        ++key.writes_;
        key.record_ = std::get<VersionRecord>(swap->value_);
        key.revision_ = Revision {key.revision_.value_ + 1};
        reply.status_ = StoreStatus::Ok;
        reply.current_.revision_ = key.revision_;
        return reply;
    }
    reply.status_ = swap ? StoreStatus::Conflict : StoreStatus::Ok;
    reply.current_.revision_ = key.revision_;
    if (key.revision_ != Revision {})
        reply.current_.value_ = key.record_;
    return reply;
}

std::optional<SubmitStoreCall> startCall(Daemon &daemon, MonoTime now)
{
    return startVersionCall(daemon.versions_, settings, daemon.followsStore_, now);
}

bool finishCall(Daemon &daemon, const StoreReply &reply, MonoTime now)
{
    return finishVersionCall(daemon.versions_, settings, reply, now);
}

/// Executes all calls that are due.
void runCalls(Daemon &daemon, RecordKey &key, MonoTime now)
{
    while (const auto call = startCall(daemon, now))
        CHECK(finishCall(daemon, apply(key, *call), now));
}

void see(Daemon &daemon, const std::set<ServedVersion> &served, MonoTime now)
{
    noteServed(daemon.versions_, settings, served, now);
}

} // namespace

TEST_CASE("no stream begins at a version before the store has confirmed it")
{
    MonoTime now {Seconds {1000}};
    RecordKey key;
    Daemon daemon = makeDaemon();
    see(daemon, {v1}, now);
    CHECK(confirmedVersions(daemon.versions_, llm).empty());
    const auto read = startCall(daemon, now);
    REQUIRE(read);
    CHECK(std::holds_alternative<ReadCall>(read->call_));
    CHECK(!startCall(daemon, now));
    CHECK(finishCall(daemon, apply(key, *read), now));
    CHECK(confirmedVersions(daemon.versions_, llm).empty());
    const auto write = startCall(daemon, now);
    REQUIRE(write);
    CHECK(std::holds_alternative<CompareAndSwapCall>(write->call_));
    CHECK(confirmedVersions(daemon.versions_, llm).empty());
    CHECK(finishCall(daemon, apply(key, *write), now));
    CHECK(confirmedVersions(daemon.versions_, llm) == std::set {v1.version_});
    CHECK(!startCall(daemon, now));
}

TEST_CASE("a write without a reply does not confirm, and the record is read again")
{
    const auto status = GENERATE(StoreStatus::Unknown, StoreStatus::Unavailable);
    MonoTime now {Seconds {1000}};
    RecordKey key;
    Daemon daemon = makeDaemon();
    runCalls(daemon, key, now);
    see(daemon, {v1}, now);
    const auto write = startCall(daemon, now);
    REQUIRE(write);
    StoreReply lost = apply(key, *write);
    lost.status_ = status;
    lost.current_ = {};
    CHECK(finishCall(daemon, lost, now));
    CHECK(confirmedVersions(daemon.versions_, llm).empty());
    // Not at once: the store may be overloaded.
    CHECK(!startCall(daemon, now));
    REQUIRE(nextVersionCall(daemon.versions_, settings, true));
    now = *nextVersionCall(daemon.versions_, settings, true);
    runCalls(daemon, key, now);
    CHECK(confirmedVersions(daemon.versions_, llm) == std::set {v1.version_});
    CHECK(key.writes_ == 1);
}

TEST_CASE("failed calls are repeated ever more rarely")
{
    MonoTime now {Seconds {1000}};
    Daemon daemon = makeDaemon();
    see(daemon, {v1}, now);
    int calls = 0;
    for (const MonoTime end = now + Seconds {30}; now < end; now += Millis {10}) {
        if (const auto call = startCall(daemon, now)) {
            ++calls;
            StoreReply reply;
            reply.call_ = call->id_;
            finishCall(daemon, reply, now);
        }
    }
    CHECK(calls <= 16);
}

TEST_CASE("daemons that see a version at the same time lose none")
{
    const MonoTime now {Seconds {1000}};
    RecordKey key;
    std::vector<Daemon> daemons(6, makeDaemon());
    for (Daemon &daemon : daemons)
        runCalls(daemon, key, now);
    std::vector<SubmitStoreCall> calls;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        see(daemons[i], {i % 2 == 0 ? v1 : v2}, now);
        calls.push_back(*startCall(daemons[i], now));
    }
    for (std::size_t i = 0; i < daemons.size(); ++i)
        CHECK(finishCall(daemons[i], apply(key, calls[i]), now));
    for (Daemon &daemon : daemons)
        runCalls(daemon, key, now);
    CHECK(key.record_.versions_ == std::set {v1, v2});
    CHECK(key.writes_ == 2);
    for (std::size_t i = 0; i < daemons.size(); ++i)
        CHECK(isConfirmed(daemons[i].versions_, i % 2 == 0 ? v1 : v2));
}

TEST_CASE("a daemon that does not follow the store has a version confirmed by a peer")
{
    MonoTime now {Seconds {1000}};
    RecordKey key;
    Daemon follower = makeDaemon();
    Daemon other = makeDaemon(false);
    runCalls(follower, key, now);
    runCalls(other, key, now);
    see(follower, {v1}, now);
    see(other, {v1}, now);
    runCalls(follower, key, now);
    const int calls = key.calls_;
    CHECK(!startCall(other, now));
    SECTION("the peer's word is enough")
    {
        CHECK(noteConfirmedByPeer(other.versions_, versionsToConfirm(follower.versions_)));
        CHECK(isConfirmed(other.versions_, v1));
        CHECK(!startCall(other, now + Seconds {10}));
        CHECK(key.calls_ == calls);
        // It is not passed on: a peer's word would go round after the store has forgotten it.
        CHECK(versionsToConfirm(other.versions_).versions_.empty());
    }
    SECTION("not if it is from another era of the store")
    {
        ConfirmedVersions confirmed = versionsToConfirm(follower.versions_);
        confirmed.era_ = StoreEra {2};
        CHECK(!noteConfirmedByPeer(other.versions_, confirmed));
        CHECK(!isConfirmed(other.versions_, v1));
    }
    SECTION("without it, the store is asked")
    {
        now += settings.peerWait_;
        CHECK(nextVersionCall(other.versions_, settings, false) == now);
        runCalls(other, key, now);
        CHECK(isConfirmed(other.versions_, v1));
    }
}

TEST_CASE("a version stays possible until no stream of it can be taken up any more")
{
    MonoTime now {Seconds {1000}};
    RecordKey key;
    Daemon daemon = makeDaemon();
    see(daemon, {v1}, now);
    runCalls(daemon, key, now);
    see(daemon, {v1, v2}, now);
    runCalls(daemon, key, now);
    const MonoTime left = now;
    // The instances of v1 have left.
    for (; now <= left + settings.retention_; now += Seconds {2}) {
        see(daemon, {v2}, now);
        runCalls(daemon, key, now);
        CHECK(key.record_.versions_ == std::set {v1, v2});
        Daemon restarted = makeDaemon();
        runCalls(restarted, key, now);
        CHECK(possibleOrigins(restarted.versions_, settings, llm, now, now)
              == std::set {v1.version_, v2.version_});
    }
    see(daemon, {v2}, now);
    runCalls(daemon, key, now + Seconds {2});
    CHECK(key.record_.versions_ == std::set {v2});
    now += Seconds {2};
    CHECK(possibleOrigins(daemon.versions_, settings, llm, MonoTime {}, now)
          == std::set {v2.version_});
}

TEST_CASE("a version that comes back is written again before streams begin at it")
{
    MonoTime now {Seconds {1000}};
    RecordKey key;
    Daemon daemon = makeDaemon();
    Daemon remover = makeDaemon();
    see(daemon, {v1, v2}, now);
    runCalls(daemon, key, now);
    runCalls(remover, key, now);
    see(remover, {v2}, now);
    // The remover is about to remove v1 when it comes back.
    now += settings.retention_ + Millis {1};
    see(remover, {v2}, now);
    const auto removal = startCall(remover, now);
    REQUIRE(removal);
    see(daemon, {v1, v2}, now);
    CHECK(!isConfirmed(daemon.versions_, v1));
    const bool removalFirst = GENERATE(true, false);
    if (removalFirst)
        finishCall(remover, apply(key, *removal), now);
    runCalls(daemon, key, now);
    if (!removalFirst)
        finishCall(remover, apply(key, *removal), now);
    CHECK(isConfirmed(daemon.versions_, v1));
    CHECK(key.record_.versions_.contains(v1));
}

TEST_CASE("after a suspension, no earlier confirmation counts")
{
    const MonoTime now {Seconds {1000}};
    RecordKey key;
    Daemon daemon = makeDaemon();
    see(daemon, {v1}, now);
    runCalls(daemon, key, now);
    // Removed by another daemon meanwhile.
    key.record_.versions_.clear();
    key.revision_ = Revision {key.revision_.value_ + 1};
    distrustConfirmations(daemon.versions_);
    CHECK(!isConfirmed(daemon.versions_, v1));
    see(daemon, {v1}, now);
    runCalls(daemon, key, now);
    CHECK(isConfirmed(daemon.versions_, v1));
    CHECK(key.record_.versions_ == std::set {v1});
}

TEST_CASE("what a store has lost with its return from a copy is written again")
{
    const MonoTime now {Seconds {1000}};
    RecordKey key;
    Daemon daemon = makeDaemon();
    see(daemon, {v1}, now);
    runCalls(daemon, key, now);
    const RecordKey copy = key;
    see(daemon, {v1, v2}, now);
    runCalls(daemon, key, now);
    key = copy;
    key.era_ = StoreEra {2};
    noteVersionEra(daemon.versions_, StoreEra {2});
    CHECK(confirmedVersions(daemon.versions_, llm).empty());
    CHECK(!possibleOrigins(daemon.versions_, settings, llm, MonoTime {}, now));
    // The instances of v2 have left as well, but this daemon remembers them.
    see(daemon, {v1}, now);
    runCalls(daemon, key, now);
    CHECK(possibleOrigins(daemon.versions_, settings, llm, MonoTime {}, now)
          == std::set {v1.version_, v2.version_});
    see(daemon, {v1, v2}, now);
    runCalls(daemon, key, now);
    CHECK(key.record_.versions_ == std::set {v1, v2});
}

TEST_CASE("the versions before a time are known only from a copy that was read after it")
{
    MonoTime now {Seconds {1000}};
    RecordKey key;
    Daemon daemon = makeDaemon();
    see(daemon, {v1}, now);
    runCalls(daemon, key, now);
    // Another daemon begins streams at v2, which this one has not seen yet.
    Daemon other = makeDaemon();
    see(other, {v1, v2}, now);
    runCalls(other, key, now);
    now += Seconds {1};
    CHECK(!possibleOrigins(daemon.versions_, settings, llm, now, now));
    requestRead(daemon.versions_, now);
    runCalls(daemon, key, now);
    CHECK(possibleOrigins(daemon.versions_, settings, llm, now, now)
          == std::set {v1.version_, v2.version_});
    // Many streams at once are served by one read.
    const int calls = key.calls_;
    for (int i = 1; i <= 90; ++i) {
        requestRead(daemon.versions_, now + Millis {i});
        runCalls(daemon, key, now + Millis {i});
    }
    CHECK(key.calls_ == calls);
    runCalls(daemon, key, now + settings.readInterval_);
    CHECK(key.calls_ == calls + 1);
}

TEST_CASE("services without resumable streams cost no calls")
{
    Daemon daemon = makeDaemon();
    daemon.versions_.services_.clear();
    CHECK(!startCall(daemon, MonoTime {Seconds {1000}}));
    CHECK(!nextVersionCall(daemon.versions_, settings, true));
}

} // namespace tamarack
