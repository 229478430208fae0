// Permits for instances with a request limit, in fleets of several sizes. Guards against daemons
// that together send more than an instance accepts, and against a limit that goes unused.
#include "core/relay/relay.h"

#include "departures.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

namespace {

const InstanceProcess limited {UpstreamId {"i-1"}, WallTime {Millis {5}}};
const ZoneId instanceZone {"z0"};
constexpr Millis messageDelay {3};
constexpr Millis step {5};

struct Message
{
    MonoTime at_ {};
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    std::variant<PermitRequest, PermitReply> content_;
};

struct Fleet
{
    RequestLimitSettings settings_;
    std::vector<PeerAddress> addresses_;
    std::vector<InstanceLimits> daemons_;
    /// Daemons that neither send nor receive.
    std::set<std::size_t> silent_;
    std::deque<Message> messages_;
    MonoTime now_ {Seconds {1000}};
    std::vector<MonoTime> sent_;
    std::size_t messageCount_ = 0;
    std::mt19937 random_ {20261205};
};

/// Tells a daemon which others there are.
void setPeers(Fleet &fleet, std::size_t daemon, const std::set<std::size_t> &unknown = {})
{
    std::vector<PeerAddress> peers;
    for (std::size_t i = 0; i < fleet.addresses_.size(); ++i) {
        if (i != daemon && !unknown.contains(i))
            peers.push_back(fleet.addresses_[i]);
    }
    updateLimitPeers(fleet.daemons_[daemon], fleet.settings_,
                     peersAfterDepartures(fleet.daemons_[daemon], fleet.addresses_[daemon],
                                          std::move(peers), fleet.now_),
                     fleet.now_);
}

Fleet makeFleet(std::size_t size)
{
    Fleet fleet;
    for (std::size_t i = 0; i < size; ++i) {
        const std::string host = "d" + std::to_string(i);
        fleet.addresses_.push_back(PeerAddress {HostId {host}, ZoneId {"z" + std::to_string(i % 3)},
                                                host, 100 + static_cast<std::uint32_t>(i % 4)});
    }
    fleet.daemons_.resize(size);
    for (std::size_t i = 0; i < size; ++i) {
        fleet.daemons_[i].address_ = fleet.addresses_[i].address_;
        setPeers(fleet, i);
    }
    // The fleet has been running for a while.
    fleet.now_ += Seconds {60};
    return fleet;
}

/// Starts the process of a daemon again. A response soon tells it the limit.
void restart(Fleet &fleet, std::size_t daemon, double limit)
{
    fleet.daemons_[daemon] = InstanceLimits {};
    fleet.daemons_[daemon].address_ = fleet.addresses_[daemon].address_;
    setPeers(fleet, daemon);
    recordStatedLimit(fleet.daemons_[daemon], fleet.settings_, limited, limit, fleet.now_);
}

/// Has an instance tell all daemons its limit.
void stateLimit(Fleet &fleet, double perSecond)
{
    for (InstanceLimits &daemon : fleet.daemons_)
        recordStatedLimit(daemon, fleet.settings_, limited, perSecond, fleet.now_);
}

std::size_t indexOf(const Fleet &fleet, const HostId &host)
{
    const auto it = std::find_if(fleet.addresses_.begin(), fleet.addresses_.end(),
                                 [&host](const PeerAddress &peer) { return peer.host_ == host; });
    return static_cast<std::size_t>(it - fleet.addresses_.begin());
}

void post(Fleet &fleet, std::size_t from, std::size_t to,
          std::variant<PermitRequest, PermitReply> content)
{
    ++fleet.messageCount_;
    fleet.messages_.push_back(Message {fleet.now_ + messageDelay, from, to, std::move(content)});
}

/// A request arrives at a daemon; it is sent, refused, or waits for a permit.
void request(Fleet &fleet, std::size_t daemon)
{
    InstanceLimits &limits = fleet.daemons_[daemon];
    if (fleet.silent_.contains(daemon) || deniedUntil(limits, limited, fleet.now_))
        return;
    if (!needsPermit(limits, limited)) {
        fleet.sent_.push_back(fleet.now_);
        return;
    }
    PermitAnswer answer = askForPermit(limits, fleet.settings_, limited, instanceZone, fleet.now_);
    if (!answer.result_) {
        const std::size_t coordinator = indexOf(fleet, answer.coordinator_.host_);
        if (fleet.silent_.contains(coordinator))
            recordMissingPermitReply(limits, fleet.settings_, limited, answer.coordinator_.host_,
                                     fleet.now_);
        else
            post(fleet, daemon, coordinator, std::move(answer.request_));
    } else if (*answer.result_ != PermitResult::Denied) {
        fleet.sent_.push_back(fleet.now_);
    }
}

void deliver(Fleet &fleet, const Message &message)
{
    if (fleet.silent_.contains(message.to_))
        return;
    InstanceLimits &limits = fleet.daemons_[message.to_];
    if (const auto *asked = std::get_if<PermitRequest>(&message.content_)) {
        std::optional<PermitReply> reply
            = handlePermitRequest(limits, fleet.settings_, *asked, instanceZone, fleet.now_);
        if (reply)
            post(fleet, message.to_, message.from_, *reply);
        return;
    }
    const auto &reply = std::get<PermitReply>(message.content_);
    handlePermitReply(limits, fleet.settings_, reply, fleet.addresses_[message.from_].host_,
                      fleet.now_, fleet.now_);
    if (reply.result_ == PermitResult::Granted || reply.result_ == PermitResult::LimitEnded)
        fleet.sent_.push_back(fleet.now_);
}

/// Runs the fleet while each daemon receives requests for the instance.
/// @param demand requests per second of all daemons together
void run(Fleet &fleet, Millis time, double demand)
{
    const MonoTime end = fleet.now_ + time;
    const double perStep = demand * std::chrono::duration<double>(step).count()
        / static_cast<double>(fleet.daemons_.size());
    std::bernoulli_distribution arrives(std::min(perStep, 1.0));
    for (; fleet.now_ < end; fleet.now_ += step) {
        while (!fleet.messages_.empty() && fleet.messages_.front().at_ <= fleet.now_) {
            const Message message = std::move(fleet.messages_.front());
            fleet.messages_.pop_front();
            deliver(fleet, message);
        }
        for (std::size_t i = 0; i < fleet.daemons_.size(); ++i) {
            if (arrives(fleet.random_))
                request(fleet, i);
        }
    }
}

/// Returns the most requests within any four seconds.
std::size_t mostInWindow(const std::vector<MonoTime> &sent)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
        while (sent[last] - sent[first] >= Seconds {4})
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Returns the number of requests that an instance with a limit must get at most in four seconds.
double allowedInWindow(double perSecond)
{
    return 1.5 * 4.0 * perSecond + 5.0;
}

std::size_t coordinatorIndex(Fleet &fleet)
{
    // The coordinator is the daemon that the others ask.
    for (std::size_t i = 0; i < fleet.daemons_.size(); ++i) {
        InstanceLimits copy = fleet.daemons_[i];
        const PermitAnswer answer
            = askForPermit(copy, fleet.settings_, limited, instanceZone, fleet.now_);
        if (!answer.result_)
            return indexOf(fleet, answer.coordinator_.host_);
    }
    return 0;
}

} // namespace

