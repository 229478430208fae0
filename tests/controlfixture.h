// Control state machines of several daemons with one in-memory store, in simulated time and with
// injected faults on the path to the store. The fixture checks the invariants after every event and
// records each violation as text.
#pragma once

#include "core/core.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack::fixture {

inline const AccountId account {"acct"};
inline const BudgetId budget {"b"};

/// Fault on the path between a daemon and the store.
enum class StoreMode {
    Healthy,
    /// Calls take effect, but their outcome is reported as unknown.
    LosesReplies,
    /// Reads succeed; writes take effect, but their outcome is reported as unknown.
    LosesWriteReplies,
    /// The outcome is reported as unknown and writes take effect later, in applyDelayedWrites().
    DelaysWrites,
    /// Calls take effect, but their replies are delayed until the mode changes.
    DelaysReplies,
    /// Every reply is delivered twice.
    DuplicatesReplies,
    Down,
};

struct PendingReply
{
    StoreReply reply_;
    /// The budget's record in the store when the call was executed.
    BudgetRecord seen_;
};

struct Daemon
{
    ControlState state_;
    std::deque<SubmitStoreCall> calls_;
    std::deque<PendingReply> replies_;
    StoreMode mode_ = StoreMode::Healthy;
    bool alive_ = true;
    bool paused_ = false;
};

/// A request that a caller submitted to one daemon.
struct SubmittedRequest
{
    AdmissionRequested event_;
    std::size_t daemon_ = 0;
    std::vector<Dispatch> dispatches_;
    std::optional<Refusal> refusal_;
    /// Tokens that the upstream spends on the request if it is dispatched.
    Tokens actualCost_;
    /// A byte was sent to an upstream.
    bool sent_ = false;
    /// The upstream spent actualCost_; false if it rejected the request.
    bool spent_ = false;
    /// The caller has its response, or its daemon died.
    bool ended_ = false;
};

struct Fixture
{
    std::vector<Daemon> daemons_;
    std::map<StoreKey, VersionedValue> store_;
    std::vector<CompareAndSwapCall> delayedWrites_;
    std::uint64_t revision_ = 0;
    Now now_ {MonoTime {Seconds {1000}}, WallTime {Seconds {1000}}};
    std::map<WaiterId, SubmittedRequest> requests_;
    std::uint64_t lastWaiter_ = 0;
    std::shared_ptr<const Bundle> bundle_;
    std::vector<ReleaseRequest> releaseRequests_;
    std::vector<std::string> violations_;
    /// False in benchmarks, because the checks cost more than the code under test.
    bool checks_ = true;
    std::uint64_t storeReads_ = 0;
    std::uint64_t storeWrites_ = 0;
};

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

/// Returns the record of a budget in the store.
inline BudgetRecord record(const Fixture &fixture, const BudgetId &id = budget)
{
    for (const auto &[key, value] : fixture.store_) {
        const auto *shard = value.value_ ? std::get_if<LedgerShard>(&*value.value_) : nullptr;
        if (shard && shard->budgets_.contains(id))
            return shard->budgets_.at(id);
    }
    return {};
}

/// Returns false for a segment that its request shard does not count yet. The records of such a
/// segment are still in the shard, so readers ignore it.
inline bool isCounted(const Fixture &fixture, const StoreKey &key)
{
    const std::string separator = "/segments/";
    const std::size_t at = key.value_.find(separator);
    if (at == std::string::npos)
        return true;
    const auto shard = fixture.store_.find(StoreKey {key.value_.substr(0, at)});
    return shard != fixture.store_.end()
        && std::stoull(key.value_.substr(at + separator.size()))
        < std::get<RequestShard>(*shard->second.value_).segments_;
}

/// Returns all bills in the store, in shards and in archive segments. Adds their number to @a
/// count.
inline std::map<RequestId, RequestRecord> bills(const Fixture &fixture,
                                                std::size_t *count = nullptr)
{
    std::map<RequestId, RequestRecord> found;
    for (const auto &[key, value] : fixture.store_) {
        const auto *shard = value.value_ ? std::get_if<RequestShard>(&*value.value_) : nullptr;
        if (!shard || !isCounted(fixture, key))
            continue;
        for (const auto &[id, request] : shard->records_) {
            if (request.phase_ != RequestPhase::Billed)
                continue;
            found[id] = request;
            if (count)
                ++*count;
        }
    }
    return found;
}

inline void addViolation(Fixture &fixture, std::string text)
{
    fixture.violations_.push_back(std::move(text));
}

inline StoreReply applyCall(Fixture &fixture, const SubmitStoreCall &call)
{
    StoreReply reply {call.id_, StoreStatus::Ok, {}};
    if (const auto *read = std::get_if<ReadCall>(&call.call_)) {
        ++fixture.storeReads_;
        reply.current_ = fixture.store_[read->key_];
        return reply;
    }
    ++fixture.storeWrites_;
    const auto &swap = std::get<CompareAndSwapCall>(call.call_);
    VersionedValue &current = fixture.store_[swap.key_];
    if (current.revision_ != swap.expected_) {
        reply.status_ = StoreStatus::Conflict;
        reply.current_ = current;
        return reply;
    }
    current = VersionedValue {Revision {++fixture.revision_}, swap.value_};
    reply.current_.revision_ = current.revision_;
    return reply;
}

