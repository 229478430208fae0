// The control state machine against a store in memory. Guards against overspend, false refusals and
// a second run when the store is slow, down or loses answers.
#include "core/core.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>

namespace tamarack {

namespace {

const AccountId account {"acct"};
const BudgetId budget {"b"};

enum class StoreMode {
    Answers,
    LosesAnswers,
    Down,
};

/// One daemon's state machine and a store in memory.
struct Fixture
{
    ControlState state_;
    std::map<StoreKey, VersionedValue> store_;
    std::uint64_t revision_ = 0;
    StoreMode mode_ = StoreMode::Answers;
    Now now_ {MonoTime {Seconds {1000}}, WallTime {Seconds {1000}}};
    std::deque<SubmitStoreCall> calls_;
    std::map<WaiterId, Decision> decisions_;
    std::uint64_t lastWaiter_ = 0;
};

Fixture makeFixture(std::int64_t funded)
{
    Fixture fixture;
    fixture.state_.settings_.holder_ = HolderId {"h1"};
    auto bundle = std::make_shared<Bundle>();
    bundle->version_ = BundleVersion {1};
    ClientAccount client;
    client.id_ = account;
    bundle->accounts_[account] = client;
    bundle->budgets_[budget] = Budget {budget, account, Tokens {funded}};
    Upstream upstream;
    upstream.id_ = UpstreamId {"u1"};
    upstream.address_ = "127.0.0.1:1";
    upstream.models_ = {ModelId {"m"}};
    bundle->upstreams_[upstream.id_] = upstream;
    fixture.state_.bundle_ = bundle;
    return fixture;
}

VersionedValue &stored(Fixture &fixture, const StoreKey &key)
{
    return fixture.store_[key];
}

StoreReply answer(Fixture &fixture, const SubmitStoreCall &call)
{
    StoreReply reply {call.id_, StoreStatus::Ok, {}};
    if (fixture.mode_ == StoreMode::Down) {
        reply.status_ = StoreStatus::Unavailable;
        return reply;
    }
    if (const auto *read = std::get_if<ReadCall>(&call.call_)) {
        reply.current_ = stored(fixture, read->key_);
    } else {
        const auto &swap = std::get<SwapCall>(call.call_);
        VersionedValue &current = stored(fixture, swap.key_);
        if (current.revision_ != swap.expected_) {
            reply.status_ = StoreStatus::Conflict;
            reply.current_ = current;
        } else {
            current = VersionedValue {Revision {++fixture.revision_}, swap.value_};
            reply.current_.revision_ = current.revision_;
        }
    }
    if (fixture.mode_ == StoreMode::LosesAnswers)
        return StoreReply {call.id_, StoreStatus::Unknown, {}};
    return reply;
}

void send(Fixture &fixture, const Event &event)
{
    for (Command &command : handle(fixture.state_, event, fixture.now_)) {
        if (auto *call = std::get_if<SubmitStoreCall>(&command))
            fixture.calls_.push_back(std::move(*call));
        else if (auto *reply = std::get_if<ReplyTo>(&command))
            fixture.decisions_.emplace(reply->waiter_, std::move(reply->decision_));
    }
    REQUIRE(checkInvariants(fixture.state_));
}

/// Lets time pass and the store answer until @a span is over.
void run(Fixture &fixture, Millis span)
{
    const MonoTime end = fixture.now_.mono_ + span;
    while (true) {
        while (!fixture.calls_.empty()) {
            const SubmitStoreCall call = fixture.calls_.front();
            fixture.calls_.pop_front();
            send(fixture, StoreReplied {answer(fixture, call)});
        }
        const std::optional<MonoTime> wake = nextWake(fixture.state_);
        if (!wake || *wake > end)
            break;
        fixture.now_.mono_ = std::max(*wake, fixture.now_.mono_);
        send(fixture, Tick {});
    }
    fixture.now_.mono_ = end;
}

WaiterId admit(Fixture &fixture, std::int64_t worstCase, const std::string &request,
               bool idempotent = true)
{
    AdmitRequested ask;
    ask.waiter_ = WaiterId {++fixture.lastWaiter_};
    ask.request_ = RequestId {request};
    ask.account_ = account;
    ask.budget_ = budget;
    ask.model_ = ModelId {"m"};
    ask.worstCase_ = Tokens {worstCase};
    ask.idempotent_ = idempotent;
    ask.deadline_ = fixture.now_.mono_ + Seconds {10};
    send(fixture, ask);
    return ask.waiter_;
}

const Dispatch *dispatched(const Fixture &fixture, WaiterId waiter)
{
    const auto it = fixture.decisions_.find(waiter);
    return it == fixture.decisions_.end() ? nullptr : std::get_if<Dispatch>(&it->second);
}

const Refusal *refused(const Fixture &fixture, WaiterId waiter)
{
    const auto it = fixture.decisions_.find(waiter);
    return it == fixture.decisions_.end() ? nullptr : std::get_if<Refusal>(&it->second);
}

void finish(Fixture &fixture, WaiterId waiter, std::int64_t used)
{
    const Dispatch dispatch = *dispatched(fixture, waiter);
    send(fixture,
         AttemptEnded {dispatch.admission_,
                       dispatch.attempt_,
                       AttemptResult::Whole,
                       {},
                       Tokens {used},
                       std::nullopt});
    send(fixture, RequestFinished {dispatch.admission_, Tokens {used}, Completeness::Whole});
}

BudgetRecord record(Fixture &fixture)
{
    for (const auto &[key, value] : fixture.store_) {
        if (value.value_ && std::holds_alternative<LedgerShard>(*value.value_))
            return std::get<LedgerShard>(*value.value_).budgets_.at(budget);
    }
    return {};
}

} // namespace

TEST_CASE("control")
{
    Fixture fixture = makeFixture(1000);

    SECTION("a request is dispatched, billed once and settled")
    {
        const WaiterId waiter = admit(fixture, 100, "r1");
        run(fixture, Millis {100});
        REQUIRE(dispatched(fixture, waiter));
        finish(fixture, waiter, 40);
        run(fixture, Seconds {5});
        CHECK(record(fixture).charged_ == Tokens {40});
        CHECK(fixture.state_.active_.empty());
    }
    SECTION("an exhausted budget is refused at once and truthfully")
    {
        const WaiterId waiter = admit(fixture, 1001, "r1");
        run(fixture, Millis {100});
        REQUIRE(refused(fixture, waiter));
        CHECK(refused(fixture, waiter)->reason_ == RefusalReason::BudgetExhausted);
    }
    SECTION("tokens that another request may give back are waited for")
    {
        const WaiterId first = admit(fixture, 900, "r1");
        run(fixture, Millis {100});
        REQUIRE(dispatched(fixture, first));
        const WaiterId second = admit(fixture, 900, "r2");
        run(fixture, Millis {100});
        CHECK_FALSE(fixture.decisions_.contains(second));
        finish(fixture, first, 50);
        run(fixture, Seconds {5});
        CHECK(dispatched(fixture, second));
    }
    SECTION("a lost answer does not draw twice")
    {
        fixture.mode_ = StoreMode::LosesAnswers;
        const WaiterId waiter = admit(fixture, 100, "r1");
        run(fixture, Millis {500});
        CHECK_FALSE(dispatched(fixture, waiter));
        fixture.mode_ = StoreMode::Answers;
        run(fixture, Seconds {5});
        REQUIRE(dispatched(fixture, waiter));
        CHECK(record(fixture).grants_.size() == 1);
    }
    SECTION("with the store down a request is refused as not run at its deadline")
    {
        fixture.mode_ = StoreMode::Down;
        const WaiterId waiter = admit(fixture, 100, "r1");
        run(fixture, Seconds {9});
        CHECK_FALSE(fixture.decisions_.contains(waiter));
        run(fixture, Seconds {2});
        REQUIRE(refused(fixture, waiter));
        CHECK(refused(fixture, waiter)->reason_ == RefusalReason::BudgetUnconfirmed);
        CHECK(refused(fixture, waiter)->execution_ == Execution::NotRun);
    }
    SECTION("a non-idempotent request is not dispatched before its intent is stored")
    {
        const WaiterId warm = admit(fixture, 100, "r0");
        run(fixture, Millis {100});
        REQUIRE(dispatched(fixture, warm));
        finish(fixture, warm, 0);
        run(fixture, Seconds {5});
        fixture.mode_ = StoreMode::Down;
        const WaiterId waiter = admit(fixture, 100, "r1", false);
        run(fixture, Seconds {5});
        CHECK_FALSE(dispatched(fixture, waiter));
    }
    SECTION("a repeated non-idempotent request never runs again")
    {
        const WaiterId first = admit(fixture, 100, "r1", false);
        run(fixture, Millis {100});
        REQUIRE(dispatched(fixture, first));
        finish(fixture, first, 10);
        run(fixture, Seconds {5});
        const WaiterId second = admit(fixture, 100, "r1", false);
        run(fixture, Seconds {1});
        REQUIRE(refused(fixture, second));
        CHECK(refused(fixture, second)->execution_ == Execution::Ran);
    }
    SECTION("a planned stop hands the grants back")
    {
        const WaiterId waiter = admit(fixture, 100, "r1");
        run(fixture, Millis {100});
        send(fixture, StopRequested {});
        run(fixture, Seconds {1});
        CHECK_FALSE(fixture.state_.stopCompleted_);
        finish(fixture, waiter, 30);
        run(fixture, Seconds {5});
        CHECK(fixture.state_.stopCompleted_);
        CHECK(record(fixture).grants_.empty());
        CHECK(record(fixture).charged_ == Tokens {30});
    }
}

} // namespace tamarack
