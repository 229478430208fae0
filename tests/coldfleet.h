// A fleet of daemons that request permits for cold instances, with a simulated clock, for unit
// tests: messages that are lost or delayed, and daemons that are killed, suspended or cut off.
#pragma once

#include "core/relay/relay.h"

#include "departures.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace tamarack::coldfleet {

inline constexpr double perSecond = 11.0;
inline constexpr double overrun = 1.5;
inline constexpr double slack = 5.0;
inline constexpr Millis step {5};
inline constexpr Millis messageDelay {5};
inline constexpr Millis connectTimeout {300};

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

inline std::size_t indexOf(const Fleet &fleet, const HostId &host)
{
    return static_cast<std::size_t>(
        std::find_if(fleet.addresses_.begin(), fleet.addresses_.end(),
                     [&](const PeerAddress &address) { return address.host_ == host; })
        - fleet.addresses_.begin());
}

/// Tells a daemon which others are registered.
inline void setPeers(Fleet &fleet, std::size_t daemon, const std::set<std::size_t> &missing = {})
{
    std::vector<PeerAddress> peers;
    for (std::size_t i = 0; i < fleet.addresses_.size(); ++i) {
        if (i != daemon && !missing.contains(i))
            peers.push_back(fleet.addresses_[i]);
    }
    updateLimitPeers(fleet.daemons_[daemon].limits_, fleet.limitSettings_,
                     peersAfterDepartures(fleet.daemons_[daemon].limits_, fleet.addresses_[daemon],
                                          std::move(peers), fleet.now_),
                     fleet.now_);
}

inline void start(Fleet &fleet, std::size_t daemon, const std::set<std::size_t> &missing = {})
{
    Daemon fresh;
    fresh.group_ = fleet.daemons_[daemon].group_;
    fresh.limits_.address_ = fleet.addresses_[daemon].address_;
    fleet.daemons_[daemon] = fresh;
    setPeers(fleet, daemon, missing);
}

inline ColdTarget makeTarget(std::size_t number, const std::string &zone = "z0")
{
    return ColdTarget {InstanceProcess {UpstreamId {"i-" + std::to_string(number)}, WallTime {}},
                       ZoneId {zone}, perSecond};
}

inline Fleet makeFleet(std::size_t size)
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
inline void recordSent(Fleet &fleet, const ColdTarget &target)
{
    const bool late = std::bernoulli_distribution(0.25)(fleet.random_);
    fleet.arrivals_[target.process_.instance_].push_back(fleet.now_
                                                         + (late ? connectTimeout : Millis {}));
}

/// @return false if the message is lost
inline bool post(Fleet &fleet, std::size_t from, std::size_t to,
                 std::variant<PermitRequest, PermitReply> content)
{
    if (fleet.daemons_[from].group_ != fleet.daemons_[to].group_
        || std::bernoulli_distribution(fleet.lossRate_)(fleet.random_))
        return false;
    fleet.messages_.push_back(Message {fleet.now_ + messageDelay, from, to, std::move(content)});
    return true;
}

inline const ColdTarget &targetOf(const Fleet &fleet, const InstanceProcess &process)
{
    return *std::find_if(fleet.targets_.begin(), fleet.targets_.end(),
                         [&](const ColdTarget &target) { return target.process_ == process; });
}

/// A request for the instance arrives at a daemon. It is sent, waits for a permit, or uses another
/// instance.
inline void request(Fleet &fleet, std::size_t index, const ColdTarget &target)
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

inline void deliver(Fleet &fleet, const Message &message)
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
inline void expireRequests(Fleet &fleet, Daemon &daemon)
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

inline void freeze(Fleet &fleet, std::size_t daemon)
{
    fleet.daemons_[daemon].frozen_ = true;
}

inline void thaw(Fleet &fleet, std::size_t daemon)
{
    fleet.daemons_[daemon].frozen_ = false;
    const std::vector<Message> held = std::exchange(fleet.daemons_[daemon].held_, {});
    for (const Message &message : held)
        deliver(fleet, message);
}

/// Runs the fleet while each daemon has @a demand requests per second for each instance.
inline void run(Fleet &fleet, Millis time, double demand)
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
inline std::size_t mostInSecond(const Fleet &fleet)
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

inline std::size_t sentCount(const Fleet &fleet)
{
    std::size_t count = 0;
    for (const auto &[instance, arrivals] : fleet.arrivals_)
        count += arrivals.size();
    return count;
}

inline const double bound = perSecond * overrun + slack;

inline void checkBound(const Fleet &fleet)
{
    CHECK(static_cast<double>(mostInSecond(fleet)) <= bound);
}

/// Returns the daemons that are first and second in rank for the first instance.
inline std::vector<std::size_t> ranked(const Fleet &fleet)
{
    std::vector<PeerAddress> daemons = fleet.addresses_;
    const ColdTarget &target = fleet.targets_.front();
    sortForInstance(daemons, target.process_.instance_, target.zone_, 4);
    std::vector<std::size_t> indexes;
    indexes.reserve(daemons.size());
    for (const PeerAddress &daemon : daemons)
        indexes.push_back(indexOf(fleet, daemon.host_));
    return indexes;
}

} // namespace tamarack::coldfleet
