// Limits of client accounts and the queue of waiting requests. Guards against starvation, unfair
// shares, refusals that are not true, and retry hints that cannot be relied on.
#include "core/core.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace tamarack {

namespace {

const MonoTime start {Seconds {1000}};
const RouteTarget target {UpstreamKind::ModelEngine, "m"};

struct Fixture
{
    AdmissionState state_;
    MonoTime now_ = start;
    std::uint64_t last_ = 0;
};

AdmissionId wait(Fixture &fixture, const std::string &account, int priority = 0, double cost = 1.0,
                 Millis timeLeft = Seconds {60})
{
    AdmissionId admission {std::to_string(++fixture.last_)};
    enqueue(fixture.state_, target, AccountId {account}, priority,
            WaitingRequest {admission, fixture.now_, fixture.now_ + timeLeft, cost}, fixture.now_);
    return admission;
}

std::string serve(Fixture &fixture)
{
    const std::optional<NextWaiting> next
        = nextWaiting(fixture.state_.queues_[target], fixture.state_.settings_, fixture.now_);
    if (!next)
        return {};
    dequeueNext(fixture.state_, target, *next, fixture.now_);
    return next->account_.value_;
}

} // namespace

TEST_CASE("rate limit")
{
    AccountAdmission account;
    const AdmissionSettings settings;
    MonoTime now = start;

    SECTION("the burst passes, then a refused caller that obeys Retry-After is served")
    {
        for (int i = 0; i < 10; ++i)
            REQUIRE_FALSE(takeRate(account, settings, 10.0, now));
        const std::optional<Millis> retryAfter = takeRate(account, settings, 10.0, now);
        REQUIRE(retryAfter);
        CHECK(*retryAfter == Millis {100});
        now += *retryAfter;
        CHECK_FALSE(takeRate(account, settings, 10.0, now));
    }
    SECTION("callers that are refused together are told different times, and all of these hold")
    {
        for (int i = 0; i < 10; ++i)
            takeRate(account, settings, 10.0, now);
        std::vector<MonoTime> promised;
        promised.reserve(20);
        for (int i = 0; i < 20; ++i)
            promised.push_back(now + *takeRate(account, settings, 10.0, now));
        for (const MonoTime time : promised)
            CHECK_FALSE(takeRate(account, settings, 10.0, time));
    }
    SECTION("a rate of 0 means no limit")
    {
        for (int i = 0; i < 1000; ++i)
            CHECK_FALSE(takeRate(account, settings, 0.0, now));
    }
    SECTION("the long-run rate is the limit")
    {
        int served = 0;
        for (int i = 0; i < 10'000; ++i) {
            now += Millis {1};
            served += takeRate(account, settings, 10.0, now) ? 0 : 1;
        }
        CHECK(served >= 100);
        CHECK(served <= 111);
    }
}

