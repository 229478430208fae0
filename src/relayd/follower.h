// Follows the keys of a store prefix: lists them once, then watches for changes.
#pragma once

#include "core/time.h"
#include "ports/feed.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Starts and stops the followers of a daemon. The mutex guards all members after it.
struct FollowGate
{
    std::mutex mutex_;
    std::condition_variable changed_;
    bool open_ = true;
    bool stopping_ = false;
    /// Followers that wait for the gate to open.
    std::size_t waiting_ = 0;
    /// The prefix whose follower calls the store while it is unavailable. The others wait for its
    /// success, because each call is charged.
    std::optional<std::string> prober_;
};

/// @brief Opens or closes the gate. A watch in progress goes on until it ends.
void setOpen(FollowGate &gate, bool open);

struct FollowerSettings
{
    std::string prefix_;
    Millis watchTimeout_ {4000};
    /// Delay after a change, so that the next call returns several changes.
    Millis changeBatchDelay_ {};
    /// A reply that comes later than a watch ends by this was on its way while this machine stood
    /// still.
    Millis maxReplyDelay_ {400};
    /// Delay after a failed call, doubled after each further failure up to maxRetryDelay_.
    Millis retryDelay_ {500};
    Millis maxRetryDelay_ {2000};
};

/// @brief Callbacks of a follower, called on its thread.
struct FollowerHandlers
{
    std::function<void(const std::vector<FeedEntry> &, StorePosition position)> onListing_;
    std::function<void(const FeedEntry &, StoreEra era)> onChange_;
    /// Called when all changes up to a position were handed to the other callbacks. They are all
    /// changes up to the time @a knownAt.
    std::function<void(StorePosition position, MonoTime knownAt)> onProgress_;
    /// Returns the position up to which all changes are known from other sources. Called when
    /// following starts again.
    std::function<StorePosition()> knownPosition_;
    /// Called when the store becomes unavailable or available again.
    std::function<void(bool available, const std::string &detail)> onAvailability_;
};

/// @brief Stops the followers that use the gate, once their watches end.
void stopFollowing(FollowGate &gate);

/// @brief Follows a prefix while @a gate allows it. Blocks until stopFollowing(). Lists the keys
/// again if the store has discarded the history after the last known position, or has returned from
/// a copy since.
void followPrefix(const FeedPort &feed, const FollowerSettings &settings,
                  const FollowerHandlers &handlers, FollowGate &gate);

} // namespace tamarack
