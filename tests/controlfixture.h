// State machines of several daemons against one store in memory, in simulated time, with faults on
// the path between them. After every event the fixture checks what must hold at any moment and
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

/// What happens to a daemon's calls to the store.
enum class StoreMode {
    Healthy,
    /// The call takes effect, but its outcome is reported as unknown.
    LosesReplies,
    /// Reads are answered; a write takes effect, but its outcome is reported as unknown.
    LosesWriteReplies,
    /// The outcome is reported as unknown and the call takes effect later (applyDelayedWrites).
    DelaysWrites,
    /// The call takes effect, but its reply waits until the mode changes.
    DelaysReplies,
    /// Every reply is delivered twice.
    DuplicatesReplies,
    Down,
};

struct PendingReply
{
    StoreReply reply_;
    /// The budgets as the store showed them to this call.
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

/// One call by a caller to one daemon.
struct SubmittedRequest
{
    AdmissionRequested event_;
    std::size_t daemon_ = 0;
    std::vector<Dispatch> dispatches_;
    std::optional<Refusal> refusal_;
    /// Tokens that the upstream spends on it if it is dispatched.
    Tokens actualCost_;
    /// A byte left for an upstream.
    bool sent_ = false;
    /// The upstream spent actualCost_; false if it refused the request.
    bool spent_ = false;
    /// The caller has its answer or its daemon died.
    bool ended_ = false;
};

struct Fixture
{
    std::vector<Daemon> daemons_;
    std::map<StoreKey, VersionedValue> store_;
    std::vector<CompareAndSwapCall> late_;
    std::uint64_t revision_ = 0;
    Now now_ {MonoTime {Seconds {1000}}, WallTime {Seconds {1000}}};
    std::map<WaiterId, SubmittedRequest> requests_;
    std::uint64_t lastWaiter_ = 0;
    std::shared_ptr<const Bundle> bundle_;
    std::vector<ReleaseRequest> releaseAsks_;
    std::vector<std::string> violations_;
    /// False for measurements: the checks cost more than the code under test.
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

/// The budget as the store holds it.
inline BudgetRecord record(const Fixture &fixture, const BudgetId &id = budget)
{
    for (const auto &[key, value] : fixture.store_) {
        const auto *shard = value.value_ ? std::get_if<LedgerShard>(&*value.value_) : nullptr;
        if (shard && shard->budgets_.contains(id))
            return shard->budgets_.at(id);
    }
    return {};
}

/// All bills in the store, in shards and in archive segments.
/// Returns false for a segment that its request shard does not count yet: its records are still in
/// the shard, and readers do not look at it.
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

inline void violate(Fixture &fixture, std::string text)
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

/// What the store makes of a call, seen through the fault on the path.
inline StoreReply answer(Fixture &fixture, const Daemon &daemon, const SubmitStoreCall &call)
{
    if (daemon.mode_ == StoreMode::Down)
        return StoreReply {call.id_, StoreStatus::Unavailable, {}};
    if (daemon.mode_ == StoreMode::DelaysWrites) {
        if (const auto *swap = std::get_if<CompareAndSwapCall>(&call.call_))
            fixture.late_.push_back(*swap);
        return StoreReply {call.id_, StoreStatus::Unknown, {}};
    }
    StoreReply reply = applyCall(fixture, call);
    const bool isWrite = std::holds_alternative<CompareAndSwapCall>(call.call_);
    const bool losesWrite = daemon.mode_ == StoreMode::LosesWriteReplies && isWrite;
    if (daemon.mode_ == StoreMode::LosesReplies || losesWrite)
        return StoreReply {call.id_, StoreStatus::Unknown, {}};
    return reply;
}

/// Lets calls take effect whose outcome was reported as unknown before.
inline void applyDelayedWrites(Fixture &fixture)
{
    for (const CompareAndSwapCall &swap : std::exchange(fixture.late_, {}))
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

inline void checkRefusal(Fixture &fixture, const Daemon &daemon, const SubmittedRequest &ask,
                         const BudgetRecord *seen)
{
    const Refusal &refusal = *ask.refusal_;
    const std::string &id = ask.event_.request_.value_;
    if (refusal.execution_ == Execution::NotRun && ask.sent_)
        violate(fixture, fmt::format("{} is refused as not run but was sent", id));
    if (refusal.reason_ != RefusalReason::BudgetExhausted || !fixture.checks_)
        return;
    if (!seen) {
        violate(fixture, fmt::format("{} is refused as exhausted without a store reply", id));
        return;
    }
    const Tokens left = seen->funded_ - seen->charged_ - lostTokens(*seen)
        - unsettled(daemon.state_, ask.event_.budget_);
    if (left >= ask.event_.worstCase_ || seen->fundingVersion_ < daemon.state_.bundle_->version_)
        violate(fixture, fmt::format("{} is refused as exhausted with {} left", id, left.count_));
}

inline void takeDecision(Fixture &fixture, const Daemon &daemon, const ReplyTo &reply,
                         const BudgetRecord *seen)
{
    SubmittedRequest &ask = fixture.requests_.at(reply.waiter_);
    if (const auto *refusal = std::get_if<Refusal>(&reply.decision_)) {
        ask.refusal_ = *refusal;
        checkRefusal(fixture, daemon, ask, seen);
        return;
    }
    if (ask.refusal_)
        violate(fixture,
                fmt::format("{} is dispatched after its refusal", ask.event_.request_.value_));
    ask.dispatches_.push_back(std::get<Dispatch>(reply.decision_));
    ask.sent_ = true;
    ask.spent_ = true;
}

/// Sums that must hold whatever has failed.
inline void checkTotals(Fixture &fixture)
{
    std::map<RequestId, Tokens> run;
    std::map<RequestId, int> nonIdempotent;
    for (const auto &[waiter, ask] : fixture.requests_) {
        if (!ask.event_.idempotent_ && ask.sent_ && ++nonIdempotent[ask.event_.request_] > 1)
            violate(fixture, fmt::format("{} ran twice", ask.event_.request_.value_));
        if (!ask.spent_)
            continue;
        // A repeated idempotent request is billed once, so it counts once.
        const auto [it, first] = run.try_emplace(ask.event_.request_, ask.actualCost_);
        it->second = std::min(it->second, ask.actualCost_);
    }
    Tokens sum;
    for (const auto &[id, tokens] : run)
        sum += tokens;
    const BudgetRecord stored = record(fixture);
    if (sum > stored.funded_)
        violate(fixture, fmt::format("{} tokens ran of {}", sum.count_, stored.funded_.count_));
    if (committedTokens(stored) > stored.funded_)
        violate(fixture, "more is committed than funded");
    Tokens billed;
    std::size_t count = 0;
    const auto all = bills(fixture, &count);
    for (const auto &[id, bill] : all)
        billed += bill.charged_;
    if (count != all.size())
        violate(fixture, "a request has two bills");
    if (billed > committedTokens(stored))
        violate(fixture,
                fmt::format("{} billed but {} committed", billed.count_,
                            committedTokens(stored).count_));
}

/// Keeps the messages that ask another holder for tokens; the others have no receiver here.
inline void takeMessage(Fixture &fixture, const SendPeer &message)
{
    if (const auto *ask = std::get_if<ReleaseRequest>(&message.message_))
        fixture.releaseAsks_.push_back(*ask);
}

inline void send(Fixture &fixture, std::size_t index, const Event &event,
                 const BudgetRecord *seen = nullptr)
{
    Daemon &daemon = fixture.daemons_.at(index);
    for (Command &command : handle(daemon.state_, event, fixture.now_)) {
        if (auto *call = std::get_if<SubmitStoreCall>(&command))
            daemon.calls_.push_back(std::move(*call));
        else if (const auto *reply = std::get_if<ReplyTo>(&command))
            takeDecision(fixture, daemon, *reply, seen);
        else if (const auto *message = std::get_if<SendPeer>(&command))
            takeMessage(fixture, *message);
    }
    if (!fixture.checks_)
        return;
    if (!checkInvariants(daemon.state_))
        violate(fixture, fmt::format("daemon {} breaks an invariant", index));
    checkTotals(fixture);
}

inline bool isRunning(const Daemon &daemon)
{
    return daemon.alive_ && !daemon.paused_;
}

/// Lets the store take the calls that a daemon has submitted.
inline void answerCalls(Fixture &fixture, std::size_t index)
{
    Daemon &daemon = fixture.daemons_.at(index);
    while (!daemon.calls_.empty()) {
        const SubmitStoreCall call = std::move(daemon.calls_.front());
        daemon.calls_.pop_front();
        PendingReply pending {answer(fixture, daemon, call), {}};
        if (fixture.checks_)
            pending.seen_ = record(fixture);
        daemon.replies_.push_back(pending);
        if (daemon.mode_ == StoreMode::DuplicatesReplies)
            daemon.replies_.push_back(std::move(pending));
    }
}

/// Delivers calls and replies of one daemon until it has none.
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

/// Delivers the daemons' requests to each other, unless one of the two is cut off.
inline void deliverReleaseAsks(Fixture &fixture)
{
    for (const ReleaseRequest &ask : std::exchange(fixture.releaseAsks_, {})) {
        for (std::size_t i = 0; i < fixture.daemons_.size(); ++i) {
            const Daemon &daemon = fixture.daemons_[i];
            if (isRunning(daemon) && daemon.mode_ == StoreMode::Healthy
                && daemon.state_.settings_.holder_ == ask.holder_)
                send(fixture, i, ReleaseRequested {ask.budget_});
        }
    }
}

/// Lets time pass and the store answer until @a span is over.
inline void run(Fixture &fixture, Millis span)
{
    const MonoTime end = fixture.now_.mono_ + span;
    while (true) {
        MonoTime next = end;
        deliverReleaseAsks(fixture);
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
    SubmittedRequest ask;
    ask.event_.waiter_ = WaiterId {++fixture.lastWaiter_};
    ask.event_.request_ = RequestId {request};
    ask.event_.account_ = account;
    ask.event_.budget_ = options.budget_;
    ask.event_.model_ = ModelId {"m"};
    ask.event_.worstCase_ = Tokens {worstCase};
    ask.event_.idempotent_ = options.idempotent_;
    ask.event_.hasIdempotencyKey_ = options.hasIdempotencyKey_;
    ask.event_.deadline_ = fixture.now_.mono_ + options.timeLimit_;
    ask.daemon_ = options.daemon_;
    ask.actualCost_ = Tokens {options.actualCost_.value_or(worstCase)};
    fixture.requests_[ask.event_.waiter_] = ask;
    send(fixture, options.daemon_, ask.event_);
    return ask.event_.waiter_;
}

inline const Dispatch *dispatched(const Fixture &fixture, WaiterId waiter)
{
    const SubmittedRequest &ask = fixture.requests_.at(waiter);
    return ask.dispatches_.empty() ? nullptr : &ask.dispatches_.back();
}

inline const Refusal *refused(const Fixture &fixture, WaiterId waiter)
{
    const SubmittedRequest &ask = fixture.requests_.at(waiter);
    return ask.refusal_ ? &*ask.refusal_ : nullptr;
}

inline bool decided(const Fixture &fixture, WaiterId waiter)
{
    return dispatched(fixture, waiter) || refused(fixture, waiter);
}

/// The upstream answers whole and reports what it spent.
inline void finish(Fixture &fixture, WaiterId waiter)
{
    SubmittedRequest &ask = fixture.requests_.at(waiter);
    const Dispatch dispatch = ask.dispatches_.back();
    ask.ended_ = true;
    AttemptEnded ended;
    ended.admission_ = dispatch.admission_;
    ended.attempt_ = dispatch.attempt_;
    ended.used_ = ask.actualCost_;
    send(fixture, ask.daemon_, ended);
    send(fixture, ask.daemon_,
         RequestFinished {dispatch.admission_, ask.actualCost_, Completeness::Complete});
}

/// The upstream could not be reached or failed; the caller's thread asks for another attempt.
inline void failAttempt(Fixture &fixture, WaiterId waiter, AttemptResult result)
{
    SubmittedRequest &ask = fixture.requests_.at(waiter);
    const Dispatch dispatch = ask.dispatches_.back();
    ask.sent_ = result != AttemptResult::NotSent;
    ask.spent_ = result == AttemptResult::Truncated;
    AttemptEnded ended;
    ended.admission_ = dispatch.admission_;
    ended.attempt_ = dispatch.attempt_;
    ended.result_ = result;
    ended.used_ = ask.spent_ ? ask.actualCost_ : Tokens {};
    ended.retryWaiter_ = waiter;
    send(fixture, ask.daemon_, ended);
}

inline void adopt(Fixture &fixture, std::size_t daemon, std::shared_ptr<const Bundle> bundle)
{
    send(fixture, daemon, BundleLoaded {std::move(bundle)});
}

/// The daemon's process ends and its memory is gone. Calls that it has submitted are lost.
inline void kill(Fixture &fixture, std::size_t index)
{
    Daemon &daemon = fixture.daemons_.at(index);
    daemon.alive_ = false;
    daemon.calls_.clear();
    daemon.replies_.clear();
    for (auto &[waiter, ask] : fixture.requests_) {
        if (ask.daemon_ == index)
            ask.ended_ = true;
    }
}

/// Lets a daemon know another one, so that it can send messages to it.
inline void introduce(ControlState &state, const Registration &other)
{
    Member member;
    member.registration_ = other;
    member.registered_ = true;
    state.membership_.members_[other.holder_] = member;
}

/// Starts a daemon; a restarted daemon is a new holder. Each is alone in its availability zone, so
/// it is the home of all its budgets.
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
        introduce(other, self);
        introduce(state, other.membership_.self_);
    }
    return index;
}

/// Ends all faults, finishes what runs and lets every daemon that is alive come to rest.
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
    for (const auto &[waiter, ask] : fixture.requests_) {
        if (!ask.ended_ && !ask.refusal_ && !ask.dispatches_.empty())
            finish(fixture, waiter);
    }
    // Long enough for idle grants to be handed back, which also settles those written off.
    run(fixture, Seconds {300});
}

/// What must hold after heal(): every caller is answered, and what is charged is what is billed.
/// Tokens of dead daemons may stay lost, but nothing else may.
inline void checkQuiescent(Fixture &fixture)
{
    bool died = false;
    for (const Daemon &daemon : fixture.daemons_) {
        died |= !daemon.alive_;
        if (daemon.alive_ && !daemon.state_.active_.empty())
            violate(fixture, "a request is not finished although everything works again");
    }
    for (const auto &[waiter, ask] : fixture.requests_) {
        if (!ask.ended_ && !ask.refusal_ && ask.dispatches_.empty())
            violate(fixture, fmt::format("{} has no answer", ask.event_.request_.value_));
    }
    Tokens billed;
    for (const auto &[id, bill] : bills(fixture))
        billed += bill.charged_;
    const BudgetRecord stored = record(fixture);
    if (!died && (stored.charged_ != billed || lostTokens(stored) != Tokens {}))
        violate(fixture,
                fmt::format("{} billed, {} charged, {} lost at rest", billed.count_,
                            stored.charged_.count_, lostTokens(stored).count_));
    if (stored.charged_ > billed)
        violate(fixture, "more is charged than billed at rest");
}

inline std::string firstViolation(const Fixture &fixture)
{
    return fixture.violations_.empty() ? std::string() : fixture.violations_.front();
}

} // namespace tamarack::fixture
