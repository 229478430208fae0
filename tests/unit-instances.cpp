// The directory of instances. Guards against a stale answer that brings back a removed instance and
// against losing all instances when their entries lapse while the store is away.
#include "relayfixture.h"

namespace tamarack {

namespace {

constexpr MonoTime start {Seconds {100}};

bool isUsable(const InstanceDirectory &directory, const std::string &id)
{
    const auto it = directory.known_.find(UpstreamId {id});
    return it != directory.known_.end() && !it->second.missingSince_;
}

} // namespace

TEST_CASE("entries are replaced by newer ones only")
{
    InstanceDirectory directory;
    ListedInstance draining = makeInstance("a", "s", 7);
    draining.instance_.state_ = InstanceState::Draining;
    CHECK(putInstance(directory, draining));
    CHECK(!putInstance(directory, makeInstance("a", "s", 6)));
    CHECK(directory.known_.at(UpstreamId {"a"}).instance_.state_ == InstanceState::Draining);
    CHECK(removeInstance(directory, UpstreamId {"a"}, Revision {8}, start));
    CHECK(!putInstance(directory, makeInstance("a", "s", 7)));
    CHECK(!isUsable(directory, "a"));
    CHECK(putInstance(directory, makeInstance("a", "s", 9)));
    CHECK(isUsable(directory, "a"));
}

TEST_CASE("a removal that is older than the entry has no effect")
{
    InstanceDirectory directory;
    putInstance(directory, makeInstance("a", "s", 7));
    CHECK(!removeInstance(directory, UpstreamId {"a"}, Revision {6}, start));
    CHECK(isUsable(directory, "a"));
}

TEST_CASE("a listing marks what it lacks, but not what was written after it began")
{
    InstanceDirectory directory;
    putInstance(directory, makeInstance("old", "s", 3));
    putInstance(directory, makeInstance("new", "s", 12));
    const auto missing
        = applyListing(directory, {makeInstance("listed", "s", 5)}, Revision {10}, start);
    CHECK(missing == std::vector<UpstreamId> {UpstreamId {"old"}});
    CHECK(isUsable(directory, "new"));
    CHECK(isUsable(directory, "listed"));
}

TEST_CASE("missing instances are a last resort until the retention has passed")
{
    RelayFixture fixture;
    setUp(fixture);
    post(fixture, InstanceRemoved {UpstreamId {"a1"}, Revision {9}, ChangeSource::Store});
    for (int i = 0; i < 5; ++i) {
        const auto sent
            = find<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "once")}));
        CHECK(sent->instance_ == UpstreamId {"a2"});
    }
    post(fixture, InstanceRemoved {UpstreamId {"a2"}, Revision {10}, ChangeSource::Store});
    CHECK(find<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "once")})));
    pass(fixture, fixture.state_.settings_.missingRetention_);
    const auto out = post(fixture, RequestRead {makeRequest(fixture, "once")});
    CHECK(!find<SendAttempt>(out));
    CHECK(find<RespondToClient>(pass(fixture, Millis {50}))->status_ == 503);
}

TEST_CASE("questions to peers while the store does not answer")
{
    DocumentSync sync;
    const DocumentSyncSettings settings;
    const ZoneId near {"near"};
    sync.peers_
        = {PeerAddress {HostId {"n1"}, near, "n1:1"}, PeerAddress {HostId {"n2"}, near, "n2:1"},
           PeerAddress {HostId {"f1"}, ZoneId {"far"}, "f1:1"}};
    CHECK(peersToAsk(sync, settings, near, start).empty());
    noteFeed(sync, "config", false, start);
    std::set<std::string> asked;
    MonoTime now = start;
    for (int i = 0; i < 6; ++i) {
        for (const PeerAddress &peer : peersToAsk(sync, settings, near, now))
            asked.insert(peer.address_);
        CHECK(peersToAsk(sync, settings, near, now).empty());
        now += settings.askInterval_;
    }
    CHECK(asked.size() == 3);
    noteFeed(sync, "config", true, now);
    CHECK(peersToAsk(sync, settings, near, now + Seconds {1}).empty());
}

} // namespace tamarack
