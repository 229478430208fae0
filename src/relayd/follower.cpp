// Follows the keys of a store prefix.
#include "relayd/follower.h"

#include "adapters/relayhttp/relayhttp.h"

#include <algorithm>
#include <optional>

namespace tamarack {

namespace {

constexpr Millis confirmTimeout {1};

struct FollowerState
{
    /// Position after which the next watch starts; nothing if the keys must be listed first.
    std::optional<StorePosition> position_;
    bool available_ = true;
    /// The store has not replied since the last failure or pause. The next watch returns at once,
    /// because a watch that waits shows only at its end that the store is available.
    bool unconfirmed_ = false;
    /// Delay after the next failure.
    Millis retryDelay_ {};
};

/// Returns the time up to which a reply contains all changes.
/// @param calledAt when the call began, by bootTime(): a suspension counts
MonoTime knownAt(std::chrono::nanoseconds calledAt, Millis maxDuration)
{
    const MonoTime now = std::chrono::steady_clock::now();
    const std::chrono::nanoseconds duration = bootTime() - calledAt;
    return duration > maxDuration ? now - duration : now;
}

FeedReply listOrWatch(const FeedPort &feed, const FollowerSettings &settings,
                      const FollowerHandlers &handlers, FollowerState &state)
{
    if (!state.position_) {
        FeedReply reply = feed.list_(settings.prefix_);
        if (reply.status_ == FeedStatus::Ok)
            handlers.onListing_(reply.entries_, {reply.era_, reply.revision_});
        return reply;
    }
    const Millis timeout = state.unconfirmed_ ? confirmTimeout : settings.watchTimeout_;
    FeedReply reply = feed.watch_(settings.prefix_, state.position_->revision_, timeout);
    if (reply.status_ == FeedStatus::Ok && reply.era_ != state.position_->era_) {
        // The watch started from a revision of another history.
        reply.status_ = FeedStatus::HistoryCompacted;
        return reply;
    }
    for (const FeedEntry &entry : reply.entries_)
        handlers.onChange_(entry, reply.era_);
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

/// Blocks while the gate is closed.
/// @return false if the follower must stop
bool awaitOpenGate(FollowGate &gate, const FollowerSettings &settings,
                   const FollowerHandlers &handlers, FollowerState &state)
{
    {
        std::unique_lock lock(gate.mutex_);
        if (gate.open_ || gate.stopping_)
            return !gate.stopping_;
        gate.prober_.reset();
        ++gate.waiting_;
        gate.changed_.notify_all();
        gate.changed_.wait(lock, [&gate] { return gate.open_ || gate.stopping_; });
        --gate.waiting_;
        if (gate.stopping_)
            return false;
    }
    // Changes of the meantime came from peers.
    const StorePosition known = handlers.knownPosition_();
    if (known > StorePosition {})
        state.position_ = state.position_ ? std::max(*state.position_, known) : known;
    state.available_ = true;
    state.unconfirmed_ = true;
    state.retryDelay_ = settings.retryDelay_;
    return true;
}

/// Sleeps. Ends early if the follower must stop or the gate is closed.
void pause(FollowGate &gate, Millis time)
{
    std::unique_lock lock(gate.mutex_);
    gate.changed_.wait_for(lock, time, [&gate] { return gate.stopping_ || !gate.open_; });
}

/// Waits after a failed call: for @a delay, or until another follower reaches the store.
void awaitRetry(FollowGate &gate, const std::string &prefix, Millis delay)
{
    std::unique_lock lock(gate.mutex_);
    if (!gate.prober_)
        gate.prober_ = prefix;
    if (*gate.prober_ == prefix)
        gate.changed_.wait_for(lock, delay, [&gate] { return gate.stopping_ || !gate.open_; });
    else
        gate.changed_.wait(lock,
                           [&gate] { return gate.stopping_ || !gate.open_ || !gate.prober_; });
}

void endProbing(FollowGate &gate, const std::string &prefix)
{
    {
        const std::lock_guard lock(gate.mutex_);
        if (gate.prober_ != prefix)
            return;
        gate.prober_.reset();
    }
    gate.changed_.notify_all();
}

} // namespace

void setOpen(FollowGate &gate, bool open)
{
    {
        const std::lock_guard lock(gate.mutex_);
        gate.open_ = open;
    }
    gate.changed_.notify_all();
}

void stopFollowing(FollowGate &gate)
{
    {
        const std::lock_guard lock(gate.mutex_);
        gate.stopping_ = true;
    }
    gate.changed_.notify_all();
}

void followPrefix(const FeedPort &feed, const FollowerSettings &settings,
                  const FollowerHandlers &handlers, FollowGate &gate)
{
    FollowerState state;
    state.retryDelay_ = settings.retryDelay_;
    while (awaitOpenGate(gate, settings, handlers, state)) {
        const std::chrono::nanoseconds calledAt = bootTime();
        const FeedReply reply = listOrWatch(feed, settings, handlers, state);
        if (reply.status_ != FeedStatus::Unavailable)
            endProbing(gate, settings.prefix_);
        if (reply.status_ == FeedStatus::Ok) {
            reportAvailability(handlers, state, true, {});
            state.retryDelay_ = settings.retryDelay_;
            state.unconfirmed_ = false;
            const StorePosition reached {reply.era_, reply.revision_};
            state.position_ = state.position_ ? std::max(*state.position_, reached) : reached;
            handlers.onProgress_(
                *state.position_,
                knownAt(calledAt, settings.watchTimeout_ + settings.maxReplyDelay_));
            if (!reply.entries_.empty())
                pause(gate, settings.changeBatchDelay_);
            continue;
        }
        if (reply.status_ == FeedStatus::HistoryCompacted) {
            state.position_.reset();
            continue;
        }
        state.unconfirmed_ = true;
        reportAvailability(handlers, state, false, reply.detail_);
        awaitRetry(gate, settings.prefix_, state.retryDelay_);
        state.retryDelay_ = std::min(state.retryDelay_ * 2, settings.maxRetryDelay_);
    }
}

} // namespace tamarack
