// Follows the keys of a store prefix: lists them once, then watches for changes.
#pragma once

#include "core/time.h"
#include "ports/feed.h"
#include "runtime/stopflag.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

struct FollowerSettings
{
    std::string prefix_;
    /// Timeout of a watch. A connection that stopped delivering changes is detected only after this
    /// time, so it must be shorter than the time in which a change must be applied.
    Millis watchTimeout_ {1500};
    /// Delay after a change, so that the next call returns several changes.
    Millis changeBatchDelay_ {};
    /// Delay after a failed call, doubled after each further failure up to maxRetryDelay_.
    Millis retryDelay_ {100};
    Millis maxRetryDelay_ {500};
};

/// @brief Callbacks of a follower, called on its thread.
struct FollowerHandlers
{
    std::function<void(const std::vector<FeedEntry> &, Revision revision)> onListing_;
    std::function<void(const FeedEntry &)> onChange_;
    /// Called when all changes up to a revision were handed to the other callbacks.
    std::function<void(Revision revision)> onProgress_;
    /// Called when the store becomes unavailable or available again.
    std::function<void(bool available, const std::string &detail)> onAvailability_;
};

/// @brief Follows a prefix until @a stop is set and the port's watches are cancelled. Blocks. Lists
/// the keys again if the store has discarded the history after the last known revision.
void followPrefix(const FeedPort &feed, const FollowerSettings &settings,
                  const FollowerHandlers &handlers, StopFlag &stop);

} // namespace tamarack
