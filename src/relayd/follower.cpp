// Following of store keys.
#include "relayd/follower.h"

#include <algorithm>
#include <optional>

namespace tamarack {

namespace {

struct FollowerState
{
    /// Where the next wait goes on; nothing if the keys must be listed.
    std::optional<Revision> revision_;
    bool available_ = true;
    Millis pause_ {};
};

FeedReply step(const FeedPort &feed, const FollowerSettings &settings,
               const FollowerHandlers &handlers, FollowerState &state)
{
    if (!state.revision_) {
        FeedReply reply = feed.list_(settings.prefix_);
        if (reply.status_ == FeedStatus::Ok)
            handlers.onListing_(reply.entries_, reply.revision_);
        return reply;
    }
    FeedReply reply = feed.wait_(settings.prefix_, *state.revision_, settings.waitLimit_);
    for (const FeedEntry &entry : reply.entries_)
        handlers.onChange_(entry);
    return reply;
}

void noteAvailability(const FollowerHandlers &handlers, FollowerState &state, bool available,
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
    state.pause_ = settings.pause_;
    while (!isRaised(stop)) {
        const FeedReply reply = step(feed, settings, handlers, state);
        if (isRaised(stop))
            return;
        if (reply.status_ == FeedStatus::Ok) {
            noteAvailability(handlers, state, true, {});
            state.pause_ = settings.pause_;
            state.revision_
                = state.revision_ ? std::max(*state.revision_, reply.revision_) : reply.revision_;
            handlers.onProgress_(*state.revision_);
            if (!reply.entries_.empty() && pauseUnlessStopped(stop, settings.changePause_))
                return;
            continue;
        }
        if (reply.status_ == FeedStatus::HistoryCompacted) {
            state.revision_.reset();
            continue;
        }
        noteAvailability(handlers, state, false, reply.detail_);
        if (pauseUnlessStopped(stop, state.pause_))
            return;
        state.pause_ = std::min(state.pause_ * 2, settings.maxPause_);
    }
}

} // namespace tamarack