TEST_CASE("a fleet of any size keeps to a request limit and uses it")
{
    for (const std::size_t size : {1U, 8U, 73U, 195U}) {
        for (const double limit : {1.1, 2.3, 6.4, 40.0}) {
            INFO(size << " daemons, limit " << limit);
            Fleet fleet = makeFleet(size);
            stateLimit(fleet, limit);
            run(fleet, Seconds {20}, 3.0 * limit);
            CHECK(mostInWindow(fleet.sent_) <= allowedInWindow(limit));
            CHECK(static_cast<double>(fleet.sent_.size()) >= 0.8 * 20.0 * limit);
            // A request and a reply for each permit that is granted, and for at most two others.
            CHECK(static_cast<double>(fleet.messageCount_)
                  <= 2.0 * (3.0 * 20.0 * limit + static_cast<double>(size)));
        }
    }
}

TEST_CASE("the daemons keep to a limit while its coordinator restarts")
{
    const double limit = 6.0;
    Fleet fleet = makeFleet(73);
    stateLimit(fleet, limit);
    run(fleet, Seconds {6}, 100.0);
    const std::size_t coordinator = coordinatorIndex(fleet);
    for (int i = 0; i < 4; ++i) {
        restart(fleet, coordinator, limit);
        run(fleet, Seconds {1}, 100.0);
    }
    run(fleet, Seconds {20}, 100.0);
    CHECK(mostInWindow(fleet.sent_) <= allowedInWindow(limit));
    CHECK(fleet.sent_.size() >= 90);
}

