// Handover of a stopping lender's tokens. Guards against tokens that a zone loses when its lender
// is stopped while the ledger fails, and against tokens that are spent twice when the messages are
// lost, duplicated or late.
#include "loanfixture.h"

namespace tamarack {

namespace {

constexpr std::int64_t prepaidTotal = 1'000'000;
constexpr std::size_t daemonCount = 5;

/// A fleet whose borrowers have borrowed; the ledger calls of the lender fail.
struct StoppingFleet
{
    Fleet fleet_ = makeFleet(daemonCount, prepaidTotal);
    std::size_t lender_ = 0;
    std::vector<std::size_t> borrowers_;
    Tokens spent_;
};

void spendAll(StoppingFleet &test, std::size_t index)
{
    while (const auto reservation = reserve(test.fleet_, index, 400)) {
        settleTokens(test.fleet_.daemons_[index].state_, acme, *reservation, reservation->amount_,
                     test.fleet_.now_);
        test.spent_ += reservation->amount_;
    }
}

void failLedgerCall(StoppingFleet &test)
{
    Fleet &fleet = test.fleet_;
    PrepaidState &state = fleet.daemons_[test.lender_].state_;
    scheduleCall(state.shards_.begin()->second, fleet.now_);
    for (const SubmitStoreCall &call : startPrepaidCalls(state, fleet.settings_, fleet.now_))
        finishPrepaidCall(state, fleet.settings_,
                          StoreReply {call.id_, StoreStatus::Unavailable, {}}, fleet.now_);
}

StoppingFleet makeStoppingFleet()
{
    StoppingFleet test;
    Fleet &fleet = test.fleet_;
    test.lender_ = lenderIndex(fleet);
    for (std::size_t i = 0; i < daemonCount; ++i) {
        if (i != test.lender_)
            test.borrowers_.push_back(i);
    }
    // The second borrower uses three times as much as the first, the others use nothing.
    for (int round = 0; round < 100; ++round) {
        fleet.now_ += Millis {100};
        for (const std::size_t index : {test.borrowers_[0], test.borrowers_[1]}) {
            PrepaidState &state = fleet.daemons_[index].state_;
            const std::int64_t amount = index == test.borrowers_[0] ? 100 : 300;
            std::optional<Reservation> reservation = reserve(fleet, index, amount);
            if (!reservation) {
                runCallsAndMessages(fleet);
                reservation = reserve(fleet, index, amount);
            }
            if (reservation) {
                settleTokens(state, acme, *reservation, reservation->amount_, fleet.now_);
                test.spent_ += reservation->amount_;
            }
            reconcileBalances(state, fleet.settings_, fleet.now_);
        }
        reconcileBalances(fleet.daemons_[test.lender_].state_, fleet.settings_, fleet.now_);
        runCallsAndMessages(fleet);
    }
    fleet.now_ += fleet.settings_.drawDelay_;
    runCallsAndMessages(fleet);
    failLedgerCall(test);
    return test;
}

Tokens heldBy(const StoppingFleet &test, std::size_t index)
{
    Tokens held = reservableTokens(balanceOf(test.fleet_, index).grant_);
    for (const auto &[lenderId, loan] : balanceOf(test.fleet_, index).receivedLoans_)
        held += reservableTokens(loan.grant_);
    return held;
}

void stop(StoppingFleet &test)
{
    stopLending(test.fleet_.daemons_[test.lender_].state_, test.fleet_.settings_, test.fleet_.now_);
}

} // namespace

TEST_CASE("tokens are divided in proportion to recent borrowing")
{
    const HolderId a {"a"};
    const HolderId b {"b"};
    const HolderId c {"c"};
    const auto parts = divideTokens({{a, 10.0}, {b, 30.0}, {c, 60.0}}, Tokens {1001}, Tokens {50});
    CHECK(parts.at(a) == Tokens {100});
    CHECK(parts.at(b) == Tokens {300});
    CHECK(parts.at(c) == Tokens {600});
    // A part that covers no request would be of no use.
    const auto large = divideTokens({{a, 10.0}, {b, 30.0}, {c, 60.0}}, Tokens {900}, Tokens {200});
    CHECK_FALSE(large.contains(a));
    CHECK(large.at(b) == Tokens {300});
    CHECK(large.at(c) == Tokens {600});
    const auto one = divideTokens({{a, 10.0}, {b, 30.0}}, Tokens {90}, Tokens {200});
    CHECK(one == std::map<HolderId, Tokens> {{b, Tokens {90}}});
    CHECK(divideTokens({}, Tokens {90}, Tokens {}).empty());
    CHECK(divideTokens({{a, 1.0}}, Tokens {}, Tokens {}).empty());
}

TEST_CASE("a lender that is stopped while the ledger fails hands its tokens over")
{
    StoppingFleet test = makeStoppingFleet();
    Fleet &fleet = test.fleet_;
    const Tokens before = reservableTokens(balanceOf(fleet, test.lender_).grant_);
    REQUIRE(before > Tokens {1000});
    const Tokens small = heldBy(test, test.borrowers_[0]);
    const Tokens large = heldBy(test, test.borrowers_[1]);
    stop(test);
    SECTION("in proportion to what each has borrowed")
    {
        deliverMessages(fleet);
        const Tokens toSmall = heldBy(test, test.borrowers_[0]) - small;
        const Tokens toLarge = heldBy(test, test.borrowers_[1]) - large;
        CHECK(toSmall + toLarge >= before - Tokens {2});
        CHECK(toLarge > toSmall + toSmall);
        CHECK(heldBy(test, test.borrowers_[2]) == Tokens {});
    }
    SECTION("and they are kept until they are used")
    {
        deliverMessages(fleet);
        const Tokens held = heldBy(test, test.borrowers_[1]);
        fleet.now_ += Seconds {10};
        reconcileBalances(fleet.daemons_[test.borrowers_[1]].state_, fleet.settings_, fleet.now_);
        CHECK(heldBy(test, test.borrowers_[1]) == held);
    }
    SECTION("once, if the messages are duplicated")
    {
        collect(fleet);
        const std::deque<Message> messages = fleet.messages_;
        deliverMessages(fleet);
        const Tokens held = heldBy(test, test.borrowers_[1]);
        for (const Message &message : messages)
            deliver(fleet, message);
        CHECK(heldBy(test, test.borrowers_[1]) == held);
    }
    SECTION("and again at the end, if the messages were lost")
    {
        fleet.daemons_[test.lender_].state_.outbox_.clear();
        releaseGrants(fleet.daemons_[test.lender_].state_, fleet.settings_, fleet.now_);
        deliverMessages(fleet);
        CHECK(heldBy(test, test.borrowers_[0]) + heldBy(test, test.borrowers_[1]) - small - large
              >= before - Tokens {2});
    }
    SECTION("and the ledger charges them if it responds before the end")
    {
        deliverMessages(fleet);
        PrepaidState &lender = fleet.daemons_[test.lender_].state_;
        releaseGrants(lender, fleet.settings_, fleet.now_);
        fleet.now_ += Seconds {2};
        runCallsAndMessages(fleet);
        CHECK(isPrepaidIdle(lender));
        CHECK(reservableTokens(balanceOf(fleet, test.lender_).grant_) == Tokens {});
    }
    CHECK(isValid(fleet));
    // The lender ends. What the others can get, from loans and from the ledger, is not more than
    // the total.
    fleet.daemons_[test.lender_].state_.outbox_.clear();
    for (int round = 0; round < 300; ++round) {
        fleet.now_ += Millis {200};
        for (const std::size_t index : test.borrowers_) {
            spendAll(test, index);
            PrepaidState &state = fleet.daemons_[index].state_;
            expireLoanRequests(state, fleet.settings_, fleet.now_);
            runStoreCalls(fleet.daemons_[index], fleet.storeKey_, fleet.now_);
            serveBorrowers(state, fleet.settings_, fleet.now_);
        }
        collect(fleet);
        std::erase_if(fleet.messages_, [&](const Message &message) {
            return message.sent_.host_ == fleet.daemons_[test.lender_].state_.lenders_.self_;
        });
        deliverMessages(fleet);
    }
    CHECK(test.spent_ <= Tokens {prepaidTotal});
    CHECK(test.spent_ > Tokens {prepaidTotal / 2});
    CHECK(isValid(fleet));
}

TEST_CASE("a killed borrower and one of another process get no tokens")
{
    StoppingFleet test = makeStoppingFleet();
    Fleet &fleet = test.fleet_;
    PrepaidState &lender = fleet.daemons_[test.lender_].state_;
    const HostId killed = fleet.daemons_[test.borrowers_[1]].state_.lenders_.self_;
    SECTION("a host that has left the fleet")
    {
        std::erase_if(lender.lenders_.sameZone_,
                      [&](const PeerAddress &peer) { return peer.host_ == killed; });
        stop(test);
        collect(fleet);
        for (const Handover &handover : lender.handovers_)
            CHECK(handover.borrower_ != killed);
        CHECK_FALSE(lender.handovers_.empty());
    }
    SECTION("a process that has been replaced ignores the loan")
    {
        startDaemon(fleet, test.borrowers_[1], prepaidTotal);
        stop(test);
        deliverMessages(fleet);
        CHECK(heldBy(test, test.borrowers_[1]) == Tokens {});
    }
    CHECK(isValid(fleet));
}

TEST_CASE("a lender that is stopped while the ledger responds returns its tokens")
{
    StoppingFleet test = makeStoppingFleet();
    Fleet &fleet = test.fleet_;
    fleet.now_ += Seconds {1};
    runCallsAndMessages(fleet);
    PrepaidState &lender = fleet.daemons_[test.lender_].state_;
    REQUIRE_FALSE(isLedgerFailing(lender, fleet.settings_, acme));
    stop(test);
    CHECK(lender.handovers_.empty());
    runCallsAndMessages(fleet);
    CHECK(heldBy(test, test.borrowers_[1]) == Tokens {});
    releaseGrants(lender, fleet.settings_, fleet.now_);
    runCallsAndMessages(fleet);
    CHECK(isPrepaidIdle(lender));
    CHECK(balanceOf(fleet, test.lender_).grant_.spent_ == test.spent_);
}

} // namespace tamarack
