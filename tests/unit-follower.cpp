// The followers of the store's documents. Guards against a daemon that notices the return of the
// store only after a whole watch, against all followers calling a store that doesn't reply, and
// against calls of a daemon that gets its documents from peers.
#include "relayd/follower.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace tamarack {

namespace {

/// A feed whose replies the test sets. The mutex guards all members after it.
struct FakeFeed
{
    std::mutex mutex_;
    std::condition_variable changed_;
    bool down_ = false;
    std::size_t lists_ = 0;
    std::size_t failures_ = 0;
    std::vector<Millis> watchLimits_;
    std::vector<Revision> watchedAfter_;
    StoreEra era_;
    Revision listedAt_ {5};
};

FeedPort portOf(FakeFeed &feed)
{
    FeedPort port;
    port.list_ = [&feed](const std::string &) {
        const std::lock_guard lock(feed.mutex_);
        ++feed.lists_;
        feed.failures_ += feed.down_ ? 1 : 0;
        feed.changed_.notify_all();
        return FeedReply {feed.down_ ? FeedStatus::Unavailable : FeedStatus::Ok,
                          feed.listedAt_,
                          {},
                          {},
                          feed.era_};
    };
    port.watch_ = [&feed](const std::string &, Revision after, Millis limit) {
        const std::lock_guard lock(feed.mutex_);
        feed.watchLimits_.push_back(limit);
        feed.watchedAfter_.push_back(after);
        feed.failures_ += feed.down_ ? 1 : 0;
        feed.changed_.notify_all();
        return FeedReply {
            feed.down_ ? FeedStatus::Unavailable : FeedStatus::Ok, after, {}, {}, feed.era_};
    };
    return port;
}

FollowerHandlers handlers(StorePosition known = {})
{
    FollowerHandlers result;
    result.onListing_ = [](const std::vector<FeedEntry> &, StorePosition) {
    };
    result.onChange_ = [](const FeedEntry &, StoreEra) {
    };
    result.onProgress_ = [](StorePosition, MonoTime) {
    };
    result.knownPosition_ = [known] {
        return known;
    };
    result.onAvailability_ = [](bool, const std::string &) {
    };
    return result;
}

FollowerSettings fastSettings(const std::string &prefix)
{
    FollowerSettings settings;
    settings.prefix_ = prefix;
    settings.retryDelay_ = Millis {1};
    settings.maxRetryDelay_ = Millis {1};
    return settings;
}

template <typename Condition>
void await(FakeFeed &feed, const Condition &condition)
{
    std::unique_lock lock(feed.mutex_);
    feed.changed_.wait(lock, condition);
}

} // namespace

TEST_CASE("the first watch after a failure returns at once")
{
    FakeFeed feed;
    FollowGate gate;
    const FollowerSettings settings = fastSettings("a");
    std::thread follower([&] { followPrefix(portOf(feed), settings, handlers(), gate); });
    await(feed, [&] { return feed.watchLimits_.size() >= 2; });
    {
        const std::lock_guard lock(feed.mutex_);
        CHECK(feed.watchLimits_.back() == settings.watchTimeout_);
        feed.down_ = true;
        feed.failures_ = 0;
    }
    await(feed, [&] { return feed.failures_ >= 3; });
    {
        const std::lock_guard lock(feed.mutex_);
        CHECK(feed.watchLimits_.back() < Millis {100});
        feed.down_ = false;
        feed.watchLimits_.clear();
    }
    await(feed, [&] { return feed.watchLimits_.size() >= 2; });
    {
        const std::lock_guard lock(feed.mutex_);
        CHECK(feed.watchLimits_[0] < Millis {100});
        CHECK(feed.watchLimits_[1] == settings.watchTimeout_);
    }
    stopFollowing(gate);
    follower.join();
}