TEST_CASE("queue of waiting requests")
{
    Fixture fixture;

    SECTION("the higher priority goes first")
    {
        wait(fixture, "low", 0);
        wait(fixture, "high", 5);
        CHECK(serve(fixture) == "high");
        CHECK(serve(fixture) == "low");
        CHECK(serve(fixture).empty());
    }
    SECTION("a low priority does not starve under a steady stream of a high one")
    {
        wait(fixture, "low", 0);
        const Millis bound = fixture.state_.settings_.ageingStep_ * 6;
        bool served = false;
        while (!served && fixture.now_ < start + Seconds {60}) {
            wait(fixture, "high", 5);
            fixture.now_ += Millis {100};
            served = serve(fixture) == "low";
        }
        CHECK(served);
        CHECK(fixture.now_ - start <= bound);
    }
    SECTION("accounts of one priority get equal shares whatever they ask for")
    {
        for (int i = 0; i < 300; ++i)
            wait(fixture, "greedy");
        for (int i = 0; i < 30; ++i)
            wait(fixture, "modest");
        std::map<std::string, int> counts;
        for (int i = 0; i < 60; ++i)
            ++counts[serve(fixture)];
        CHECK(counts["modest"] == 30);
    }
    SECTION("shares count tokens, not requests")
    {
        for (int i = 0; i < 100; ++i) {
            wait(fixture, "long", 0, 1000.0);
            wait(fixture, "short", 0, 100.0);
        }
        std::map<std::string, int> counts;
        for (int i = 0; i < 55; ++i)
            ++counts[serve(fixture)];
        CHECK(counts["long"] == 5);
    }
    SECTION("an account that was idle gets no credit for that")
    {
        for (int i = 0; i < 100; ++i)
            wait(fixture, "busy");
        for (int i = 0; i < 50; ++i)
            serve(fixture);
        for (int i = 0; i < 50; ++i)
            wait(fixture, "new");
        std::map<std::string, int> counts;
        for (int i = 0; i < 20; ++i)
            ++counts[serve(fixture)];
        CHECK(counts["busy"] >= 9);
    }
    SECTION("the wait is predicted from the drain rate, and not at all before it is known")
    {
        for (int i = 0; i < 100; ++i)
            wait(fixture, "a");
        const auto predicted = [&] {
            return predictedWait(fixture.state_.queues_[target], fixture.state_.settings_,
                                 AccountId {"a"}, 0, fixture.now_);
        };
        CHECK_FALSE(predicted());
        for (int i = 0; i < 50; ++i) {
            fixture.now_ += Millis {10};
            serve(fixture);
        }
        REQUIRE(predicted());
        CHECK(*predicted() >= Millis {505});
        CHECK(*predicted() <= Millis {515});
    }
    SECTION("a prediction alone does not refuse; a request that has waited confirms it")
    {
        wait(fixture, "a");
        const TargetQueue &queue = fixture.state_.queues_[target];
        const auto hopeless = [&](Millis predicted) {
            return willMissDeadline(queue, fixture.state_.settings_, predicted, Millis {100},
                                    Seconds {4}, fixture.now_);
        };
        CHECK_FALSE(hopeless(Seconds {8}));
        fixture.now_ += Seconds {1};
        CHECK(hopeless(Seconds {8}));
        CHECK_FALSE(hopeless(Millis {3900}));
    }
    SECTION("a removed request waits no longer and a removal twice is harmless")
    {
        const AdmissionId admission = wait(fixture, "a");
        removeWaiting(fixture.state_, target, AccountId {"a"}, admission, fixture.now_);
        removeWaiting(fixture.state_, target, AccountId {"a"}, admission, fixture.now_);
        CHECK(fixture.state_.deadlines_.empty());
        CHECK(fixture.state_.queues_[target].size_ == 0);
        CHECK(serve(fixture).empty());
    }
    SECTION("the deadline of a waiting request wakes the daemon")
    {
        const AdmissionId late = wait(fixture, "a", 0, 1.0, Seconds {1});
        wait(fixture, "a", 0, 1.0, Seconds {5});
        CHECK(nextAdmissionWake(fixture.state_) == fixture.now_ + Seconds {1});
        CHECK_FALSE(nextExpired(fixture.state_, fixture.now_));
        fixture.now_ += Seconds {1};
        CHECK(nextExpired(fixture.state_, fixture.now_) == late);
    }
}

