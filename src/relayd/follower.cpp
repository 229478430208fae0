// Following of store keys.
#include "relayd/follower.h"

#include <algorithm>
#include <optional>

namespace tamarack {

namespace {

struct FollowerState
{
    /// Where the next wait goes on; nothing if the keys must be listed.
    std::optional<Revision> at_;
    bool available_ = true;
    Millis pause_ {};
};

FeedReply step(const FeedPort &feed, const FollowerSettings &settings,
               const FollowerHandlers &handlers, FollowerState &state)
{
    if (!state.at_) {
        FeedReply reply = feed.list_(settings.prefix_);
        if (reply.status_ == FeedStatus::Ok)
            handlers.onListing_(reply.entries_, reply.at_);
        return reply;
    }
    FeedReply reply = feed.wait_(settings.prefix_, *state.at_, settings.waitLimit_);
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
    while (!isStopRequested(stop)) {
        const FeedReply reply = step(feed, settings, handlers, state);
        if (isStopRequested(stop))
            return;
        if (reply.status_ == FeedStatus::Ok) {
            noteAvailability(handlers, state, true, {});
            state.pause_ = settings.pause_;
            state.at_ = state.at_ ? std::max(*state.at_, reply.at_) : reply.at_;
            handlers.onProgress_(*state.at_);
            if (!reply.entries_.empty() && waitForStop(stop, settings.changePause_))
                return;
            continue;
        }
        if (reply.status_ == FeedStatus::HistoryGone) {
            state.at_.reset();
            continue;
        }
        noteAvailability(handlers, state, false, reply.detail_);
        if (waitForStop(stop, state.pause_))
            return;
        state.pause_ = std::min(state.pause_ * 2, settings.maxPause_);
    }
}

} // namespace tamarack
