// A configuration of thousands of routes in a zone whose hosts are mostly small. Guards against
// copies of it that fill the links of these hosts, so that it is in force too late and clients
// don't reach them.
#include "documentfleet.h"

namespace tamarack {

using namespace documentfleet;

namespace {

/// The zone of a deployment: two large hosts, five of medium size and sixteen small ones.
Fleet makeZone()
{
    Fleet fleet;
    addHosts(fleet, 2, 500, 200);
    addHosts(fleet, 5, 300, 25);
    addHosts(fleet, 16, 90, 10);
    settle(fleet, makeConfigText(1, 10));
    return fleet;
}

/// Returns the longest time from the change to the use of a version at any host; nothing if a host
/// doesn't use it.
std::optional<Millis> longestDelay(const Fleet &fleet, ConfigVersion version, MonoTime changedAt)
{
    Millis longest {};
    for (const std::unique_ptr<Host> &host : fleet.hosts_) {
        if (host->isDown_)
            continue;
        const auto applied = host->appliedAt_.lower_bound(version);
        if (applied == host->appliedAt_.end())
            return std::nullopt;
        longest
            = std::max(longest, std::chrono::duration_cast<Millis>(applied->second - changedAt));
    }
    return longest;
}

void resetBytes(Fleet &fleet)
{
    for (const std::unique_ptr<Host> &host : fleet.hosts_)
        host->in_.bytes_ = host->out_.bytes_ = 0;
}

std::uint64_t mostReceived(const Fleet &fleet)
{
    std::uint64_t most = 0;
    for (const std::unique_ptr<Host> &host : fleet.hosts_)
        most = std::max(most, host->in_.bytes_);
    return most;
}

} // namespace

TEST_CASE("copies of a large configuration don't fill the links of small hosts")
{
    constexpr std::size_t routes = 4200;
    Fleet fleet = makeZone();
    for (std::uint64_t version = 2; version <= 4; ++version) {
        resetBytes(fleet);
        const MonoTime changedAt = fleet.now_;
        change(fleet, makeConfigText(version, routes + version));
        passTime(fleet, Seconds {12});
        const std::optional<Millis> delay = longestDelay(fleet, ConfigVersion {version}, changedAt);
        REQUIRE(delay);
        CHECK(delay->count() <= applyTime.count());
        // One copy, as the store sends it, and the polls of twelve seconds.
        CHECK(mostReceived(fleet) <= fleet.config_.size() * 4 / 3 + 100'000);
    }
}

TEST_CASE("a large configuration is in force in time when its largest hosts are down")
{
    Fleet fleet = makeZone();
    for (std::size_t i = 0; i < 7; ++i)
        fleet.hosts_[i]->isDown_ = true;
    passTime(fleet, Seconds {5});
    const MonoTime changedAt = fleet.now_;
    change(fleet, makeConfigText(2, 4200));
    passTime(fleet, Seconds {12});
    const std::optional<Millis> delay = longestDelay(fleet, ConfigVersion {2}, changedAt);
    REQUIRE(delay);
    CHECK(delay->count() <= applyTime.count());
}

TEST_CASE("large configurations in quick succession leave the links of small hosts free")
{
    Fleet fleet = makeZone();
    resetBytes(fleet);
    constexpr std::uint64_t last = 31;
    constexpr Millis interval {330};
    for (std::uint64_t version = 2; version <= last; ++version) {
        change(fleet, makeConfigText(version, 4200));
        passTime(fleet, interval);
    }
    const MonoTime changedAt = fleet.now_ - interval;
    passTime(fleet, applyTime);
    const std::optional<Millis> delay = longestDelay(fleet, ConfigVersion {last}, changedAt);
    REQUIRE(delay);
    CHECK(delay->count() <= applyTime.count());
    // Clients need the rest of the link.
    constexpr double maxShare = 0.5;
    const std::chrono::duration<double> time = fleet.now_ - changedAt + (last - 1) * interval;
    for (std::size_t i = 7; i < fleet.hosts_.size(); ++i) {
        const Link &link = fleet.hosts_[i]->in_;
        CHECK(static_cast<double>(link.bytes_) <= maxShare * link.bytesPerSecond_ * time.count());
    }
}

} // namespace tamarack
