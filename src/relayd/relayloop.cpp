// The control thread of a relay daemon.
#include "relayd/relayloop.h"

namespace tamarack {

namespace {

struct Executor
{
    RelayLoop &loop_;
    bool &running_;

    void operator()(SubmitStoreCall &command) const
    {
        submitStoreCall(loop_.store_, std::move(command));
    }
    void operator()(WriteLog &command) const { loop_.log_.write_(command.event_); }
    void operator()(SetReady &command) const { loop_.ready_ = command.ready_; }
    void operator()(RelayStopCompleted &) const { running_ = false; }
    /// The front end carries out all others. The overloads above take no const reference, because
    /// this one would match better.
    template <typename Command>
    void operator()(Command &command) const
    {
        loop_.front_.submit_(RelayCommand {std::move(command)});
    }
};

} // namespace

void runRelayLoop(RelayLoop &loop, RelayState state)
{
    bool running = true;
    while (running) {
        const std::optional<RelayEvent> event = take(loop.queue_, nextRelayTime(state));
        const MonoTime now = std::chrono::steady_clock::now();
        RelayCommands commands = event ? handleRelay(state, *event, now) : passTime(state, now);
        for (RelayCommand &command : commands)
            std::visit(Executor {loop, running}, command);
    }
    loop.stopped_();
}

} // namespace tamarack
