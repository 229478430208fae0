// Control state machines of several daemons with one in-memory store, in simulated time and with
// injected faults on the path to the store. The fixture checks the invariants after every event and
// records each violation as text.
#pragma once

#include "controlchecks.h"
#include "controlstore.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack::fixture {

inline std::shared_ptr<Bundle> makeBundle(std::uint64_t version, std::int64_t funded)
{
    auto bundle = std::make_shared<Bundle>();
    bundle->version_ = BundleVersion {version};
    ClientAccount client;
    client.id_ = account;
    bundle->accounts_[account] = client;
    bundle->budgets_[budget] = Budget {budget, account, Tokens {funded}};
    Upstream upstream;
    upstream.id_ = UpstreamId {"u1"};
    upstream.host_ = HostId {"engine-host"};
    upstream.address_ = "127.0.0.1:1";
    upstream.models_ = {ModelId {"m"}};
    bundle->upstreams_[upstream.id_] = upstream;
    return bundle;
}

inline std::size_t startDaemon(Fixture &fixture);

inline Fixture makeFixture(std::int64_t funded, std::size_t daemons = 1)
{
    Fixture fixture;
    fixture.bundle_ = makeBundle(1, funded);
    while (fixture.daemons_.size() < daemons)
        startDaemon(fixture);
    return fixture;
}

inline ControlState &stateOf(Fixture &fixture, std::size_t daemon = 0)
{
    return fixture.daemons_.at(daemon).state_;
}

inline void recordDecision(Fixture &fixture, const Daemon &daemon, const ReplyTo &reply,
                           const BudgetRecord *seen)
{
    SubmittedRequest &submitted = fixture.requests_.at(reply.waiter_);
    if (const auto *refusal = std::get_if<Refusal>(&reply.decision_)) {
        submitted.refusal_ = *refusal;
        checkRefusal(fixture, daemon, submitted, seen);
        return;
    }
    if (submitted.refusal_)
        addViolation(
            fixture,
            fmt::format("{} is dispatched after its refusal", submitted.event_.request_.value_));
    submitted.dispatches_.push_back(std::get<Dispatch>(reply.decision_));
    submitted.sent_ = true;
    submitted.spent_ = true;
}

/// Keeps release requests and drops all other messages.
inline void recordMessage(Fixture &fixture, const SendPeer &message)
{
    if (const auto *release = std::get_if<ReleaseRequest>(&message.message_))
        fixture.releaseRequests_.push_back(*release);
}

inline void send(Fixture &fixture, std::size_t index, const Event &event,
                 const BudgetRecord *seen = nullptr)
{
    Daemon &daemon = fixture.daemons_.at(index);
    for (Command &command : handle(daemon.state_, event, fixture.now_)) {
        if (auto *call = std::get_if<SubmitStoreCall>(&command))
            daemon.calls_.push_back(std::move(*call));
        else if (const auto *reply = std::get_if<ReplyTo>(&command))
            recordDecision(fixture, daemon, *reply, seen);
        else if (const auto *message = std::get_if<SendPeer>(&command))
            recordMessage(fixture, *message);
    }
    if (!fixture.checks_)
        return;
    if (!checkInvariants(daemon.state_))
        addViolation(fixture, fmt::format("daemon {} breaks an invariant", index));
    checkTotals(fixture);
}

inline bool isRunning(const Daemon &daemon)
{
    return daemon.alive_ && !daemon.paused_;
}

/// Executes the store calls that a daemon has submitted.
inline void answerCalls(Fixture &fixture, std::size_t index)
{
    Daemon &daemon = fixture.daemons_.at(index);
    while (!daemon.calls_.empty()) {
        const SubmitStoreCall call = std::move(daemon.calls_.front());
        daemon.calls_.pop_front();
        PendingReply pending {executeCall(fixture, daemon, call), {}};
        if (fixture.checks_)
            pending.seen_ = record(fixture);
        daemon.replies_.push_back(pending);
        if (daemon.mode_ == StoreMode::DuplicatesReplies)
            daemon.replies_.push_back(std::move(pending));
    }
}

/// Executes calls and delivers replies of one daemon until none is left.
inline void deliverStoreReplies(Fixture &fixture, std::size_t index)
{
    Daemon &daemon = fixture.daemons_.at(index);
    answerCalls(fixture, index);
    while (isRunning(daemon) && daemon.mode_ != StoreMode::DelaysReplies
           && !daemon.replies_.empty()) {
        const PendingReply pending = std::move(daemon.replies_.front());
        daemon.replies_.pop_front();
        send(fixture, index, StoreReplied {pending.reply_}, &pending.seen_);
        answerCalls(fixture, index);
    }
}