namespace {

/// A daemon with one engine of one slot, whose budget needs no store.
struct Daemon
{
    ControlState state_;
    Now now_ {start, WallTime {Seconds {1000}}};
    std::map<WaiterId, Decision> decisions_;
    std::uint64_t last_ = 0;
};

Daemon makeDaemon()
{
    Daemon daemon;
    daemon.state_.settings_.holder_ = HolderId {"h"};
    auto bundle = std::make_shared<Bundle>();
    bundle->version_ = BundleVersion {1};
    ClientAccount client;
    client.id_ = AccountId {"a"};
    client.maxInFlight_ = 4;
    bundle->accounts_[client.id_] = client;
    const BudgetId budget {"b"};
    bundle->budgets_[budget] = Budget {budget, client.id_, Tokens {1'000'000}};
    Upstream upstream;
    upstream.id_ = UpstreamId {"u"};
    upstream.models_ = {ModelId {"m"}};
    bundle->upstreams_[upstream.id_] = upstream;
    daemon.state_.bundle_ = bundle;
    HeldGrant &grant = daemon.state_.grants_[budget];
    grant.id_ = GrantId {"g"};
    grant.authorized_ = Tokens {1'000'000};
    return daemon;
}

void send(Daemon &daemon, const Event &event)
{
    for (Command &command : handle(daemon.state_, event, daemon.now_)) {
        if (auto *reply = std::get_if<ReplyTo>(&command))
            daemon.decisions_.insert_or_assign(reply->waiter_, std::move(reply->decision_));
    }
    REQUIRE(checkInvariants(daemon.state_));
}

void reportOneSlot(Daemon &daemon)
{
    LoadReport report;
    report.upstream_ = UpstreamId {"u"};
    report.slots_ = 1;
    report.requestedAt_ = daemon.now_.mono_;
    send(daemon, LoadReportReceived {report});
}

WaiterId ask(Daemon &daemon)
{
    AdmissionRequested request;
    request.waiter_ = WaiterId {++daemon.last_};
    request.request_ = RequestId {"r" + std::to_string(daemon.last_)};
    request.account_ = AccountId {"a"};
    request.budget_ = BudgetId {"b"};
    request.model_ = ModelId {"m"};
    request.worstCase_ = Tokens {100};
    request.deadline_ = daemon.now_.mono_ + Seconds {10};
    send(daemon, request);
    return request.waiter_;
}

const Dispatch *dispatched(const Daemon &daemon, WaiterId waiter)
{
    const auto it = daemon.decisions_.find(waiter);
    return it == daemon.decisions_.end() ? nullptr : std::get_if<Dispatch>(&it->second);
}

const Refusal *refused(const Daemon &daemon, WaiterId waiter)
{
    const auto it = daemon.decisions_.find(waiter);
    return it == daemon.decisions_.end() ? nullptr : std::get_if<Refusal>(&it->second);
}

AttemptEnded ended(const Daemon &daemon, WaiterId waiter, AttemptResult result)
{
    AttemptEnded event;
    event.admission_ = dispatched(daemon, waiter)->admission_;
    event.attempt_ = dispatched(daemon, waiter)->attempt_;
    event.result_ = result;
    event.used_ = Tokens {10};
    return event;
}

} // namespace

TEST_CASE("admission in the control state")
{
    Daemon daemon = makeDaemon();
    reportOneSlot(daemon);
    daemon.now_.mono_ += Millis {10};
    const WaiterId first = ask(daemon);
    const WaiterId second = ask(daemon);
    // One slot and the permitted queue of a quarter of it hold two requests.
    REQUIRE(dispatched(daemon, first));
    REQUIRE(dispatched(daemon, second));
    const WaiterId third = ask(daemon);
    REQUIRE_FALSE(daemon.decisions_.contains(third));

    SECTION("a waiting request is dispatched when a slot becomes free")
    {
        daemon.now_.mono_ += Seconds {1};
        send(daemon, ended(daemon, first, AttemptResult::Complete));
        CHECK(dispatched(daemon, third));
    }
    SECTION("without a slot it is refused as not run at its deadline")
    {
        daemon.now_.mono_ += Seconds {10};
        send(daemon, Tick {});
        REQUIRE(refused(daemon, third));
        CHECK(refused(daemon, third)->execution_ == Execution::NotRun);
        CHECK(daemon.state_.admission_.deadlines_.empty());
    }
    SECTION("a caller that goes away leaves the queue")
    {
        send(daemon, AdmissionAbandoned {third});
        CHECK(daemon.state_.admission_.deadlines_.empty());
        CHECK(daemon.state_.admission_.accounts_.at(AccountId {"a"}).inFlight_ == 2);
    }
    SECTION("the account's concurrency limit counts waiting requests and is released")
    {
        ask(daemon);
        const WaiterId beyond = ask(daemon);
        REQUIRE(refused(daemon, beyond));
        CHECK(refused(daemon, beyond)->reason_ == RefusalReason::TooManyRequestsInFlight);
        REQUIRE(refused(daemon, beyond)->retryAfter_);
        send(daemon, AdmissionAbandoned {third});
        CHECK_FALSE(refused(daemon, ask(daemon)));
    }
    SECTION("a leaving engine refuses once and gets no more work")
    {
        AttemptEnded event = ended(daemon, first, AttemptResult::Rejected);
        event.upstreamLeaving_ = true;
        event.retryWaiter_ = WaiterId {++daemon.last_};
        send(daemon, event);
        REQUIRE(refused(daemon, *event.retryWaiter_));
        REQUIRE(refused(daemon, third));
        CHECK(refused(daemon, third)->reason_ == RefusalReason::NoUpstream);
    }
}

} // namespace tamarack
