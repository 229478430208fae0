// The control thread.
#include "daemon/controlloop.h"

namespace tamarack {

namespace {

struct Executor
{
    ControlLoop &loop_;
    bool &running_;

    void operator()(ReplyTo &command) const
    {
        fillSlot(loop_.traffic_.slots_, command.waiter_, std::move(command.decision_));
    }
    void operator()(SubmitStoreCall &command) const
    {
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
            noteApplied(loop_.applied_, bundle->version_);
    }
    void operator()(const WriteLog &command) const { loop_.log_.write_(command.event_); }
    void operator()(const StopCompleted &) const { running_ = false; }
    // handle() turns it into SendPeer.
    void operator()(const AskRelease &) const { }
};

Now currentTime()
{
    return Now {std::chrono::steady_clock::now(), std::chrono::system_clock::now()};
}

} // namespace

void runControlLoop(ControlLoop &loop, ControlState state)
{
    bool running = true;
    while (running) {
        const std::optional<Event> event = take(loop.queue_, nextWake(state));
        for (Command &command : handle(state, event.value_or(Tick {}), currentTime()))
            std::visit(Executor {loop, running}, command);
    }
    loop.onStopped_();
}

} // namespace tamarack
