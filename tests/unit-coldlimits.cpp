// The bound on the requests that all daemons together send to a cold instance in any second, with
// fleets of several sizes and faults. Guards against an instance that crashes because daemons that
// are not in touch with each other add up.
#include "core/relay/relay.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

namespace {

constexpr double perSecond = 11.0;
constexpr double overrun = 1.5;
constexpr double slack = 5.0;
constexpr Millis step {5};
constexpr Millis messageDelay {5};
constexpr Millis connectTimeout {300};

struct Message
{
    MonoTime at_ {};
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    std::variant<PermitRequest, PermitReply> content_;
};

struct Daemon
{
    InstanceLimits limits_;
    ColdPermits permits_;
    bool storeContact_ = true;
    /// Daemons in different groups don't reach each other.
    std::size_t group_ = 0;
    bool frozen_ = false;
    bool dead_ = false;
    /// Messages that arrived while it was frozen.
    std::vector<Message> held_;
    /// By number: when it asked.
    std::map<std::uint64_t, MonoTime> asked_;
};

/// Requests that a permit was granted for, and when each reaches its instance.
using Arrivals = std::map<UpstreamId, std::vector<MonoTime>>;

struct Fleet
{
    RequestLimitSettings limitSettings_;
    ColdPermitSettings settings_;
    std::vector<PeerAddress> addresses_;
    std::vector<Daemon> daemons_;
    std::vector<ColdTarget> targets_;
    std::vector<Message> messages_;
    double lossRate_ = 0.0;
    MonoTime now_ {Seconds {1000}};
    Arrivals arrivals_;
    std::mt19937 random_ {20261206};
};

std::size_t indexOf(const Fleet &fleet, const HostId &host)
{
    return static_cast<std::size_t>(
        std::find_if(fleet.addresses_.begin(), fleet.addresses_.end(),
                     [&](const PeerAddress &address) { return address.host_ == host; })
        - fleet.addresses_.begin());
}

/// Tells a daemon which others are registered.
void setPeers(Fleet &fleet, std::size_t daemon, const std::set<std::size_t> &missing = {})
{
    std::vector<PeerAddress> peers;
    for (std::size_t i = 0; i < fleet.addresses_.size(); ++i) {
        if (i != daemon && !missing.contains(i))
            peers.push_back(fleet.addresses_[i]);
    }
    updateLimitPeers(fleet.daemons_[daemon].limits_, fleet.limitSettings_, fleet.addresses_[daemon],
                     peers, fleet.now_);
}

void start(Fleet &fleet, std::size_t daemon, const std::set<std::size_t> &missing = {})
{
    Daemon fresh;
    fresh.group_ = fleet.daemons_[daemon].group_;
    fresh.limits_.address_ = fleet.addresses_[daemon].address_;
    fleet.daemons_[daemon] = fresh;
    setPeers(fleet, daemon, missing);
}

ColdTarget makeTarget(std::size_t number, const std::string &zone = "z0")
{
    return ColdTarget {InstanceProcess {UpstreamId {"i-" + std::to_string(number)}, WallTime {}},
                       ZoneId {zone}, perSecond};
}

Fleet makeFleet(std::size_t size)
{
    Fleet fleet;
    fleet.settings_.overrun_ = overrun;
    fleet.settings_.slack_ = slack;
    for (std::size_t i = 0; i < size; ++i) {
        const std::string host = "d" + std::to_string(i);
        fleet.addresses_.push_back(PeerAddress {HostId {host}, ZoneId {"z" + std::to_string(i % 3)},
                                                host, 100 + static_cast<std::uint32_t>(i % 4)});
    }
    fleet.daemons_.resize(size);
    for (std::size_t i = 0; i < size; ++i)
        start(fleet, i);
    fleet.targets_ = {makeTarget(1)};
    return fleet;
}

/// Records a request. A quarter of them wait for a connection as long as they may.
void recordSent(Fleet &fleet, const ColdTarget &target)
{
    const bool late = std::bernoulli_distribution(0.25)(fleet.random_);
    fleet.arrivals_[target.process_.instance_].push_back(fleet.now_ + (late ? connectTimeout : Millis {}));
}

/// @return false if the message is lost
bool post(Fleet &fleet, std::size_t from, std::size_t to,
          std::variant<PermitRequest, PermitReply> content)
{
    if (fleet.daemons_[from].group_ != fleet.daemons_[to].group_
        || std::bernoulli_distribution(fleet.lossRate_)(fleet.random_))
        return false;
    fleet.messages_.push_back(Message {fleet.now_ + messageDelay, from, to, std::move(content)});
    return true;
}

const ColdTarget &targetOf(const Fleet &fleet, const InstanceProcess &process)
{
    return *std::find_if(fleet.targets_.begin(), fleet.targets_.end(),
                         [&](const ColdTarget &target) { return target.process_ == process; });
}

/// A request for the instance arrives at a daemon. It is sent, waits for a permit, or uses another
/// instance.
void request(Fleet &fleet, std::size_t index, const ColdTarget &target)
{
    Daemon &daemon = fleet.daemons_[index];
    if (deniedUntil(daemon.limits_, target.process_, fleet.now_)
        || isColdPermitAwaited(daemon.permits_, target.process_.instance_, fleet.now_))
        return;
    PermitAnswer answer = askForColdPermit(daemon.permits_, daemon.limits_, fleet.settings_,
                                           fleet.limitSettings_, target, fleet.now_);
    if (!answer.result_) {
        daemon.asked_[answer.request_.number_] = fleet.now_;
        post(fleet, index, indexOf(fleet, answer.coordinator_.host_), std::move(answer.request_));
    } else if (*answer.result_ == PermitResult::Granted) {
        recordSent(fleet, target);
    }
}

void deliver(Fleet &fleet, const Message &message)
{
    Daemon &daemon = fleet.daemons_[message.to_];
    if (daemon.dead_)
        return;
    if (daemon.frozen_) {
        daemon.held_.push_back(message);
        return;
    }
    noteColdPermitTime(daemon.permits_, daemon.limits_, fleet.settings_, daemon.storeContact_,
                       fleet.now_);
    if (const auto *asked = std::get_if<PermitRequest>(&message.content_)) {
        const ColdTarget target {asked->process_, asked->zone_, *asked->coldPerSecond_};
        post(fleet, message.to_, message.from_,
             handleColdPermitRequest(daemon.permits_, daemon.limits_, fleet.settings_,
                                     fleet.limitSettings_, *asked, target, fleet.now_));
        return;
    }
    const auto &reply = std::get<PermitReply>(message.content_);
    const auto asked = daemon.asked_.find(reply.number_);
    if (asked == daemon.asked_.end())
        return;
    const MonoTime askedAt = asked->second;
    daemon.asked_.erase(asked);
    daemon.permits_.awaited_.erase(reply.process_.instance_);
    handlePermitReply(daemon.limits_, fleet.limitSettings_, reply,
                      fleet.addresses_[message.from_].host_, askedAt, fleet.now_);
    // As relaylimits.cpp checks it.
    if (reply.result_ == PermitResult::Granted
        && fleet.now_ <= askedAt + fleet.limitSettings_.replyTimeout_)
        recordSent(fleet, targetOf(fleet, reply.process_));
}

/// Excludes the coordinators that have not replied in time.
void expireRequests(Fleet &fleet, Daemon &daemon)
{
    std::erase_if(daemon.asked_, [&](const auto &entry) {
        if (fleet.now_ <= entry.second + fleet.limitSettings_.replyTimeout_)
            return false;
        for (const ColdTarget &target : fleet.targets_) {
            // All of them have the same candidates of this zone; any is good enough here.
            std::vector<PeerAddress> candidates = daemon.limits_.daemons_;
            sortForInstance(candidates, target.process_.instance_, target.zone_, 2);
            for (const PeerAddress &candidate : candidates) {
                if (isExcluded(daemon.limits_.unresponsive_, candidate.host_, fleet.now_))
                    continue;
                recordMissingPermitReply(daemon.limits_, fleet.limitSettings_, target.process_,
                                         candidate.host_, fleet.now_);
                break;
            }
        }
        return true;
    });
}

void freeze(Fleet &fleet, std::size_t daemon)
{
    fleet.daemons_[daemon].frozen_ = true;
}

void thaw(Fleet &fleet, std::size_t daemon)
{
    fleet.daemons_[daemon].frozen_ = false;
    const std::vector<Message> held = std::exchange(fleet.daemons_[daemon].held_, {});
    for (const Message &message : held)
        deliver(fleet, message);
}

/// Runs the fleet while each daemon has @a demand requests per second for each instance.
void run(Fleet &fleet, Millis time, double demand)
{
    const MonoTime end = fleet.now_ + time;
    const double perStep = demand * std::chrono::duration<double>(step).count();
    std::bernoulli_distribution arrives(std::min(perStep, 1.0));
    for (; fleet.now_ < end; fleet.now_ += step) {
        std::vector<Message> due;
        std::erase_if(fleet.messages_, [&](const Message &message) {
            if (message.at_ > fleet.now_)
                return false;
            due.push_back(message);
            return true;
        });
        for (const Message &message : due)
            deliver(fleet, message);
        for (std::size_t i = 0; i < fleet.daemons_.size(); ++i) {
            Daemon &daemon = fleet.daemons_[i];
            if (daemon.dead_ || daemon.frozen_)
                continue;
            noteColdPermitTime(daemon.permits_, daemon.limits_, fleet.settings_,
                               daemon.storeContact_, fleet.now_);
            expireRequests(fleet, daemon);
            for (const ColdTarget &target : fleet.targets_) {
                if (arrives(fleet.random_))
                    request(fleet, i, target);
            }
        }
    }
}

/// Returns the most requests that reach one instance within any second.
std::size_t mostInSecond(const Fleet &fleet)
{
    std::size_t most = 0;
    for (const auto &[instance, unsorted] : fleet.arrivals_) {
        std::vector<MonoTime> arrivals = unsorted;
        std::sort(arrivals.begin(), arrivals.end());
        for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
            while (arrivals[last] - arrivals[first] > Seconds {1})
                ++first;
            most = std::max(most, last - first + 1);
        }
    }
    return most;
}

