// The control thread of a relay daemon.
#include "relayd/relayloop.h"

namespace tamarack {

namespace {

constexpr Millis usageLogInterval {10'000};

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
    void operator()(SendPeer &command) const { loop_.sendPeer_(std::move(command)); }
    void operator()(RequestPeerDocuments &command) const
    {
        loop_.requestPeerDocuments_(std::move(command));
    }
    void operator()(PublishLoads &command) const { loop_.publishLoads_(command.offer_); }
    void operator()(PublishVersions &command) const { loop_.publishVersions_(command.versions_); }
    void operator()(SetFollowsStore &command) const { loop_.setFollowsStore_(command.follows_); }
    void operator()(ForgetStoreContact &) const { loop_.forgetStoreContact_(); }
    void operator()(SetStoreContact &command) const { loop_.setStoreContact_(command.contact_); }
    void operator()(RelayStopCompleted &) const { running_ = false; }
    /// Forwards all other commands to the front end. The overloads above take non-const references
    /// because this template would be a better match than a const reference.
    template <typename Command>
    void operator()(Command &command) const
    {
        loop_.frontend_.submit_(RelayCommand {std::move(command)});
    }
};

RelayGauges gaugesOf(const RelayLoop &loop, const RelayState &state)
{
    RelayGauges gauges;
    gauges.active_ = state.active_.size();
    gauges.instances_ = state.directory_.known_.size();
    gauges.config_ = state.config_ ? state.config_->version_ : ConfigVersion {};
    gauges.daemons_ = state.fleet_.daemons_;
    for (const auto &[account, balance] : state.prepaid_.balances_)
        gauges.tokensAvailable_ += reservableTokens(balance.grant_);
    gauges.limitedInstances_ = state.limits_.stated_.size();
    gauges.evacuatedZones_ = state.evacuations_.zones_.size();
    gauges.evacuationSkips_ = state.evacuationSkips_;
    gauges.coldInstances_ = coldCount(state.cold_);
    gauges.resumedStreams_ = state.resumedStreams_;
    gauges.isCutOff_ = state.reachability_.isCutOff_;
    gauges.handedOver_ = state.takeovers_.handedOver_;
    gauges.takenOver_ = state.takeovers_.takenOver_;
    gauges.droppedLogLines_ = loop.droppedLogLines_();
    gauges.eventDelay_ = state.overload_.delay_;
    gauges.linkUse_ = state.overload_.linkUse_;
    gauges.loadReports_ = state.loads_.daemons_;
    if (state.loads_.knownAt_)
        gauges.loadAge_ = std::chrono::steady_clock::now() - *state.loads_.knownAt_;
    gauges.buffers_ = loop.bufferUsage_();
    gauges.eventBytes_ = loop.eventMemory_.bytes_;
    gauges.logBytes_ = loop.logBytes_();
    return gauges;
}

} // namespace

void runRelayLoop(RelayLoop &loop, RelayState state)
{
    bool running = true;
    MonoTime usageLoggedAt = std::chrono::steady_clock::now();
    while (running) {
        const auto posted = takePosted(loop.queue_, nextDueTime(state));
        if (posted)
            countTaken(loop.eventMemory_, posted->item_);
        const MonoTime now = std::chrono::steady_clock::now();
        recordEventDelay(state, posted ? now - posted->postedAt_ : PreciseMicros {}, now);
        recordTraffic(state, loop.trafficTotals_(), now);
        RelayCommands commands
            = posted ? handleRelayEvent(state, posted->item_, now) : runDueWork(state, now);
        if (posted)
            loop.metrics_.event_(posted->item_);
        for (RelayCommand &command : commands) {
            loop.metrics_.command_(command);
            std::visit(Executor {loop, running}, command);
        }
        const auto time
            = std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - now);
        loop.metrics_.onEventHandled_(time, gaugesOf(loop, state));
        if (now - usageLoggedAt >= usageLogInterval) {
            usageLoggedAt = now;
            loop.logUsage_();
        }
    }
    loop.onStopped_();
}

} // namespace tamarack
