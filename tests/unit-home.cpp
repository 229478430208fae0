// Entry and home daemons under faults. Guards against overspend, duplicate bills, false refusals
// and leaked reservations when messages are lost, duplicated or reordered or a daemon dies.
#include "core/controlinternal.h"
#include "homefixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace tamarack {

using namespace homefixture;

namespace {

constexpr std::int64_t funded = 1000;

template <typename Message>
bool isMessage(const InFlightMessage &transit)
{
    return std::holds_alternative<Message>(transit.message_);
}

/// Drops the first @a count messages of one type.
template <typename Message>
DeliveryRule loseFirst(std::size_t count)
{
    return [count](const InFlightMessage &transit) mutable {
        if (!isMessage<Message>(transit) || count == 0)
            return std::size_t {1};
        --count;
        return std::size_t {0};
    };
}

/// Drops every second message and duplicates the others.
DeliveryRule loseAndDuplicate()
{
    return [turn = 0](const InFlightMessage &) mutable {
        return ++turn % 2 == 0 ? std::size_t {0} : std::size_t {2};
    };
}

Tokens totalReserved(const Fleet &fleet)
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
    DeliveryRule rule_;
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
        {"every message is duplicated",
         [](const InFlightMessage &) {
             return std::size_t {2};
         }},
        {"messages are lost and duplicated", loseAndDuplicate()},
        {"messages are reordered", nullptr, true},
        {"messages are duplicated and reordered",
         [](const InFlightMessage &) { return std::size_t {3}; }, true},
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
        CHECK(totalReserved(fleet) == Tokens {});
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
        std::vector<std::pair<HostId, WaiterId>> submitted;
        for (const auto &[host, daemon] : fleet.daemons_)
            submitted.emplace_back(host, admit(fleet, host, 50, "r" + host.value_));
        run(fleet, Millis {100});
        for (const auto &[host, waiter] : submitted)
            CHECK(dispatched(fleet, host, waiter));
        CHECK(budgetRecord(fleet).grants_.size() == 1);
    }
    SECTION("the home refuses a request above the remaining budget as exhausted")
    {
        const WaiterId waiter = admit(fleet, entry, funded + 1, "r1");
        run(fleet, Millis {200});
        REQUIRE(refused(fleet, entry, waiter));
        CHECK(refused(fleet, entry, waiter)->reason_ == RefusalReason::BudgetExhausted);
        CHECK(refused(fleet, entry, waiter)->execution_ == Execution::NotRun);
    }
    SECTION("local and remote requests are served in one order of arrival")
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
    SECTION("the home dies before it responds: the entry daemon reserves by itself")
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
    SECTION("the home dies with a reservation: the settlement is dropped once the home is declared "
            "dead")
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
        CHECK(totalReserved(fleet) == Tokens {});
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
    SECTION("an entry daemon wrongly declared dead: the first bill wins and both sides agree")
    {
        const WaiterId waiter = admit(fleet, entry, 100, "r1");
        run(fleet, Millis {100});
        REQUIRE(dispatched(fleet, entry, waiter));
        for (const auto &[host, daemon] : fleet.daemons_) {
            if (host != entry)
                fleet.partitions_.insert({entry, host});
        }
        std::vector<HostId> others;
        for (const auto &[host, daemon] : fleet.daemons_) {
            if (host != entry)
                others.push_back(host);
        }
        publishRegistrations(fleet, others);
        run(fleet, Seconds {60});
        REQUIRE(requestRecord(fleet, "r1").estimated_);
        fleet.partitions_.clear();
        publishRegistrations(fleet, {HostId {"h1"}, HostId {"h2"}, HostId {"h3"}});
        finish(fleet, entry, waiter, 30);
        run(fleet, Seconds {60});
        CHECK(requestRecord(fleet, "r1").charged_ == Tokens {100});
        CHECK(budgetRecord(fleet).charged_ == Tokens {100});
        CHECK(fleet.daemons_.at(entry).state_.active_.empty());
    }
    SECTION("two daemons that both act as home stay within the budget")
    {
        fleet.partitions_.insert({home, entry});
        std::vector<std::pair<HostId, WaiterId>> submitted;
        for (int i = 0; i < 10; ++i) {
            const HostId &at = i % 2 == 0 ? home : entry;
            submitted.emplace_back(at, admit(fleet, at, 150, "r" + std::to_string(i), Seconds {3}));
        }
        run(fleet, Seconds {2});
        CHECK(budgetRecord(fleet).grants_.size() == 2);
        std::int64_t served = 0;
        for (const auto &[host, waiter] : submitted) {
            if (dispatched(fleet, host, waiter)) {
                finish(fleet, host, waiter, 150);
                ++served;
            }
        }
        run(fleet, Seconds {30});
        for (const auto &[host, waiter] : submitted)
            CHECK((dispatched(fleet, host, waiter) || refused(fleet, host, waiter)));
        CHECK(served * 150 <= funded);
        CHECK(fleet.dispatched_ <= Tokens {funded});
        CHECK(budgetRecord(fleet).charged_ == fleet.dispatched_);
    }
    SECTION("after a partition heals, both reservations of one request are returned")
    {
        fleet.rule_ = loseFirst<Reserved>(8);
        const WaiterId waiter = admit(fleet, entry, 100, "r1");
        run(fleet, Millis {250});
        fleet.partitions_.insert({home, entry});
        run(fleet, Seconds {5});
        REQUIRE(dispatched(fleet, entry, waiter));
        CHECK(totalReserved(fleet) == Tokens {200});
        fleet.partitions_.clear();
        finish(fleet, entry, waiter, 30);
        run(fleet, Seconds {30});
        CHECK(totalReserved(fleet) == Tokens {});
        CHECK(budgetRecord(fleet).charged_ == Tokens {30});
    }
    SECTION("a bill that the entry daemon pays itself is not charged to the home as well")
    {
        fleet.rule_ = loseFirst<Reserved>(8);
        const WaiterId waiter = admit(fleet, entry, 100, "r1");
        run(fleet, Millis {250});
        fleet.partitions_.insert({home, entry});
        run(fleet, Seconds {5});
        REQUIRE(dispatched(fleet, entry, waiter));
        finish(fleet, entry, waiter, 30);
        run(fleet, Seconds {5});
        kill(fleet, entry);
        run(fleet, Seconds {60});
        CHECK(requestRecord(fleet, "r1").charged_ == Tokens {30});
        CHECK(budgetRecord(fleet).charged_ == Tokens {30});
        CHECK(totalReserved(fleet) == Tokens {});
    }
    SECTION("a Reserve that arrives after its Settle reserves nothing")
    {
        const HolderId homeHolder {home.value_ + "-1"};
        Reserve late;
        late.admission_ = AdmissionId {entry.value_ + "-1.000000000099"};
        late.entry_ = HolderId {entry.value_ + "-1"};
        late.home_ = homeHolder;
        late.account_ = account;
        late.budget_ = budget;
        late.worstCase_ = Tokens {100};
        late.remaining_ = Seconds {10};
        fleet.bus_.push_back(InFlightMessage {
            entry, home, Settle {late.admission_, late.entry_, homeHolder, Tokens {}}});
        fleet.bus_.push_back(InFlightMessage {entry, home, late});
        run(fleet, Millis {100});
        CHECK_FALSE(hasLogged(fleet, "home.reserved"));
    }
    SECTION("the home daemon shuts down gracefully: reservations are settled first")
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
    SECTION("a daemon requests a newer bundle that a heartbeat announces")
    {
        ControlState &state = fleet.daemons_.at(entry).state_;
        Heartbeat heartbeat;
        heartbeat.holder_ = HolderId {home.value_ + "-1"};
        heartbeat.zone_ = zone;
        const auto requestsBundle = [&](std::uint64_t version) {
            heartbeat.bundle_ = BundleVersion {version};
            const Commands commands
                = handle(state, PeerMessageReceived {home, heartbeat}, fleet.now_);
            return std::any_of(commands.begin(), commands.end(), [](const Command &command) {
                return std::holds_alternative<RefreshBundle>(command);
            });
        };
        CHECK_FALSE(requestsBundle(1));
        CHECK(requestsBundle(2));
    }
    SECTION("a release request is sent to its holder and not to a later run of its host")
    {
        ControlState &state = fleet.daemons_.at(entry).state_;
        Commands out {RequestRelease {HolderId {home.value_ + "-1"}, budget},
                      RequestRelease {HolderId {"unknown-1"}, budget}};
        detail::sendReleaseRequests(state, out);
        REQUIRE(out.size() == 1);
        const auto &sent = std::get<SendPeer>(out.at(0));
        CHECK(sent.host_ == home);
        CHECK(std::get<ReleaseRequest>(sent.message_).holder_ == HolderId {home.value_ + "-1"});
    }
    SECTION("a refusal by a home with an older bundle does not bind a daemon with a newer one")
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