std::size_t sentCount(const Fleet &fleet)
{
    std::size_t count = 0;
    for (const auto &[instance, arrivals] : fleet.arrivals_)
        count += arrivals.size();
    return count;
}

const double bound = perSecond * overrun + slack;

void checkBound(const Fleet &fleet)
{
    CHECK(static_cast<double>(mostInSecond(fleet)) <= bound);
}

/// Returns the daemons that are first and second in rank for the first instance.
std::vector<std::size_t> ranked(const Fleet &fleet)
{
    std::vector<PeerAddress> daemons = fleet.addresses_;
    const ColdTarget &target = fleet.targets_.front();
    sortForInstance(daemons, target.process_.instance_, target.zone_, 4);
    std::vector<std::size_t> indexes;
    for (const PeerAddress &daemon : daemons)
        indexes.push_back(indexOf(fleet, daemon.host_));
    return indexes;
}

} // namespace

TEST_CASE("the parts of a cold instance's bound add up to no more than the bound")
{
    for (const double rate : {0.5, 1.0, 2.0, 5.0, 11.0, 40.0, 200.0}) {
        for (const double factor : {1.0, 1.2, 1.5, 3.0}) {
            for (const double extra : {0.0, 1.0, 5.0, 20.0}) {
                ColdPermitSettings settings;
                settings.overrun_ = factor;
                settings.slack_ = extra;
                INFO(rate << " a second, overrun " << factor << ", slack " << extra);
                const ColdBudget budget = coldBudget(settings, rate);
                const double time
                    = 1.0 + std::chrono::duration<double>(settings.useWithin_).count();
                double most = 0.0;
                if (budget.full_)
                    most += std::floor(budget.full_->capacity_ + budget.full_->perSecond_ * time);
                if (budget.partial_)
                    most += static_cast<double>(settings.partialGranters_)
                        * std::floor(budget.partial_->capacity_
                                     + budget.partial_->perSecond_ * time);
                CHECK(most <= rate * factor + extra);
            }
        }
    }
}

