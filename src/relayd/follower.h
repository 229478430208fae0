// Threads that follow keys of the store: they list a prefix once, then wait for its changes.
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
    /// Longest wait for a change. A connection that went silent is noticed after it, so it stays
    /// below the time in which a change has to be in force.
    Millis watchTimeout_ {1500};
    /// Pause after a change, so that the next call brings several.
    Millis changeBatchDelay_ {};
    /// Pause after a failed call; it doubles up to the other one.
    Millis retryDelay_ {100};
    Millis maxRetryDelay_ {500};
};

/// @brief What a follower calls, on its own thread.
struct FollowerHandlers
{
    std::function<void(const std::vector<FeedEntry> &, Revision revision)> onListing_;
    std::function<void(const FeedEntry &)> onChange_;
    /// All changes up to this revision were passed on.
    std::function<void(Revision revision)> onProgress_;
    /// The store answers again, or does not any more.
    std::function<void(bool available, const std::string &detail)> onAvailability_;
};

/// @brief Follows a prefix until the flag is raised and the port is cancelled.
void followPrefix(const FeedPort &feed, const FollowerSettings &settings,
                  const FollowerHandlers &handlers, StopFlag &stop);

} // namespace tamarack