/// Executes a call with the fault of the daemon's StoreMode and returns the reply.
inline StoreReply executeCall(Fixture &fixture, const Daemon &daemon, const SubmitStoreCall &call)
{
    if (daemon.mode_ == StoreMode::Down)
        return StoreReply {call.id_, StoreStatus::Unavailable, {}};
    if (daemon.mode_ == StoreMode::DelaysWrites) {
        if (const auto *swap = std::get_if<CompareAndSwapCall>(&call.call_))
            fixture.delayedWrites_.push_back(*swap);
        return StoreReply {call.id_, StoreStatus::Unknown, {}};
    }
    StoreReply reply = applyCall(fixture, call);
    const bool isWrite = std::holds_alternative<CompareAndSwapCall>(call.call_);
    const bool losesWrite = daemon.mode_ == StoreMode::LosesWriteReplies && isWrite;
    if (daemon.mode_ == StoreMode::LosesReplies || losesWrite)
        return StoreReply {call.id_, StoreStatus::Unknown, {}};
    return reply;
}

/// Executes the writes whose outcome was reported as unknown before.
inline void applyDelayedWrites(Fixture &fixture)
{
    for (const CompareAndSwapCall &swap : std::exchange(fixture.delayedWrites_, {}))
        applyCall(fixture, SubmitStoreCall {{}, swap});
}

inline Tokens unsettled(const ControlState &state, const BudgetId &id)
{
    Tokens sum;
    const auto held = state.grants_.find(id);
    if (held != state.grants_.end())
        sum += held->second.spent_ - held->second.settled_;
    for (const auto &[grant, retired] : state.retired_)
        sum += retired.held_.spent_ - retired.held_.settled_;
    return sum;
}

inline void checkRefusal(Fixture &fixture, const Daemon &daemon, const SubmittedRequest &submitted,
                         const BudgetRecord *seen)
{
    const Refusal &refusal = *submitted.refusal_;
    const std::string &id = submitted.event_.request_.value_;
    if (refusal.execution_ == Execution::NotRun && submitted.sent_)
        addViolation(fixture, fmt::format("{} is refused as not run but was sent", id));
    if (refusal.reason_ != RefusalReason::BudgetExhausted || !fixture.checks_)
        return;
    if (!seen) {
        addViolation(fixture, fmt::format("{} is refused as exhausted without a store reply", id));
        return;
    }
    const Tokens left = seen->funded_ - seen->charged_ - lostTokens(*seen)
        - unsettled(daemon.state_, submitted.event_.budget_);
    if (left >= submitted.event_.worstCase_
        || seen->fundingVersion_ < daemon.state_.bundle_->version_)
        addViolation(fixture,
                     fmt::format("{} is refused as exhausted with {} left", id, left.count_));
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

/// Checks the totals that must hold under any fault.
inline void checkTotals(Fixture &fixture)
{
    std::map<RequestId, Tokens> run;
    std::map<RequestId, int> nonIdempotent;
    for (const auto &[waiter, submitted] : fixture.requests_) {
        if (!submitted.event_.idempotent_ && submitted.sent_
            && ++nonIdempotent[submitted.event_.request_] > 1)
            addViolation(fixture, fmt::format("{} ran twice", submitted.event_.request_.value_));
        if (!submitted.spent_)
            continue;
        // A repeated idempotent request is billed once, so it counts once.
        const auto [it, first] = run.try_emplace(submitted.event_.request_, submitted.actualCost_);
        it->second = std::min(it->second, submitted.actualCost_);
    }
    Tokens sum;
    for (const auto &[id, tokens] : run)
        sum += tokens;
    const BudgetRecord stored = record(fixture);
    if (sum > stored.funded_)
        addViolation(
            fixture,
            fmt::format("{} tokens spent of {} funded", sum.count_, stored.funded_.count_));
    if (committedTokens(stored) > stored.funded_)
        addViolation(fixture, "more is committed than funded");
    Tokens billed;
    std::size_t count = 0;
    const auto all = bills(fixture, &count);
    for (const auto &[id, bill] : all)
        billed += bill.charged_;
    if (count != all.size())
        addViolation(fixture, "a request has two bills");
    if (billed > committedTokens(stored))
        addViolation(fixture,
                     fmt::format("{} billed but {} committed", billed.count_,
                                 committedTokens(stored).count_));
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
inline void failAttempt(Fixture &fixture, WaiterId waiter, AttemptResult result)
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

/// Checks the state after recoverFleet(): every caller has a response, and the charged tokens equal
/// the billed ones. Only tokens of dead daemons may be lost.
inline void checkQuiescent(Fixture &fixture)
{
    bool died = false;
    for (const Daemon &daemon : fixture.daemons_) {
        died |= !daemon.alive_;
        if (daemon.alive_ && !daemon.state_.active_.empty())
            addViolation(fixture, "a request is not finished after recovery");
    }
    for (const auto &[waiter, submitted] : fixture.requests_) {
        if (!submitted.ended_ && !submitted.refusal_ && submitted.dispatches_.empty())
            addViolation(fixture,
                         fmt::format("{} has no response", submitted.event_.request_.value_));
    }
    Tokens billed;
    for (const auto &[id, bill] : bills(fixture))
        billed += bill.charged_;
    const BudgetRecord stored = record(fixture);
    if (!died && (stored.charged_ != billed || lostTokens(stored) != Tokens {}))
        addViolation(fixture,
                     fmt::format("{} billed, {} charged, {} lost at rest", billed.count_,
                                 stored.charged_.count_, lostTokens(stored).count_));
    if (stored.charged_ > billed)
        addViolation(fixture, "more is charged than billed at rest");
}

inline std::string firstViolation(const Fixture &fixture)
{
    return fixture.violations_.empty() ? std::string() : fixture.violations_.front();
}

} // namespace tamarack::fixture