TEST_CASE("today's deployment gives a cold instance its whole rate")
{
    ColdPermitSettings settings;
    settings.overrun_ = overrun;
    settings.slack_ = slack;
    const ColdBudget budget = coldBudget(settings, perSecond);
    REQUIRE(budget.full_);
    CHECK(budget.full_->perSecond_ >= 0.99 * perSecond);
}

TEST_CASE("a bound without room permits nothing")
{
    const ColdBudget budget = coldBudget(ColdPermitSettings {}, 0.5);
    CHECK(!budget.full_);
    CHECK(!budget.partial_);
}

TEST_CASE("a fleet of any size keeps to the bound of a cold instance and uses its rate")
{
    for (const std::size_t size : {1U, 8U, 84U, 195U}) {
        INFO(size << " daemons");
        Fleet fleet = makeFleet(size);
        fleet.now_ += Seconds {60};
        run(fleet, Seconds {20}, 300.0 / static_cast<double>(size));
        checkBound(fleet);
        CHECK(static_cast<double>(sentCount(fleet)) >= 0.8 * 20.0 * perSecond);
    }
}

TEST_CASE("the bound holds from the first moment of a fleet")
{
    for (const std::size_t size : {1U, 8U, 84U, 195U}) {
        INFO(size << " daemons");
        Fleet fleet = makeFleet(size);
        // Each daemon learns of the others while they start.
        for (std::size_t i = 0; i < size; ++i) {
            std::set<std::size_t> missing;
            for (std::size_t j = i + 1; j < size; ++j)
                missing.insert(j);
            start(fleet, i, missing);
        }
        run(fleet, Seconds {1}, 20.0);
        for (std::size_t i = 0; i < size; ++i)
            setPeers(fleet, i);
        run(fleet, Seconds {15}, 20.0);
        checkBound(fleet);
    }
}

