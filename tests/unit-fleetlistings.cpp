// Limits that the daemons share while the store lists a fleet that has just lost its registrations.
// Guards against each daemon taking the whole limit for itself (review/8).
#include "fleetsimulation.h"

namespace tamarack {

using namespace fleetsimulation;

namespace {

constexpr double limit = 6.0;
/// One and a half times what the limit allows in 4 s, and 5 requests.
constexpr std::size_t allowed = 41;
/// From the first statement of a limit until it must be kept.
constexpr Millis stability {3000};
constexpr Millis demand {100};

/// A fleet that has kept the limit of its instances for a while.
Fleet makeLimitedFleet(std::size_t size)
{
    Fleet fleet = makeFleet(size);
    fleet.limit_ = limit;
    passTimeWithReads(fleet, Seconds {12}, demand);
    return fleet;
}

std::uint32_t totalConnections(const Fleet &fleet)
{
    std::uint32_t total = 0;
    for (const auto &[relay, connections] : fleet.connections_)
        total += fleet.relays_[relay].isDead_ ? 0 : connections;
    return total;
}

/// Returns the sum of the additional retries that the relays permit themselves in a window.
double totalRetries(Fleet &fleet)
{
    double total = 0.0;
    for (Relay &relay : fleet.relays_) {
        const RelayState &state = relay.fixture_.state_;
        if (!relay.isDead_)
            total += state.settings_.retries_.extra_ / state.fleet_.daemons_;
    }
    return total;
}

} // namespace

TEST_CASE("the daemons keep to a limit while the store has lost their registrations")
{
    const std::size_t size = GENERATE(3U, 8U, 20U);
    CAPTURE(size);
    Fleet fleet = makeLimitedFleet(size);
    const MonoTime from = fleet.now_;
    fleet.registered_.clear();
    SECTION("all read the empty list at once, and then the store is away")
    {
        for (std::size_t i = 0; i < size; ++i)
            read(fleet, i);
        passTime(fleet, Seconds {40}, demand);
    }
    SECTION("one registration returns after the other, with a read between each two")
    {
        for (std::size_t i = 0; i < size; ++i) {
            fleet.registered_.insert(i);
            read(fleet, (i * 5 + 1) % size);
            passTime(fleet, Millis {500}, demand);
        }
        passTimeWithReads(fleet, Seconds {24}, demand);
    }
    SECTION(
        "each reads the list while it has only its own registration, and then the store is away")
    {
        for (std::size_t i = 0; i < size; ++i) {
            fleet.registered_ = {i};
            read(fleet, i);
        }
        passTime(fleet, Seconds {40}, demand);
    }
    SECTION("each reads the list while it lacks only its own registration")
    {
        for (std::size_t i = 0; i < size; ++i) {
            fleet.registered_.clear();
            for (std::size_t j = 0; j < size; ++j) {
                if (j != i)
                    fleet.registered_.insert(j);
            }
            read(fleet, i);
        }
        passTime(fleet, Seconds {40}, demand);
    }
    SECTION("the store is away again soon after its return, and returns once more")
    {
        for (int outage = 0; outage < 2; ++outage) {
            fleet.registered_.clear();
            for (std::size_t i = 0; i < size; ++i) {
                if (i % 2 == 0)
                    fleet.registered_.insert(i);
                read(fleet, i);
                passTime(fleet, Millis {300}, demand);
            }
            passTime(fleet, Seconds {18}, demand);
        }
    }
    CHECK(mostInWindow(fleet, from) <= allowed);
    // The limit is used.
    const std::chrono::duration<double> time = fleet.now_ - from;
    CHECK(static_cast<double>(sentSince(fleet, from))
          >= 0.8 * static_cast<double>(instances) * limit * time.count());
}

TEST_CASE("daemons that start while the store is away keep to a limit")
{
    const std::size_t restarted = GENERATE(1U, 3U, 8U);
    CAPTURE(restarted);
    Fleet fleet = makeLimitedFleet(8);
    const MonoTime from = fleet.now_;
    SECTION("they read nothing")
    {
        for (std::size_t i = 0; i < restarted; ++i)
            start(fleet, i);
        passTime(fleet, Seconds {40}, demand);
    }
    SECTION("they read a list without the others once")
    {
        for (std::size_t i = 0; i < restarted; ++i)
            start(fleet, i);
        passTime(fleet, Seconds {2}, demand);
        for (std::size_t i = 0; i < restarted; ++i) {
            fleet.registered_ = {i};
            read(fleet, i);
        }
        passTime(fleet, Seconds {40}, demand);
    }
    // A restarted daemon sends requests until it is told the limit.
    CHECK(mostInWindow(fleet, from + stability) <= allowed);
}

TEST_CASE("the daemons keep to the bound of a cold instance while the store has lost them")
{
    constexpr double coldPerSecond = 11.0;
    Fleet fleet = makeFleet(8);
    for (Relay &relay : fleet.relays_) {
        RelayState &state = relay.fixture_.state_;
        auto config = makeConfig(3);
        config->accounts_.at(AccountId {"acme"}).prepaid_.reset();
        RelayService &service = config->services_.at(ServiceId {"app"});
        service.coldPerSecond_ = coldPerSecond;
        service.coldStart_ = Seconds {60};
        state.settings_.cold_.overrun_ = 1.5;
        state.settings_.cold_.slack_ = 5.0;
        handleRelayEvent(state, ConfigReceived {config, ChangeSource::Store}, fleet.now_);
    }
    fleet.coldFor_ = Seconds {60};
    passTimeWithReads(fleet, Seconds {6}, demand);
    const MonoTime from = fleet.now_;
    const bool returns = GENERATE(false, true);
    fleet.registered_.clear();
    for (std::size_t i = 0; i < 8; ++i) {
        fleet.registered_.insert(i);
        read(fleet, i);
        passTime(fleet, Millis {300}, demand);
    }
    if (returns)
        passTimeWithReads(fleet, Seconds {24}, demand);
    else
        passTime(fleet, Seconds {24}, demand);
    CHECK(mostInWindow(fleet, from, Seconds {1}) <= 21);
    CHECK(sentSince(fleet, from) > 0);
}

TEST_CASE("the daemons divide connections and retries while the store has lost their registrations")
{
    Fleet fleet = makeFleet(8);
    for (Relay &relay : fleet.relays_)
        relay.fixture_.state_.settings_.retries_ = SharedRetryLimit {0.2, 56.0, Seconds {10}};
    fleet.registered_.clear();
    for (std::size_t i = 0; i < 8; ++i) {
        fleet.registered_.insert(i);
        read(fleet, i);
    }
    passTime(fleet, Seconds {30}, demand);
    CHECK(fleet.connections_.size() == 8);
    CHECK(totalConnections(fleet) <= 110);
    CHECK(totalRetries(fleet) <= 56.0 + 1e-9);
    for (const Relay &relay : fleet.relays_) {
        const RelayState &state = relay.fixture_.state_;
        CHECK(state.prepaid_.daemons_ == 8);
        CHECK(state.prepaid_.lenders_.sameZone_.size() == 8);
        CHECK(state.quarantine_.ring_.size() == 8);
        CHECK(state.loads_.zoneOfPeer_.size() == 7);
        CHECK(state.limits_.daemons_.size() == 8);
        CHECK(state.limits_.departed_.empty());
    }
}

TEST_CASE("a fleet that becomes smaller does not keep the parts of the daemons that have gone")
{
    const bool storeIsAway = GENERATE(false, true);
    Fleet fleet = makeLimitedFleet(8);
    for (const std::size_t gone : {1U, 4U, 6U, 7U}) {
        fleet.relays_[gone].isDead_ = true;
        fleet.registered_.erase(gone);
    }
    for (std::size_t i = 0; i < 8; ++i)
        read(fleet, i);
    // They are asked whether they run, and the daemons that take over wait until all know it.
    const Millis takeOver = Seconds {20};
    if (storeIsAway)
        passTime(fleet, takeOver, demand);
    else
        passTimeWithReads(fleet, takeOver, demand);
    const MonoTime from = fleet.now_;
    passTime(fleet, Seconds {20}, demand);
    for (std::size_t i = 0; i < 8; ++i) {
        if (!fleet.relays_[i].isDead_)
            CHECK(fleet.relays_[i].fixture_.state_.fleet_.daemons_ == 4);
    }
    // All of the part of the 110 connections that is used.
    const double share = fleet.relays_[0].fixture_.state_.settings_.connectionShare_;
    CHECK(totalConnections(fleet) >= 4 * static_cast<std::uint32_t>(110 * share / 4));
    CHECK(mostInWindow(fleet, from) <= allowed);
    CHECK(static_cast<double>(sentSince(fleet, from))
          >= 0.8 * static_cast<double>(instances) * limit * 20.0);
}

} // namespace tamarack