/// Delivers release requests, unless the receiver is paused, dead or has a faulty path.
inline void deliverReleaseRequests(Fixture &fixture)
{
    for (const ReleaseRequest &release : std::exchange(fixture.releaseRequests_, {})) {
        for (std::size_t i = 0; i < fixture.daemons_.size(); ++i) {
            const Daemon &daemon = fixture.daemons_[i];
            if (isRunning(daemon) && daemon.mode_ == StoreMode::Healthy
                && daemon.state_.settings_.holder_ == release.holder_)
                send(fixture, i, ReleaseRequested {release.budget_});
        }
    }
}

/// Advances the time by @a span and delivers store replies meanwhile.
inline void run(Fixture &fixture, Millis span)
{
    const MonoTime end = fixture.now_.mono_ + span;
    while (true) {
        MonoTime next = end;
        deliverReleaseRequests(fixture);
        for (std::size_t i = 0; i < fixture.daemons_.size(); ++i) {
            deliverStoreReplies(fixture, i);
            if (!isRunning(fixture.daemons_[i]))
                continue;
            const std::optional<MonoTime> wake = nextWake(fixture.daemons_[i].state_);
            next = wake ? std::min(next, *wake) : next;
        }
        if (next >= end)
            break;
        next = std::max(next, fixture.now_.mono_);
        fixture.now_.wall_ += std::chrono::duration_cast<Millis>(next - fixture.now_.mono_);
        fixture.now_.mono_ = next;
        for (std::size_t i = 0; i < fixture.daemons_.size(); ++i) {
            const std::optional<MonoTime> wake = nextWake(fixture.daemons_[i].state_);
            if (isRunning(fixture.daemons_[i]) && wake && *wake <= next)
                send(fixture, i, Tick {});
        }
    }
    fixture.now_.wall_ += std::chrono::duration_cast<Millis>(end - fixture.now_.mono_);
    fixture.now_.mono_ = end;
}

struct RequestOptions
{
    std::size_t daemon_ = 0;
    bool idempotent_ = true;
    /// Tokens that the upstream spends; the worst case if unset.
    std::optional<std::int64_t> actualCost_ {};
    Millis timeLimit_ {Seconds {10}};
    BudgetId budget_ = budget;
    bool hasIdempotencyKey_ = true;
    bool stream_ = false;
};

inline WaiterId admit(Fixture &fixture, std::int64_t worstCase, const std::string &request,
                      const RequestOptions &options = {})
{
    SubmittedRequest submitted;
    submitted.event_.waiter_ = WaiterId {++fixture.lastWaiter_};
    submitted.event_.request_ = RequestId {request};
    submitted.event_.account_ = account;
    submitted.event_.budget_ = options.budget_;
    submitted.event_.model_ = ModelId {"m"};
    submitted.event_.worstCase_ = Tokens {worstCase};
    submitted.event_.idempotent_ = options.idempotent_;
    submitted.event_.stream_ = options.stream_;
    submitted.event_.hasIdempotencyKey_ = options.hasIdempotencyKey_;
    submitted.event_.deadline_ = fixture.now_.mono_ + options.timeLimit_;
    submitted.daemon_ = options.daemon_;
    submitted.actualCost_ = Tokens {options.actualCost_.value_or(worstCase)};
    fixture.requests_[submitted.event_.waiter_] = submitted;
    send(fixture, options.daemon_, submitted.event_);
    return submitted.event_.waiter_;
}

inline const Dispatch *dispatched(const Fixture &fixture, WaiterId waiter)
{
    const SubmittedRequest &submitted = fixture.requests_.at(waiter);
    return submitted.dispatches_.empty() ? nullptr : &submitted.dispatches_.back();
}

inline const Refusal *refused(const Fixture &fixture, WaiterId waiter)
{
    const SubmittedRequest &submitted = fixture.requests_.at(waiter);
    return submitted.refusal_ ? &*submitted.refusal_ : nullptr;
}

inline bool decided(const Fixture &fixture, WaiterId waiter)
{
    return dispatched(fixture, waiter) || refused(fixture, waiter);
}