TEST_CASE("the daemons keep to a limit while they disagree about its coordinator")
{
    const double limit = 6.0;
    SECTION("a new daemon is first in rank, and some don't know it yet")
    {
        Fleet fleet = makeFleet(24);
        stateLimit(fleet, limit);
        const std::size_t first = coordinatorIndex(fleet);
        for (std::size_t i = 0; i < fleet.daemons_.size(); ++i)
            setPeers(fleet, i, {first});
        fleet.silent_.insert(first);
        run(fleet, Seconds {30}, 100.0);
        fleet.silent_.clear();
        restart(fleet, first, limit);
        // The others learn of it one after the other.
        for (std::size_t i = 0; i < fleet.daemons_.size(); ++i) {
            setPeers(fleet, i);
            run(fleet, Millis {250}, 100.0);
        }
        run(fleet, Seconds {20}, 100.0);
        CHECK(mostInWindow(fleet.sent_) <= allowedInWindow(limit));
        CHECK(static_cast<double>(fleet.sent_.size()) >= 0.6 * 55.0 * limit);
    }
    SECTION("the coordinator is silent for some time")
    {
        Fleet fleet = makeFleet(24);
        stateLimit(fleet, limit);
        const std::size_t first = coordinatorIndex(fleet);
        run(fleet, Seconds {5}, 100.0);
        fleet.silent_.insert(first);
        run(fleet, Seconds {5}, 100.0);
        fleet.silent_.clear();
        run(fleet, Seconds {15}, 100.0);
        CHECK(mostInWindow(fleet.sent_) <= allowedInWindow(limit));
        CHECK(fleet.sent_.size() >= 100);
    }
    SECTION("the coordinator leaves, and some don't know it yet")
    {
        Fleet fleet = makeFleet(24);
        stateLimit(fleet, limit);
        const std::size_t first = coordinatorIndex(fleet);
        run(fleet, Seconds {5}, 100.0);
        fleet.daemons_[first].stopping_ = true;
        for (std::size_t i = 0; i < fleet.daemons_.size(); ++i) {
            if (i != first)
                setPeers(fleet, i, {first});
            run(fleet, Millis {250}, 100.0);
        }
        fleet.silent_.insert(first);
        run(fleet, Seconds {20}, 100.0);
        CHECK(mostInWindow(fleet.sent_) <= allowedInWindow(limit));
        CHECK(fleet.sent_.size() >= 100);
    }
}

TEST_CASE("a daemon that no coordinator answers takes its share of a limit")
{
    const double limit = 6.0;
    Fleet fleet = makeFleet(24);
    fleet.settings_.coordinators_ = 1;
    stateLimit(fleet, limit);
    REQUIRE(coordinatorIndex(fleet) != 0);
    for (std::size_t i = 1; i < fleet.daemons_.size(); ++i)
        fleet.silent_.insert(i);
    run(fleet, Seconds {60}, 24 * 100.0);
    CHECK(fleet.sent_.size() >= 5);
    CHECK(static_cast<double>(fleet.sent_.size()) <= 60.0 * limit / 24.0 + 10.0);
}

TEST_CASE("the end of a limit reaches daemons that get no response of the instance")
{
    Fleet fleet = makeFleet(73);
    stateLimit(fleet, 2.0);
    run(fleet, Seconds {5}, 100.0);
    CHECK(recordStatedLimit(fleet.daemons_[0], fleet.settings_, limited, std::nullopt, fleet.now_));
    const auto report
        = reportLimitEnded(fleet.daemons_[0], fleet.settings_, limited, instanceZone, fleet.now_);
    if (report)
        post(fleet, 0, indexOf(fleet, report->coordinator_.host_), report->request_);
    run(fleet, Seconds {4}, 400.0);
    const auto stillLimited
        = std::count_if(fleet.daemons_.begin(), fleet.daemons_.end(),
                        [](const InstanceLimits &daemon) { return needsPermit(daemon, limited); });
    CHECK(stillLimited <= 7);
}

TEST_CASE("a response that was on its way before the last limit does not end it")
{
    Fleet fleet = makeFleet(1);
    stateLimit(fleet, 2.0);
    fleet.now_ += Millis {100};
    CHECK(
        !recordStatedLimit(fleet.daemons_[0], fleet.settings_, limited, std::nullopt, fleet.now_));
    CHECK(needsPermit(fleet.daemons_[0], limited));
    fleet.now_ += Millis {200};
    CHECK(recordStatedLimit(fleet.daemons_[0], fleet.settings_, limited, std::nullopt, fleet.now_));
    CHECK(!needsPermit(fleet.daemons_[0], limited));
}

TEST_CASE("an instance that accepts nothing is tried now and then, so that its limit can end")
{
    Fleet fleet = makeFleet(8);
    stateLimit(fleet, 0.0);
    run(fleet, Seconds {40}, 50.0);
    CHECK(!fleet.sent_.empty());
    CHECK(mostInWindow(fleet.sent_) <= allowedInWindow(0.0));
}

} // namespace tamarack
