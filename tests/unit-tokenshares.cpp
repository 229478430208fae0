// Shares of tokens by urgency. Guards against large requests of a less urgent route that use up
// the tokens of an account while the ledger fails, and against refusals where all requests have
// the same urgency.
#include "loanfixture.h"

namespace tamarack {

namespace {

constexpr std::size_t daemonCount = 6;
constexpr int urgent = 0;
constexpr int lowUrgency = 2;

struct Served
{
    int asked_ = 0;
    int served_ = 0;
};

double shareOf(const Served &served)
{
    return static_cast<double>(served.served_) / std::max(served.asked_, 1);
}

/// One account's part of the load: requests of 9,200 and 900 tokens, 140 to 84.
struct Load
{
    Fleet fleet_ = makeFleet(daemonCount, 100'000'000);
    std::map<int, Served> served_;
    /// Urgency that the large requests have.
    int largeUrgency_ = lowUrgency;
    /// Steps of the run from one large request to the next: 5.8 requests a second.
    int largeInterval_ = 9;
    bool storeFails_ = false;
    int step_ = 0;
};

void request(Load &load, std::size_t index, std::int64_t amount, int urgency, int servedKey)
{
    Fleet &fleet = load.fleet_;
    PrepaidState &state = fleet.daemons_[index].state_;
    recordDemand(state.balances_[acme].shares_, urgency, Tokens {amount}, fleet.now_);
    std::optional<Reservation> reservation;
    for (int attempt = 0; attempt < 3 && !reservation; ++attempt) {
        reservation
            = reserveTokens(state, fleet.settings_, acme, Tokens {amount}, fleet.now_, urgency);
        deliverMessages(fleet);
    }
    ++load.served_[servedKey].asked_;
    if (!reservation)
        return;
    ++load.served_[servedKey].served_;
    settleTokens(state, acme, *reservation, Tokens {amount}, fleet.now_);
}

void run(Load &load, Millis duration)
{
    Fleet &fleet = load.fleet_;
    constexpr Millis step {20};
    for (const MonoTime end = fleet.now_ + duration; fleet.now_ < end; fleet.now_ += step) {
        ++load.step_;
        const std::size_t index = static_cast<std::size_t>(load.step_) * 7 % daemonCount;
        if (load.step_ % load.largeInterval_ == 0)
            request(load, index, 9200, load.largeUrgency_, lowUrgency);
        // 3.6 requests a second.
        if (load.step_ % 14 == 0)
            request(load, index, 900, urgent, urgent);
        for (Daemon &daemon : fleet.daemons_) {
            expireLoanRequests(daemon.state_, fleet.settings_, fleet.now_);
            reconcileBalances(daemon.state_, fleet.settings_, fleet.now_);
            for (const SubmitStoreCall &call :
                 startPrepaidCalls(daemon.state_, fleet.settings_, fleet.now_)) {
                const StoreReply reply = load.storeFails_
                    ? StoreReply {call.id_, StoreStatus::Unavailable, {}}
                    : applyStoreCall(fleet.storeKey_, call);
                finishPrepaidCall(daemon.state_, fleet.settings_, reply, fleet.now_);
            }
            serveBorrowers(daemon.state_, fleet.settings_, fleet.now_);
        }
        deliverMessages(fleet);
    }
}

/// Serves the load for a while, then an outage as long as a grant lasts at the usual rate, in which
/// the large requests are three times as frequent.
void runOutage(Load &load)
{
    run(load, Seconds {30});
    load.storeFails_ = true;
    load.served_.clear();
    load.largeInterval_ /= 3;
    run(load, load.fleet_.settings_.grantHorizon_);
}

} // namespace

TEST_CASE("what more urgent requests are expected to use")
{
    TokenShares shares;
    MonoTime now {Seconds {5}};
    CHECK(expectedUrgentUse(shares, lowUrgency, 1000.0, Seconds {8}, now) == Tokens {});
    for (int i = 0; i < 1000; ++i) {
        now += Millis {100};
        recordDemand(shares, lowUrgency, Tokens {900}, now);
    }
    CHECK_FALSE(hasSeveralUrgencies(shares));
    CHECK(expectedUrgentUse(shares, lowUrgency, 1000.0, Seconds {8}, now) == Tokens {});
    for (int i = 0; i < 1000; ++i) {
        now += Millis {100};
        recordDemand(shares, urgent, Tokens {100}, now);
        recordDemand(shares, lowUrgency, Tokens {900}, now);
    }
    CHECK(hasSeveralUrgencies(shares));
    CHECK(expectedUrgentUse(shares, urgent, 1000.0, Seconds {8}, now) == Tokens {});
    // 1,000 tokens a second.
    const Tokens expected = expectedUrgentUse(shares, lowUrgency, 0.0, Seconds {8}, now);
    CHECK(expected > Tokens {7600});
    CHECK(expected < Tokens {8400});
    // A tenth of what this daemon lends in addition to its own use.
    CHECK(expectedUrgentUse(shares, lowUrgency, 50'000.0, Seconds {8}, now) > Tokens {36'000});
    CHECK(expectedUrgentUse(shares, lowUrgency, 0.0, Seconds {8}, now + Seconds {200})
          < Tokens {2});
}

TEST_CASE("during an outage, urgent requests are served until it ends")
{
    Load load;
    runOutage(load);
    CHECK(shareOf(load.served_[urgent]) >= 0.9);
    CHECK(shareOf(load.served_[lowUrgency]) < shareOf(load.served_[urgent]));
    CHECK(isValid(load.fleet_));
    SECTION("afterwards all requests are served")
    {
        load.storeFails_ = false;
        load.largeInterval_ *= 3;
        run(load, Seconds {5});
        load.served_.clear();
        run(load, Seconds {10});
        CHECK(load.served_[urgent].served_ == load.served_[urgent].asked_);
        CHECK(load.served_[lowUrgency].served_ == load.served_[lowUrgency].asked_);
    }
}

TEST_CASE("requests of a single urgency are served as long as tokens last")
{
    Load load;
    load.largeUrgency_ = urgent;
    runOutage(load);
    for (const Daemon &daemon : load.fleet_.daemons_)
        CHECK_FALSE(
            findUrgentShare(daemon.state_, load.fleet_.settings_, acme, urgent, load.fleet_.now_));
    CHECK(shareOf(load.served_[urgent]) < 0.9);
}

} // namespace tamarack