/// Completes a request with a complete response that reports the actual cost.
inline void finish(Fixture &fixture, WaiterId waiter)
{
    SubmittedRequest &submitted = fixture.requests_.at(waiter);
    const Dispatch dispatch = submitted.dispatches_.back();
    submitted.ended_ = true;
    AttemptEnded ended;
    ended.admission_ = dispatch.admission_;
    ended.attempt_ = dispatch.attempt_;
    ended.used_ = submitted.actualCost_;
    send(fixture, submitted.daemon_, ended);
    send(fixture, submitted.daemon_,
         RequestFinished {dispatch.admission_, submitted.actualCost_, Completeness::Complete});
}

/// Ends an attempt with a failure; the traffic thread requests a retry.
/// @param outputTokens output of a stream before the failure
inline void failAttempt(Fixture &fixture, WaiterId waiter, AttemptResult result,
                        std::uint32_t outputTokens = 0)
{
    SubmittedRequest &submitted = fixture.requests_.at(waiter);
    const Dispatch dispatch = submitted.dispatches_.back();
    submitted.sent_ = result != AttemptResult::NotSent;
    submitted.spent_ = result == AttemptResult::Truncated;
    AttemptEnded ended;
    ended.admission_ = dispatch.admission_;
    ended.attempt_ = dispatch.attempt_;
    ended.result_ = result;
    ended.used_ = submitted.spent_ ? submitted.actualCost_ : Tokens {};
    ended.retryWaiter_ = waiter;
    ended.outputTokens_ = outputTokens;
    send(fixture, submitted.daemon_, ended);
}

inline void adopt(Fixture &fixture, std::size_t daemon, std::shared_ptr<const Bundle> bundle)
{
    send(fixture, daemon, BundleLoaded {std::move(bundle)});
}

/// Simulates a crash: the daemon's memory and its submitted calls are lost.
inline void kill(Fixture &fixture, std::size_t index)
{
    Daemon &daemon = fixture.daemons_.at(index);
    daemon.alive_ = false;
    daemon.calls_.clear();
    daemon.replies_.clear();
    for (auto &[waiter, submitted] : fixture.requests_) {
        if (submitted.daemon_ == index)
            submitted.ended_ = true;
    }
}

/// Adds another daemon to a daemon's members, so that it can send messages to it.
inline void addMember(ControlState &state, const Registration &other)
{
    Member member;
    member.registration_ = other;
    member.registered_ = true;
    state.membership_.members_[other.holder_] = member;
}

/// Starts a daemon; a restarted daemon is a new holder. Each daemon is alone in its availability
/// zone, so it is the home of all its budgets.
inline std::size_t startDaemon(Fixture &fixture)
{
    const std::size_t index = fixture.daemons_.size();
    ControlState &state = fixture.daemons_.emplace_back().state_;
    Registration &self = state.membership_.self_;
    self.host_ = HostId {fmt::format("host{}", index)};
    self.holder_ = HolderId {fmt::format("h{}", index)};
    self.zone_ = ZoneId {fmt::format("zone{}", index)};
    self.peerAddress_ = "127.0.0.1:1";
    state.settings_.host_ = self.host_;
    state.settings_.holder_ = self.holder_;
    state.settings_.zone_ = self.zone_;
    state.bundle_ = fixture.bundle_;
    for (std::size_t i = 0; i < index; ++i) {
        ControlState &other = fixture.daemons_[i].state_;
        addMember(other, self);
        addMember(state, other.membership_.self_);
    }
    return index;
}

/// Ends all faults, finishes running requests and lets every live daemon become idle.
inline void recoverFleet(Fixture &fixture)
{
    for (std::size_t i = 0; i < fixture.daemons_.size(); ++i) {
        fixture.daemons_[i].mode_ = StoreMode::Healthy;
        fixture.daemons_[i].paused_ = false;
        if (fixture.daemons_[i].alive_)
            adopt(fixture, i, fixture.bundle_);
    }
    applyDelayedWrites(fixture);
    run(fixture, Seconds {20});
    for (const auto &[waiter, submitted] : fixture.requests_) {
        if (!submitted.ended_ && !submitted.refusal_ && !submitted.dispatches_.empty())
            finish(fixture, waiter);
    }
    // Long enough for the release of idle grants, which also settles grants that were written off.
    run(fixture, Seconds {300});
}

} // namespace tamarack::fixture
