// The control thread of the router daemon.
#include "daemon/controlloop.h"

namespace tamarack {

namespace {

struct Executor
{
    ControlLoop &loop_;
    bool &running_;

    void operator()(ReplyTo &command) const
    {
        if (loop_.metrics_.onDecision_)
            loop_.metrics_.onDecision_(command.decision_);
        fillSlot(loop_.traffic_.slots_, command.waiter_, std::move(command.decision_));
    }
    void operator()(SubmitStoreCall &command) const
    {
        if (loop_.metrics_.onStoreCall_)
            loop_.metrics_.onStoreCall_(command.call_);
        submitStoreCall(loop_.store_, std::move(command));
    }
    void operator()(SendPeer &command) const
    {
        if (loop_.peers_.send_)
            loop_.peers_.send_(std::move(command));
    }
    void operator()(const RefreshBundle &command) const
    {
        if (loop_.refreshBundle_)
            loop_.refreshBundle_(command.version_);
    }
    void operator()(const RefreshMembers &) const
    {
        if (loop_.refreshMembers_)
            loop_.refreshMembers_();
    }
    void operator()(PublishSnapshot &command) const
    {
        const std::shared_ptr<const Bundle> bundle = command.snapshot_->bundle_;
        loop_.traffic_.snapshot_.store(std::move(command.snapshot_));
        if (bundle)
            setAppliedVersion(loop_.applied_, bundle->version_);
    }
    void operator()(const WriteLog &command) const { loop_.log_.write_(command.event_); }
    void operator()(const StopCompleted &) const { running_ = false; }
    // handle() has already converted this command to SendPeer.
    void operator()(const RequestRelease &) const { }
};

Now currentTime()
{
    return Now {std::chrono::steady_clock::now(), std::chrono::system_clock::now()};
}

std::size_t queuedEvents(BlockingQueue<Event> &queue)
{
    const std::lock_guard lock(queue.mutex_);
    return queue.items_.size();
}

void recordEvent(ControlLoop &loop, const ControlState &state, const Event &event, MonoTime started)
{
    const MetricsPort &metrics = loop.metrics_;
    if (const auto *replied = std::get_if<StoreReplied>(&event); replied && metrics.onStoreReply_)
        metrics.onStoreReply_(replied->reply_.status_);
    if (!metrics.onEventHandled_)
        return;
    const BundleVersion version = state.bundle_ ? state.bundle_->version_ : BundleVersion {};
    metrics.onEventHandled_(
        std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - started),
        ControlGauges {state.active_.size(), state.grants_.size(), queuedEvents(loop.queue_),
                       version});
}

} // namespace

void runControlLoop(ControlLoop &loop, ControlState state)
{
    bool running = true;
    while (running) {
        const Event event = take(loop.queue_, nextWake(state)).value_or(Tick {});
        const Now now = currentTime();
        for (Command &command : handle(state, event, now))
            std::visit(Executor {loop, running}, command);
        recordEvent(loop, state, event, now.mono_);
    }
    loop.onStopped_();
}

} // namespace tamarack
