// Archive of request records. Guards against a request shard that grows past the store's limit, and
// against records that are lost or doubled when an answer is lost or a daemon dies on the way.
#include "controlfixture.h"

#include <catch2/catch.hpp>

namespace tamarack {

using namespace fixture;

namespace {

constexpr std::size_t requests = 700;
constexpr std::size_t batch = 10;
/// At 151 bytes a record, this is far below the store's limit of 1 MB.
constexpr std::size_t mostRecords = 1000;

Fixture makeArchiveFixture(std::size_t daemons)
{
    Fixture fleet = makeFixture(1'000'000, daemons);
    const std::shared_ptr<Bundle> bundle = makeBundle(1, 1'000'000);
    bundle->policies_.requestShards_ = 1;
    bundle->accounts_.at(account).requestsPerSecond_ = 0;
    fleet.bundle_ = bundle;
    for (std::size_t i = 0; i < daemons; ++i)
        stateOf(fleet, i).bundle_ = bundle;
    return fleet;
}

void serveMany(Fixture &fleet, std::size_t daemons, const std::string &prefix = "r")
{
    std::vector<WaiterId> waiting;
    for (std::size_t i = 0; i < requests; ++i) {
        const RequestOptions options {i % daemons, true, 1, Seconds {60}, budget, false};
        waiting.push_back(admit(fleet, 10, fmt::format("{}{}", prefix, i), options));
        if (waiting.size() < batch)
            continue;
        run(fleet, Millis {500});
        for (const WaiterId waiter : std::exchange(waiting, {})) {
            if (dispatched(fleet, waiter))
                finish(fleet, waiter);
        }
        run(fleet, Seconds {1});
    }
}

const RequestShard &liveShard(const Fixture &fleet)
{
    const StoreKey key {stateOf(const_cast<Fixture &>(fleet)).settings_.storePrefix_
                        + "/requests/0"};
    return std::get<RequestShard>(*fleet.store_.at(key).value_);
}

void checkArchived(Fixture &fleet)
{
    recoverFleet(fleet);
    std::size_t count = 0;
    const std::map<RequestId, RequestRecord> billed = bills(fleet, &count);
    CHECK(billed.size() == requests);
    CHECK(count == requests);
    CHECK(liveShard(fleet).segments_ >= 1);
    CHECK(liveShard(fleet).records_.size() < mostRecords);
    INFO(firstViolation(fleet));
    CHECK(firstViolation(fleet).empty());
}

} // namespace

TEST_CASE("archive of request records")
{
    Fixture fleet = makeArchiveFixture(2);

    SECTION("records move to segments, each exactly once")
    {
        serveMany(fleet, 2);
        checkArchived(fleet);
    }
    SECTION("lost answers to writes neither lose nor double a record")
    {
        fleet.daemons_[0].mode_ = StoreMode::LosesWriteReplies;
        serveMany(fleet, 2);
        checkArchived(fleet);
    }
    SECTION("replies that arrive twice neither lose nor double a record")
    {
        fleet.daemons_[1].mode_ = StoreMode::DuplicatesReplies;
        serveMany(fleet, 2);
        checkArchived(fleet);
    }
    SECTION("a segment that nobody removed from the shard is completed by another daemon")
    {
        serveMany(fleet, 2);
        recoverFleet(fleet);
        const RequestShard live = liveShard(fleet);
        REQUIRE_FALSE(live.records_.empty());
        const auto moved = *live.records_.begin();
        RequestShard segment;
        segment.records_.insert(moved);
        const StoreKey shard {stateOf(fleet).settings_.storePrefix_ + "/requests/0"};
        fleet.store_[requestSegmentKey(shard, live.segments_)]
            = VersionedValue {Revision {++fleet.revision_}, segment};
        serveMany(fleet, 2, "s");
        recoverFleet(fleet);
        CHECK(liveShard(fleet).segments_ > live.segments_);
        std::size_t count = 0;
        CHECK(bills(fleet, &count).size() == 2 * requests);
        CHECK(count == 2 * requests);
    }
    SECTION("a keyed request stays protected while others are archived")
    {
        const RequestOptions options {0, false, 1, Seconds {60}};
        const WaiterId first = admit(fleet, 10, "key", options);
        run(fleet, Millis {500});
        REQUIRE(dispatched(fleet, first));
        finish(fleet, first);
        serveMany(fleet, 2);
        recoverFleet(fleet);
        const WaiterId again = admit(fleet, 10, "key", RequestOptions {1, false, 1, Seconds {60}});
        run(fleet, Seconds {2});
        REQUIRE(refused(fleet, again));
        CHECK_FALSE(dispatched(fleet, again));
    }
}

} // namespace tamarack
