// Entry and home daemons under faults. Guards against overspend, a second bill, false refusals and
// tokens that stay reserved when messages are lost, doubled or reordered or a daemon dies.
#include "core/controlparts.h"
#include "homefixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace tamarack {

using namespace homefleet;

namespace {

constexpr std::int64_t funded = 1000;

template <typename Message>
bool carries(const Transit &transit)
{
    return std::holds_alternative<Message>(transit.message_);
}

/// Loses the first @a count messages of a kind.
template <typename Message>
Rule loseFirst(std::size_t count)
{
    return [count](const Transit &transit) mutable {
        if (!carries<Message>(transit) || count == 0)
            return std::size_t {1};
        --count;
        return std::size_t {0};
    };
}

/// Every second message of the asks and settlements is lost, the others come twice.
Rule loseAndDouble()
{
    return [turn = 0](const Transit &) mutable {
        return ++turn % 2 == 0 ? std::size_t {0} : std::size_t {2};
    };
}

Tokens reservedAnywhere(const Fleet &fleet)
{
    Tokens reserved;
    for (const auto &[host, daemon] : fleet.daemons_) {
        for (const auto &[id, grant] : daemon.state_.grants_)
            reserved += daemon.running_ ? grant.reserved_ : Tokens {};
    }
    return reserved;
}

struct FaultCase
{
    const char *name_;
    Rule rule_;
    bool reorder_ = false;
};

std::vector<FaultCase> faultCases()
{
    return {
        {"nothing is lost", nullptr},
        {"a Reserve is lost", loseFirst<Reserve>(1)},
        {"every Reserve is lost", loseFirst<Reserve>(1000)},
        {"a Reserved is lost", loseFirst<Reserved>(1)},
        {"every Reserved is lost for a while", loseFirst<Reserved>(20)},
        {"a Settle is lost", loseFirst<Settle>(3)},
        {"a SettleAck is lost", loseFirst<SettleAck>(3)},
        {"every message is doubled",
         [](const Transit &) {
             return std::size_t {2};
         }},
        {"messages are lost and doubled", loseAndDouble()},
        {"messages are reordered", nullptr, true},
        {"messages are doubled and reordered", [](const Transit &) { return std::size_t {3}; },
         true},
    };
}

} // namespace

TEST_CASE("home daemons: message faults")
{
    for (const FaultCase &fault : faultCases()) {
        INFO(fault.name_);
        Fleet fleet = makeFleet(3, funded);
        fleet.rule_ = fault.rule_;
        fleet.reorder_ = fault.reorder_;
        const HostId entry = otherThan(fleet, homeHost(fleet, HostId {"h1"}));
        constexpr std::size_t requests = 5;
        std::vector<WaiterId> waiters;
        waiters.reserve(requests);
        for (std::size_t i = 0; i < requests; ++i)
            waiters.push_back(admit(fleet, entry, 100, "r" + std::to_string(i)));
        run(fleet, Seconds {2});
        for (const WaiterId waiter : waiters) {
            REQUIRE(dispatched(fleet, entry, waiter));
            finish(fleet, entry, waiter, 40);
        }
        run(fleet, Seconds {100});
        const BudgetRecord record = budgetRecord(fleet);
        CHECK(record.charged_ == Tokens {200});
        CHECK(reservedAnywhere(fleet) == Tokens {});
        for (const auto &[host, daemon] : fleet.daemons_) {
            CHECK(daemon.state_.active_.empty());
            CHECK(daemon.state_.home_.settlements_.empty());
        }
        CHECK(fleet.dispatched_ <= Tokens {funded});
    }
}

