// Instance directory. Guards against an outdated message that restores a removed instance, and
// against losing all instances when their entries expire during a store outage.
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

TEST_CASE("an entry is replaced only by a newer one")
{
    InstanceDirectory directory;
    ListedInstance draining = makeInstance("a", "s", 7);
    draining.instance_.state_ = InstanceState::Draining;
    CHECK(upsertInstance(directory, draining));
    CHECK(!upsertInstance(directory, makeInstance("a", "s", 6)));
    CHECK(directory.known_.at(UpstreamId {"a"}).instance_.state_ == InstanceState::Draining);
    CHECK(markMissing(directory, UpstreamId {"a"}, Revision {8}, start));
    CHECK(!upsertInstance(directory, makeInstance("a", "s", 7)));
    CHECK(!isUsable(directory, "a"));
    CHECK(upsertInstance(directory, makeInstance("a", "s", 9)));
    CHECK(isUsable(directory, "a"));
}

TEST_CASE("a removal older than the entry has no effect")
{
    InstanceDirectory directory;
    upsertInstance(directory, makeInstance("a", "s", 7));
    CHECK(!markMissing(directory, UpstreamId {"a"}, Revision {6}, start));
    CHECK(isUsable(directory, "a"));
}

TEST_CASE("a listing marks unlisted instances as missing, except those written after it started")
{
    InstanceDirectory directory;
    upsertInstance(directory, makeInstance("old", "s", 3));
    upsertInstance(directory, makeInstance("new", "s", 12));
    const auto missing
        = applyListing(directory, {makeInstance("listed", "s", 5)}, Revision {10}, start);
    CHECK(missing == std::vector<UpstreamId> {UpstreamId {"old"}});
    CHECK(isUsable(directory, "new"));
    CHECK(isUsable(directory, "listed"));
}

TEST_CASE("the copy from which the store returns does not undo what is known of a process")
{
    const StoreEra next {1};
    const auto inCopy = [next](const std::string &id, std::uint64_t revision) {
        ListedInstance listed = makeInstance(id, "s", revision);
        listed.position_.era_ = next;
        return listed;
    };
    InstanceDirectory directory;
    ListedInstance draining = makeInstance("draining", "s", 140);
    draining.instance_.state_ = InstanceState::Draining;
    applyListing(directory,
                 {makeInstance("kept", "s", 90), makeInstance("removed", "s", 91),
                  makeInstance("gone", "s", 92), makeInstance("later", "s", 145), draining},
                 Revision {145}, start);
    markMissing(directory, UpstreamId {"removed"}, Revision {147}, start);
    markMissing(directory, UpstreamId {"gone"}, Revision {148}, start);
    removeExpired(directory, Millis {1}, start + Seconds {1});
    markMissing(directory, UpstreamId {"removed"}, Revision {149}, start);

    applyListing(
        directory,
        {inCopy("kept", 90), inCopy("removed", 91), inCopy("gone", 92), inCopy("draining", 80)},
        {next, Revision {100}}, start + Seconds {5});
    CHECK(isUsable(directory, "kept"));
    CHECK(!isUsable(directory, "removed"));
    CHECK(!isUsable(directory, "gone"));
    CHECK(!isUsable(directory, "later"));
    CHECK(directory.known_.at(UpstreamId {"draining"}).instance_.state_ == InstanceState::Draining);

    // Instances that are running write their entries again.
    CHECK(upsertInstance(directory, inCopy("gone", 101)));
    CHECK(upsertInstance(directory, inCopy("later", 102)));
    CHECK(isUsable(directory, "gone"));
    CHECK(isUsable(directory, "later"));
    // A new process under the same id is not draining.
    ListedInstance restarted = inCopy("draining", 103);
    restarted.instance_.startedAt_ += Seconds {9};
    CHECK(upsertInstance(directory, restarted));
    CHECK(directory.known_.at(UpstreamId {"draining"}).instance_.state_ == InstanceState::Ready);
}

TEST_CASE("missing instances are a last resort until the retention time has elapsed")
{
    RelayFixture fixture;
    setUp(fixture);
    post(fixture, InstanceRemoved {UpstreamId {"a1"}, Revision {9}, ChangeSource::Store});
    for (int i = 0; i < 5; ++i) {
        const auto sent
            = findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "once")}));
        CHECK(sent->instance_ == UpstreamId {"a2"});
    }
    post(fixture, InstanceRemoved {UpstreamId {"a2"}, Revision {10}, ChangeSource::Store});
    CHECK(findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "once")})));
    advanceTime(fixture, fixture.state_.settings_.missingRetention_);
    const auto out = post(fixture, RequestRead {makeRequest(fixture, "once")});
    CHECK(!findCommand<SendAttempt>(out));
    CHECK(findCommand<RespondToClient>(advanceTime(fixture, Millis {50}))->status_ == 503);
}

TEST_CASE("a removal that arrives late from a peer does not prolong the use of an instance")
{
    // The retention was counted from the arrival of the removal: requests reached instances that
    // had left longer ago than the drain timeout.
    constexpr Millis delay {900};
    RelayFixture fixture;
    setUp(fixture);
    post(fixture, DocumentsReplyReceived {HostId {"peer"}, Millis {0}});
    fixture.now_ += delay;
    for (const char *instance : {"a1", "a2"})
        post(fixture, InstanceRemoved {UpstreamId {instance}, Revision {9}, ChangeSource::Peer});
    CHECK(findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "once")})));
    advanceTime(fixture, fixture.state_.settings_.missingRetention_ - delay);
    CHECK(!findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "once")})));
}

TEST_CASE("entries that expired during a store outage keep their instances for the whole retention")
{
    RelayFixture fixture;
    setUp(fixture);
    post(fixture, DocumentsReplyReceived {HostId {"peer"}, Millis {0}});
    fixture.now_ += Seconds {8};
    for (const char *instance : {"a1", "a2"})
        post(fixture, InstanceRemoved {UpstreamId {instance}, Revision {9}, ChangeSource::Peer});
    advanceTime(fixture, fixture.state_.settings_.missingRetention_ - Millis {1});
    CHECK(findCommand<SendAttempt>(post(fixture, RequestRead {makeRequest(fixture, "once")})));
}

} // namespace tamarack