TEST_CASE("the bound holds while messages are lost")
{
    for (const double lossRate : {0.02, 0.2, 0.7}) {
        INFO(lossRate << " of the messages are lost");
        Fleet fleet = makeFleet(84);
        fleet.now_ += Seconds {60};
        fleet.lossRate_ = lossRate;
        run(fleet, Seconds {15}, 10.0);
        checkBound(fleet);
        CHECK(sentCount(fleet) > 0);
    }
}

TEST_CASE("daemons that reach no other one don't add up")
{
    for (const std::size_t size : {8U, 84U, 195U}) {
        INFO(size << " daemons");
        Fleet fleet = makeFleet(size);
        fleet.now_ += Seconds {60};
        for (std::size_t i = 0; i < size; ++i)
            fleet.daemons_[i].group_ = i;
        SECTION("with contact to the store")
        {
            run(fleet, Seconds {15}, 100.0);
        }
        SECTION("without")
        {
            run(fleet, Seconds {1}, 100.0);
            for (Daemon &daemon : fleet.daemons_)
                daemon.storeContact_ = false;
            run(fleet, Seconds {15}, 100.0);
        }
        checkBound(fleet);
    }
}

TEST_CASE("the bound holds while the coordinator fails")
{
    Fleet fleet = makeFleet(84);
    fleet.now_ += Seconds {60};
    const std::vector<std::size_t> first = ranked(fleet);
    run(fleet, Seconds {3}, 10.0);
    SECTION("killed, and replaced after its registration has expired")
    {
        fleet.daemons_[first[0]].dead_ = true;
        run(fleet, Seconds {4}, 10.0);
        for (std::size_t i = 0; i < 84; ++i)
            setPeers(fleet, i, {first[0]});
        run(fleet, Seconds {14}, 10.0);
        // The next in rank has the full rate by now.
        const std::size_t before = sentCount(fleet);
        run(fleet, Seconds {4}, 10.0);
        CHECK(static_cast<double>(sentCount(fleet) - before) >= 0.7 * 4.0 * perSecond);
        start(fleet, first[0]);
        for (std::size_t i = 0; i < 84; ++i) {
            setPeers(fleet, i);
            run(fleet, Millis {50}, 10.0);
        }
        run(fleet, Seconds {15}, 10.0);
    }
    SECTION("killed and started several times within a second")
    {
        for (int i = 0; i < 5; ++i) {
            start(fleet, first[0]);
            run(fleet, Millis {200}, 10.0);
        }
        run(fleet, Seconds {15}, 10.0);
    }
    SECTION("frozen for some time")
    {
        for (const Millis time : {Millis {100}, Millis {900}, Millis {3000}, Millis {20'000}}) {
            freeze(fleet, first[0]);
            run(fleet, time, 10.0);
            if (time >= Millis {20'000}) {
                for (std::size_t i = 0; i < 84; ++i) {
                    if (i != first[0])
                        setPeers(fleet, i, {first[0]});
                }
                run(fleet, Seconds {15}, 10.0);
            }
            thaw(fleet, first[0]);
            run(fleet, Seconds {4}, 10.0);
        }
    }
    SECTION("many daemons are frozen, with permits that were granted to them")
    {
        for (std::size_t i = 0; i < 84; i += 2)
            freeze(fleet, i);
        run(fleet, Seconds {2}, 10.0);
        for (std::size_t i = 0; i < 84; i += 2)
            thaw(fleet, i);
        run(fleet, Seconds {4}, 10.0);
    }
    SECTION("it stops as planned, and some don't know it yet")
    {
        fleet.daemons_[first[0]].limits_.stopping_ = true;
        for (std::size_t i = 0; i < 84; ++i) {
            if (i != first[0])
                setPeers(fleet, i, {first[0]});
            run(fleet, Millis {100}, 10.0);
        }
        run(fleet, Seconds {10}, 10.0);
    }
    checkBound(fleet);
}

TEST_CASE("the bound holds while several daemons take themselves for the coordinator")
{
    Fleet fleet = makeFleet(84);
    fleet.now_ += Seconds {60};
    const std::vector<std::size_t> first = ranked(fleet);
    run(fleet, Seconds {2}, 10.0);
    SECTION("the coordinator is cut off with a part of the fleet, and the others replace it")
    {
        std::set<std::size_t> cutOff;
        std::set<std::size_t> others;
        for (std::size_t i = 0; i < 84; ++i)
            (i % 4 == first[0] % 4 ? cutOff : others).insert(i);
        for (const std::size_t i : cutOff) {
            fleet.daemons_[i].group_ = 1;
            fleet.daemons_[i].storeContact_ = false;
        }
        run(fleet, Seconds {4}, 10.0);
        // Their registrations have expired.
        for (const std::size_t i : others)
            setPeers(fleet, i, cutOff);
        run(fleet, Seconds {20}, 10.0);
        for (const std::size_t i : cutOff) {
            fleet.daemons_[i].group_ = 0;
            fleet.daemons_[i].storeContact_ = true;
        }
        run(fleet, Seconds {2}, 10.0);
        for (std::size_t i = 0; i < 84; ++i)
            setPeers(fleet, i);
        run(fleet, Seconds {15}, 10.0);
    }
    SECTION("each zone for itself")
    {
        for (std::size_t i = 0; i < 84; ++i)
            fleet.daemons_[i].group_ = i % 3;
        run(fleet, Seconds {20}, 10.0);
    }
    SECTION("daemons lost contact at different times, and know different fleets")
    {
        for (std::size_t wave = 1; wave <= 4; ++wave) {
            std::set<std::size_t> gone;
            for (std::size_t i = 0; i < 84; ++i) {
                if (i % 5 < wave) {
                    gone.insert(i);
                    if (i % 5 == wave - 1) {
                        fleet.daemons_[i].group_ = wave;
                        fleet.daemons_[i].storeContact_ = false;
                    }
                }
            }
            run(fleet, Seconds {4}, 10.0);
            for (std::size_t i = 0; i < 84; ++i) {
                if (!gone.contains(i))
                    setPeers(fleet, i, gone);
            }
        }
        run(fleet, Seconds {20}, 10.0);
    }
    checkBound(fleet);
}

TEST_CASE("the bound holds for each instance of a zone that comes back cold at once")
{
    Fleet fleet = makeFleet(84);
    fleet.targets_.clear();
    for (std::size_t i = 0; i < 30; ++i)
        fleet.targets_.push_back(makeTarget(i));
    SECTION("its daemons were there all the time")
    {
        fleet.now_ += Seconds {60};
        run(fleet, Seconds {3}, 5.0);
        CHECK(static_cast<double>(sentCount(fleet)) >= 0.6 * 3.0 * 30.0 * perSecond);
    }
    SECTION("its daemons come back at the same time")
    {
        fleet.now_ += Seconds {60};
        for (std::size_t i = 0; i < 84; i += 3)
            start(fleet, i);
        run(fleet, Seconds {5}, 5.0);
    }
    checkBound(fleet);
}

TEST_CASE("the smaller of a stated limit and the cold rate applies")
{
    Fleet fleet = makeFleet(8);
    fleet.now_ += Seconds {60};
    const double limit = 3.0;
    for (Daemon &daemon : fleet.daemons_)
        recordStatedLimit(daemon.limits_, fleet.limitSettings_, fleet.targets_[0].process_, limit,
                          fleet.now_);
    run(fleet, Seconds {10}, 20.0);
    CHECK(static_cast<double>(sentCount(fleet)) <= 10.0 * limit + 2.0);
    CHECK(static_cast<double>(sentCount(fleet)) >= 0.7 * 10.0 * limit);
}

} // namespace tamarack