TEST_CASE("home daemons")
{
    Fleet fleet = makeFleet(3, funded);
    const HostId home = homeHost(fleet, HostId {"h1"});
    const HostId entry = otherThan(fleet, home);

    SECTION("one holder of the zone draws")
    {
        std::vector<std::pair<HostId, WaiterId>> asked;
        for (const auto &[host, daemon] : fleet.daemons_)
            asked.emplace_back(host, admit(fleet, host, 50, "r" + host.value_));
        run(fleet, Millis {100});
        for (const auto &[host, waiter] : asked)
            CHECK(dispatched(fleet, host, waiter));
        CHECK(budgetRecord(fleet).grants_.size() == 1);
    }
    SECTION("a request that can't be paid is refused truthfully by the home")
    {
        const WaiterId waiter = admit(fleet, entry, funded + 1, "r1");
        run(fleet, Millis {200});
        REQUIRE(refused(fleet, entry, waiter));
        CHECK(refused(fleet, entry, waiter)->reason_ == RefusalReason::BudgetExhausted);
        CHECK(refused(fleet, entry, waiter)->execution_ == Execution::NotRun);
    }
    SECTION("local and remote requests wait in one order")
    {
        const WaiterId holding = admit(fleet, home, 900, "r1");
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, home, holding));
        const WaiterId remote = admit(fleet, entry, 900, "r2");
        run(fleet, Millis {10});
        const WaiterId local = admit(fleet, home, 900, "r3");
        run(fleet, Seconds {1});
        CHECK_FALSE(fleet.daemons_.at(entry).decisions_.contains(remote));
        finish(fleet, home, holding, 0);
        run(fleet, Seconds {3});
        CHECK(dispatched(fleet, entry, remote));
        CHECK_FALSE(dispatched(fleet, home, local));
        CHECK(fleet.dispatched_ == Tokens {1800});
    }
    SECTION("a request that waits longer than its deadline is refused as not run")
    {
        const WaiterId holding = admit(fleet, home, 900, "r1");
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, home, holding));
        const WaiterId waiter = admit(fleet, entry, 900, "r2", Seconds {2});
        run(fleet, Seconds {3});
        REQUIRE(refused(fleet, entry, waiter));
        CHECK(refused(fleet, entry, waiter)->reason_ == RefusalReason::BudgetHeldElsewhere);
        CHECK(refused(fleet, entry, waiter)->execution_ == Execution::NotRun);
    }
    SECTION("the home dies before it answers: the entry daemon continues alone")
    {
        fleet.daemons_.at(home).running_ = false;
        const WaiterId waiter = admit(fleet, entry, 100, "r1");
        run(fleet, Seconds {1});
        REQUIRE(dispatched(fleet, entry, waiter));
        CHECK(hasLogged(fleet, "home.bypassed"));
        kill(fleet, home);
        finish(fleet, entry, waiter, 30);
        run(fleet, Seconds {60});
        CHECK(budgetRecord(fleet).charged_ == Tokens {30});
        CHECK(fleet.daemons_.at(entry).state_.active_.empty());
    }
    SECTION("the home dies with a reservation: the settlement is dropped after the verdict")
    {
        const WaiterId waiter = admit(fleet, entry, 100, "r1");
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, entry, waiter));
        kill(fleet, home);
        finish(fleet, entry, waiter, 30);
        run(fleet, Seconds {5});
        CHECK(hasOpenSettlements(fleet.daemons_.at(entry).state_.home_));
        run(fleet, Seconds {60});
        CHECK(hasLogged(fleet, "settlement.no_taker"));
        CHECK_FALSE(hasOpenSettlements(fleet.daemons_.at(entry).state_.home_));
        const RequestRecord bill = requestRecord(fleet, "r1");
        CHECK(bill.phase_ == RequestPhase::Billed);
        CHECK(bill.charged_ == Tokens {30});
        CHECK_FALSE(bill.estimated_);
    }
    SECTION("the entry daemon dies: the home bills the worst case once, as estimated")
    {
        const WaiterId waiter = admit(fleet, entry, 100, "r1");
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, entry, waiter));
        kill(fleet, entry);
        run(fleet, Seconds {5});
        CHECK(requestRecord(fleet, "r1").phase_ != RequestPhase::Billed);
        run(fleet, Seconds {60});
        CHECK(requestRecord(fleet, "r1").charged_ == Tokens {100});
        CHECK(requestRecord(fleet, "r1").estimated_);
        CHECK(budgetRecord(fleet).charged_ == Tokens {100});
        CHECK(reservedAnywhere(fleet) == Tokens {});
    }
    SECTION("the entry daemon dies after its bill is committed: the home charges that bill")
    {
        fleet.rule_ = loseFirst<Settle>(1000);
        const WaiterId waiter = admit(fleet, entry, 100, "r1");
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, entry, waiter));
        finish(fleet, entry, waiter, 30);
        run(fleet, Seconds {3});
        REQUIRE(requestRecord(fleet, "r1").phase_ == RequestPhase::Billed);
        kill(fleet, entry);
        run(fleet, Seconds {60});
        CHECK(budgetRecord(fleet).charged_ == Tokens {30});
        CHECK_FALSE(requestRecord(fleet, "r1").estimated_);
    }
    SECTION("a wrong verdict on the entry daemon: the first bill wins and both sides agree")
    {
        const WaiterId waiter = admit(fleet, entry, 100, "r1");
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, entry, waiter));
        for (const auto &[host, daemon] : fleet.daemons_) {
            if (host != entry)
                fleet.cuts_.insert({entry, host});
        }
        std::vector<HostId> others;
        for (const auto &[host, daemon] : fleet.daemons_) {
            if (host != entry)
                others.push_back(host);
        }
        announce(fleet, others);
        run(fleet, Seconds {60});
        REQUIRE(requestRecord(fleet, "r1").estimated_);
        fleet.cuts_.clear();
        announce(fleet, {HostId {"h1"}, HostId {"h2"}, HostId {"h3"}});
        finish(fleet, entry, waiter, 30);
        run(fleet, Seconds {60});
        CHECK(requestRecord(fleet, "r1").charged_ == Tokens {100});
        CHECK(budgetRecord(fleet).charged_ == Tokens {100});
        CHECK(fleet.daemons_.at(entry).state_.active_.empty());
    }
    SECTION("two daemons that both believe to be home spend within the budget")
    {
        fleet.cuts_.insert({home, entry});
        std::vector<std::pair<HostId, WaiterId>> asked;
        for (int i = 0; i < 10; ++i) {
            const HostId &at = i % 2 == 0 ? home : entry;
            asked.emplace_back(at, admit(fleet, at, 150, "r" + std::to_string(i), Seconds {3}));
        }
        run(fleet, Seconds {2});
        CHECK(budgetRecord(fleet).grants_.size() == 2);
        std::int64_t served = 0;
        for (const auto &[host, waiter] : asked) {
            if (dispatched(fleet, host, waiter)) {
                finish(fleet, host, waiter, 150);
                ++served;
            }
        }
        run(fleet, Seconds {30});
        for (const auto &[host, waiter] : asked)
            CHECK((dispatched(fleet, host, waiter) || refused(fleet, host, waiter)));
        CHECK(served * 150 <= funded);
        CHECK(fleet.dispatched_ <= Tokens {funded});
        CHECK(budgetRecord(fleet).charged_ == fleet.dispatched_);
    }
    SECTION("a partition that heals gives back what both sides reserved for one request")
    {
        fleet.rule_ = loseFirst<Reserved>(8);
        const WaiterId waiter = admit(fleet, entry, 100, "r1");
        run(fleet, Millis {250});
        fleet.cuts_.insert({home, entry});
        run(fleet, Seconds {5});
        REQUIRE(dispatched(fleet, entry, waiter));
        CHECK(reservedAnywhere(fleet) == Tokens {200});
        fleet.cuts_.clear();
        finish(fleet, entry, waiter, 30);
        run(fleet, Seconds {30});
        CHECK(reservedAnywhere(fleet) == Tokens {});
        CHECK(budgetRecord(fleet).charged_ == Tokens {30});
    }
    SECTION("a bill that the entry daemon pays itself is not charged to the home as well")
    {
        fleet.rule_ = loseFirst<Reserved>(8);
        const WaiterId waiter = admit(fleet, entry, 100, "r1");
        run(fleet, Millis {250});
        fleet.cuts_.insert({home, entry});
        run(fleet, Seconds {5});
        REQUIRE(dispatched(fleet, entry, waiter));
        finish(fleet, entry, waiter, 30);
        run(fleet, Seconds {5});
        kill(fleet, entry);
        run(fleet, Seconds {60});
        CHECK(requestRecord(fleet, "r1").charged_ == Tokens {30});
        CHECK(budgetRecord(fleet).charged_ == Tokens {30});
        CHECK(reservedAnywhere(fleet) == Tokens {});
    }
    SECTION("a Reserve that arrives after its Settle reserves nothing")
    {
        const HolderId asked {home.value_ + "-1"};
        Reserve late;
        late.admission_ = AdmissionId {entry.value_ + "-1.000000000099"};
        late.entry_ = HolderId {entry.value_ + "-1"};
        late.home_ = asked;
        late.account_ = account;
        late.budget_ = budget;
        late.worstCase_ = Tokens {100};
        late.remaining_ = Seconds {10};
        fleet.bus_.push_back(
            Transit {entry, home, Settle {late.admission_, late.entry_, asked, Tokens {}}});
        fleet.bus_.push_back(Transit {entry, home, late});
        run(fleet, Millis {100});
        CHECK_FALSE(hasLogged(fleet, "home.reserved"));
    }
    SECTION("the home leaves by a planned stop: reservations are settled first")
    {
        const WaiterId waiter = admit(fleet, entry, 100, "r1");
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, entry, waiter));
        stop(fleet, home);
        run(fleet, Seconds {2});
        CHECK_FALSE(fleet.daemons_.at(home).stopped_);
        const WaiterId next = admit(fleet, entry, 100, "r2");
        run(fleet, Seconds {1});
        CHECK(dispatched(fleet, entry, next));
        CHECK(homeHost(fleet, entry) != home);
        finish(fleet, entry, waiter, 30);
        finish(fleet, entry, next, 20);
        run(fleet, Seconds {10});
        CHECK(fleet.daemons_.at(home).stopped_);
        CHECK(budgetRecord(fleet).charged_ == Tokens {50});
    }
    SECTION("a daemon that hears of a newer bundle asks for it")
    {
        ControlState &state = fleet.daemons_.at(entry).state_;
        Heartbeat heartbeat;
        heartbeat.holder_ = HolderId {home.value_ + "-1"};
        heartbeat.zone_ = zone;
        const auto asksForBundle = [&](std::uint64_t version) {
            heartbeat.bundle_ = BundleVersion {version};
            const Commands commands
                = handle(state, PeerMessageReceived {home, heartbeat}, fleet.now_);
            return std::any_of(commands.begin(), commands.end(), [](const Command &command) {
                return std::holds_alternative<RefreshBundle>(command);
            });
        };
        CHECK_FALSE(asksForBundle(1));
        CHECK(asksForBundle(2));
    }
    SECTION("an ask to release tokens reaches its holder and no later run of its host")
    {
        ControlState &state = fleet.daemons_.at(entry).state_;
        Commands out {RequestRelease {HolderId {home.value_ + "-1"}, budget},
                      RequestRelease {HolderId {"unknown-1"}, budget}};
        detail::routeReleases(state, out);
        REQUIRE(out.size() == 1);
        const auto &sent = std::get<SendPeer>(out.at(0));
        CHECK(sent.host_ == home);
        CHECK(std::get<ReleaseRequest>(sent.message_).holder_ == HolderId {home.value_ + "-1"});
    }
    SECTION("a home with an older bundle does not refuse for a daemon with a newer one")
    {
        const WaiterId first = admit(fleet, entry, 900, "r1");
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, entry, first));
        ControlState &state = fleet.daemons_.at(entry).state_;
        auto newer = std::make_shared<Bundle>(*state.bundle_);
        newer->version_ = BundleVersion {2};
        newer->budgets_[budget].funded_ = Tokens {5000};
        state.bundle_ = newer;
        const WaiterId waiter = admit(fleet, entry, 3000, "r2");
        run(fleet, Seconds {2});
        CHECK(dispatched(fleet, entry, waiter));
    }
}

} // namespace tamarack
