// Prepaid balances. Guards against an overspent total over lost answers, conflicts, restarts and
// lowered totals, and against a store call for each request on an exhausted account.
#include "prepaidfixture.h"

#include <rapidcheck.h>

#include <deque>

namespace tamarack {

TEST_CASE("a request is covered after one read and one write")
{
    Cell cell;
    MonoTime now {Seconds {10}};
    const PrepaidSettings settings;
    Daemon daemon = makeDaemon("d1", configWith(1, 100'000), now);
    CHECK_FALSE(reserveTokens(daemon.state_, settings, acme, Tokens {500}, now).has_value());
    settle(daemon, cell, now);
    CHECK(cell.revision_ == Revision {1});
    const auto reservation = reserveTokens(daemon.state_, settings, acme, Tokens {500}, now);
    REQUIRE(reservation.has_value());
    settleTokens(daemon.state_, acme, *reservation, Tokens {200}, now);
    CHECK(reserveTokens(daemon.state_, settings, acme, Tokens {300}, now).has_value());
}

TEST_CASE("an exhausted total is told from one that others hold, without further calls")
{
    Cell cell;
    MonoTime now {Seconds {10}};
    const PrepaidSettings settings;
    Daemon first = makeDaemon("d1", configWith(1, 1000), now);
    Daemon second = makeDaemon("d2", configWith(1, 1000), now);
    reserveTokens(first.state_, settings, acme, Tokens {900}, now);
    settle(first, cell, now);
    REQUIRE(reserveTokens(first.state_, settings, acme, Tokens {900}, now).has_value());
    reserveTokens(second.state_, settings, acme, Tokens {400}, now);
    settle(second, cell, now);
    CHECK(judgeShortage(second.state_, settings, acme, Tokens {400}) == Shortage::HeldElsewhere);
    CHECK(judgeShortage(second.state_, settings, acme, Tokens {1100}) == Shortage::Exhausted);
    const std::uint64_t calls = second.state_.lastCall_;
    CHECK_FALSE(reserveTokens(second.state_, settings, acme, Tokens {400}, now).has_value());
    settle(second, cell, now);
    CHECK(second.state_.lastCall_ == calls);
    // The copy is too old to rely on later.
    now += settings.shortageLifetime_ + Millis {1};
    reserveTokens(second.state_, settings, acme, Tokens {400}, now);
    now += settings.scarceDelay_;
    settle(second, cell, now);
    CHECK(second.state_.lastCall_ > calls);
}

TEST_CASE("a large fleet calls a silent store no more often than a small one")
{
    const auto callsInTenSeconds = [](std::uint32_t daemons) {
        const PrepaidSettings settings;
        MonoTime now {Seconds {10}};
        Daemon daemon = makeDaemon("d1", configWith(1, 100'000), now);
        daemon.state_.daemons_ = daemons;
        reserveTokens(daemon.state_, settings, acme, Tokens {500}, now);
        for (int step = 0; step < 500; ++step) {
            for (const SubmitStoreCall &call : startPrepaidCalls(daemon.state_, settings, now))
                finishPrepaidCall(daemon.state_, settings,
                                  StoreReply {call.id_, StoreStatus::Unavailable, {}}, now);
            now += Millis {20};
        }
        return daemon.state_.lastCall_;
    };
    CHECK(callsInTenSeconds(8) >= 20);
    CHECK(callsInTenSeconds(80) <= 12);
}

TEST_CASE("a lowered total is reached as holders hand back")
{
    Cell cell;
    MonoTime now {Seconds {10}};
    const PrepaidSettings settings;
    Daemon daemon = makeDaemon("d1", configWith(1, 100'000), now);
    reserveTokens(daemon.state_, settings, acme, Tokens {500}, now);
    settle(daemon, cell, now);
    REQUIRE(reservableTokens(daemon.state_.balances_.at(acme).grant_) > Tokens {1000});
    fundAccounts(daemon.state_, settings, configWith(2, 1000), now);
    CHECK(reservableTokens(daemon.state_.balances_.at(acme).grant_) == Tokens {});
    settle(daemon, cell, now);
    const auto &record = std::get<LedgerShard>(*cell.value_).budgets_.at(BudgetId {acme.value_});
    CHECK(record.funded_ == Tokens {1000});
    CHECK(committedTokens(record) <= record.funded_);
}

TEST_CASE("no sequence of faults overspends a total")
{
    const bool held = rc::check(
        "daemons that draw, spend, lose answers and die never spend more than the total", [] {
            const PrepaidSettings settings;
            constexpr std::int64_t prepaid = 20'000;
            MonoTime now {Seconds {10}};
            Cell cell;
            std::vector<Daemon> daemons;
            daemons.reserve(3);
            std::deque<SubmitStoreCall> late;
            for (int i = 0; i < 3; ++i)
                daemons.push_back(makeDaemon("d" + std::to_string(i), configWith(1, prepaid), now));
            Tokens spent;
            const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                120, rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(1, 1500)));
            int run = 10;
            for (const auto &[action, amount] : steps) {
                Daemon &daemon = daemons[static_cast<std::size_t>(amount) % daemons.size()];
                now += Millis {amount % 400};
                reviewBalances(daemon.state_, settings, now);
                if (action < 6) {
                    const auto reservation
                        = reserveTokens(daemon.state_, settings, acme, Tokens {amount}, now);
                    if (reservation) {
                        const Tokens used {amount - amount % 7};
                        settleTokens(daemon.state_, acme, *reservation, used, now);
                        spent += used;
                    }
                    settle(daemon, cell, now);
                } else if (action < 8) {
                    // The answer is lost; the write takes effect now or later.
                    for (SubmitStoreCall &call : startPrepaidCalls(daemon.state_, settings, now)) {
                        if (action == 6)
                            carryOut(cell, call);
                        else
                            late.push_back(call);
                        finishPrepaidCall(daemon.state_, settings,
                                          StoreReply {call.id_, StoreStatus::Unknown, {}}, now);
                    }
                } else if (action == 8 && !late.empty()) {
                    carryOut(cell, late.front());
                    late.pop_front();
                } else {
                    daemon = makeDaemon("d" + std::to_string(++run), configWith(1, prepaid), now);
                }
                RC_ASSERT(spent <= Tokens {prepaid});
            }
        });
    CHECK(held);
}

} // namespace tamarack