TEST_CASE("while the store is unavailable, one follower calls it for all")
{
    FakeFeed first;
    FakeFeed second;
    FollowGate gate;
    first.down_ = true;
    second.down_ = true;
    std::thread one([&] { followPrefix(portOf(first), fastSettings("a"), handlers(), gate); });
    await(first, [&] { return first.failures_ >= 1; });
    std::thread two([&] { followPrefix(portOf(second), fastSettings("b"), handlers(), gate); });
    await(second, [&] { return second.failures_ >= 1; });
    await(first, [&] { return first.failures_ >= 20; });
    {
        const std::lock_guard lock(second.mutex_);
        CHECK(second.failures_ <= 1);
        second.down_ = false;
    }
    {
        const std::lock_guard lock(first.mutex_);
        first.down_ = false;
    }
    await(second, [&] { return second.lists_ >= 2; });
    stopFollowing(gate);
    one.join();
    two.join();
}

TEST_CASE("the keys are listed again after the store has returned from a copy")
{
    FakeFeed feed;
    feed.era_ = StoreEra {1};
    FollowGate gate;
    std::thread follower([&] { followPrefix(portOf(feed), fastSettings("a"), handlers(), gate); });
    await(feed, [&] { return feed.watchLimits_.size() >= 2; });
    {
        // Revision 5 exists in the new history as well, so that watches from it succeed.
        const std::lock_guard lock(feed.mutex_);
        feed.era_ = StoreEra {2};
        feed.listedAt_ = Revision {3};
        feed.lists_ = 0;
    }
    await(feed, [&] { return feed.lists_ >= 1; });
    {
        const std::lock_guard lock(feed.mutex_);
        feed.watchedAfter_.clear();
    }
    await(feed, [&] { return feed.watchedAfter_.size() >= 2; });
    {
        const std::lock_guard lock(feed.mutex_);
        CHECK(feed.watchedAfter_[1] == Revision {3});
    }
    stopFollowing(gate);
    follower.join();
}

TEST_CASE("a closed gate stops the calls; following goes on after the revision known from peers")
{
    FakeFeed feed;
    FollowGate gate;
    setOpen(gate, false);
    std::thread follower(
        [&] { followPrefix(portOf(feed), fastSettings("a"), handlers(Revision {40}), gate); });
    {
        std::unique_lock lock(gate.mutex_);
        gate.changed_.wait(lock, [&gate] { return gate.waiting_ == 1; });
    }
    {
        const std::lock_guard lock(feed.mutex_);
        CHECK(feed.lists_ + feed.watchLimits_.size() == 0);
    }
    setOpen(gate, true);
    await(feed, [&] { return !feed.watchedAfter_.empty(); });
    {
        const std::lock_guard lock(feed.mutex_);
        CHECK(feed.lists_ == 0);
        CHECK(feed.watchedAfter_.front() == Revision {40});
    }
    stopFollowing(gate);
    follower.join();
}

TEST_CASE("a reply that comes later than a watch ends is as old as its call")
{
    // The reply was on its way while this machine stood still.
    FakeFeed feed;
    FollowGate gate;
    FollowerSettings settings = fastSettings("a");
    settings.watchTimeout_ = Millis {1};
    settings.maxReplyDelay_ = Millis {0};
    FeedPort port = portOf(feed);
    port.watch_ = [watch = port.watch_](const std::string &prefix, Revision after, Millis limit) {
        std::this_thread::sleep_for(Millis {5});
        return watch(prefix, after, limit);
    };
    FollowerHandlers recorded = handlers();
    std::atomic<int> replies = 0;
    std::atomic<int> older = 0;
    recorded.onProgress_ = [&](StorePosition, MonoTime knownAt) {
        older += std::chrono::steady_clock::now() - knownAt >= Millis {5} ? 1 : 0;
        ++replies;
        replies.notify_all();
    };
    std::thread follower([&] { followPrefix(port, settings, recorded, gate); });
    // The first reply is a listing, which the feed returns at once.
    for (int seen = 0; seen < 3; seen = replies)
        replies.wait(seen);
    stopFollowing(gate);
    follower.join();
    CHECK(older >= 2);
}

} // namespace tamarack
