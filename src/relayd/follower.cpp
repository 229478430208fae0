// Follows the keys of a store prefix.
#include "relayd/follower.h"

#include <algorithm>
#include <optional>

namespace tamarack {

namespace {

struct FollowerState
{
    /// Revision after which the next watch starts; nothing if the keys must be listed first.
    std::optional<Revision> revision_;
    bool available_ = true;
    Millis retryDelay_ {};
};

FeedReply listOrWatch(const FeedPort &feed, const FollowerSettings &settings,
                      const FollowerHandlers &handlers, FollowerState &state)
{
    if (!state.revision_) {
        FeedReply reply = feed.list_(settings.prefix_);
        if (reply.status_ == FeedStatus::Ok)
            handlers.onListing_(reply.entries_, reply.revision_);
        return reply;
    }
    FeedReply reply = feed.watch_(settings.prefix_, *state.revision_, settings.watchTimeout_);
    for (const FeedEntry &entry : reply.entries_)
        handlers.onChange_(entry);
    return reply;
}

void reportAvailability(const FollowerHandlers &handlers, FollowerState &state, bool available,
                        const std::string &detail)
{
    if (available == state.available_)
        return;
    state.available_ = available;
    handlers.onAvailability_(available, detail);
}

} // namespace

void followPrefix(const FeedPort &feed, const FollowerSettings &settings,
                  const FollowerHandlers &handlers, StopFlag &stop)
{
    FollowerState state;
    state.retryDelay_ = settings.retryDelay_;
    while (!isStopRequested(stop)) {
        const FeedReply reply = listOrWatch(feed, settings, handlers, state);
        if (isStopRequested(stop))
            return;
        if (reply.status_ == FeedStatus::Ok) {
            reportAvailability(handlers, state, true, {});
            state.retryDelay_ = settings.retryDelay_;
            state.revision_
                = state.revision_ ? std::max(*state.revision_, reply.revision_) : reply.revision_;
            handlers.onProgress_(*state.revision_);
            if (!reply.entries_.empty() && waitForStop(stop, settings.changeBatchDelay_))
                return;
            continue;
        }
        if (reply.status_ == FeedStatus::HistoryCompacted) {
            state.revision_.reset();
            continue;
        }
        reportAvailability(handlers, state, false, reply.detail_);
        if (waitForStop(stop, state.retryDelay_))
            return;
        state.retryDelay_ = std::min(state.retryDelay_ * 2, settings.maxRetryDelay_);
    }
}

} // namespace tamarack
