// A fleet of daemons that lend tokens to each other and share one ledger key in memory, for unit
// tests without a network.
#pragma once

#include "prepaidfixture.h"

#include "core/relay/loans.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

inline std::vector<PeerAddress> peersOf(std::size_t count, std::size_t self, std::size_t zones = 1)
{
    std::vector<PeerAddress> peers;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string name = std::to_string(i);
        if (i != self)
            peers.push_back(PeerAddress {HostId {"h" + name},
                                         ZoneId {"z" + std::to_string(i % zones)},
                                         "10.0.0." + name + ":1", 0});
    }
    return peers;
}

inline PeerAddress selfAs(const std::string &name, const std::string &zone = "z0")
{
    return PeerAddress {HostId {name}, ZoneId {zone}, {}, 0};
}

struct Message
{
    HostId from_;
    SendPeer sent_;
};

/// A fleet with one account and the messages in flight.
struct Fleet
{
    PrepaidSettings settings_;
    std::size_t zones_ = 1;
    FakeStoreKey storeKey_;
    std::vector<Daemon> daemons_;
    std::deque<Message> messages_;
    /// The request that waits for tokens at a daemon, by its index, and what was reserved for such
    /// requests when a loan arrived.
    std::map<std::size_t, Tokens> waiting_;
    std::map<std::size_t, Reservation> granted_;
    MonoTime now_ {Seconds {10}};
    int starts_ = 0;
};

inline void startDaemon(Fleet &fleet, std::size_t index, std::int64_t prepaid)
{
    const std::string name = "h" + std::to_string(index);
    Daemon daemon = makeDaemon(name + "-" + std::to_string(++fleet.starts_), configWith(1, prepaid),
                               fleet.now_);
    const std::size_t count = fleet.daemons_.size();
    daemon.state_.daemons_ = static_cast<std::uint32_t>(count);
    daemon.state_.peerAddress_ = "10.0.0." + std::to_string(index) + ":1";
    updateLenders(daemon.state_.lenders_, selfAs(name, "z" + std::to_string(index % fleet.zones_)),
                  peersOf(count, index, fleet.zones_));
    fleet.daemons_[index] = std::move(daemon);
}

inline Fleet makeFleet(std::size_t count, std::int64_t prepaid, std::size_t zones = 1)
{
    Fleet fleet;
    fleet.zones_ = zones;
    fleet.daemons_.resize(count);
    for (std::size_t i = 0; i < count; ++i)
        startDaemon(fleet, i, prepaid);
    return fleet;
}

inline void collect(Fleet &fleet)
{
    for (Daemon &daemon : fleet.daemons_) {
        for (SendPeer &sent : std::exchange(daemon.state_.outbox_, {}))
            fleet.messages_.push_back(Message {daemon.state_.lenders_.self_, std::move(sent)});
    }
}

/// Reserves the tokens of a waiting request from a loan, before the rest of it may be returned.
inline void resumeWaiting(Fleet &fleet, std::size_t index)
{
    const auto waiting = fleet.waiting_.find(index);
    if (waiting == fleet.waiting_.end())
        return;
    const auto reservation = reserveTokens(fleet.daemons_[index].state_, fleet.settings_, acme,
                                           waiting->second, fleet.now_);
    if (!reservation)
        return;
    fleet.granted_[index] = *reservation;
    fleet.waiting_.erase(waiting);
}

inline void deliver(Fleet &fleet, const Message &message)
{
    for (std::size_t i = 0; i < fleet.daemons_.size(); ++i) {
        PrepaidState &state = fleet.daemons_[i].state_;
        if (state.lenders_.self_ != message.sent_.host_)
            continue;
        const PeerMessage &body = message.sent_.message_;
        if (const auto *request = std::get_if<LoanRequest>(&body))
            handleLoanRequest(state, fleet.settings_, *request, message.from_, fleet.now_);
        else if (const auto *reply = std::get_if<LoanReply>(&body)) {
            handleLoanReply(state, fleet.settings_, *reply, message.from_, fleet.now_);
            resumeWaiting(fleet, i);
            returnRecalledLoan(state, *reply);
        } else if (const auto *report = std::get_if<GrantReport>(&body))
            recordGrantReport(state, fleet.settings_, *report, fleet.now_);
    }
}

/// Delivers all messages, and those that are sent in response.
inline void deliverMessages(Fleet &fleet)
{
    collect(fleet);
    while (!fleet.messages_.empty()) {
        const Message message = fleet.messages_.front();
        fleet.messages_.pop_front();
        deliver(fleet, message);
        collect(fleet);
    }
}

/// Executes all store calls and delivers all messages that are due.
inline void runCallsAndMessages(Fleet &fleet)
{
    for (int round = 0; round < 6; ++round) {
        for (Daemon &daemon : fleet.daemons_) {
            runStoreCalls(daemon, fleet.storeKey_, fleet.now_);
            serveBorrowers(daemon.state_, fleet.settings_, fleet.now_);
        }
        deliverMessages(fleet);
    }
}

inline std::optional<Reservation> reserve(Fleet &fleet, std::size_t index, std::int64_t amount)
{
    return reserveTokens(fleet.daemons_[index].state_, fleet.settings_, acme, Tokens {amount},
                         fleet.now_);
}

inline std::size_t lenderIndex(const Fleet &fleet)
{
    for (std::size_t i = 0; i < fleet.daemons_.size(); ++i) {
        const LenderChoice choice
            = chooseLender(fleet.daemons_[i].state_.lenders_, fleet.settings_.lenders_,
                           LenderQuery {}, fleet.now_);
        if (choice.source_ == TokenSource::Ledger)
            return i;
    }
    return fleet.daemons_.size();
}

inline const PrepaidBalance &balanceOf(const Fleet &fleet, std::size_t index)
{
    return fleet.daemons_[index].state_.balances_.at(acme);
}

inline bool isValid(const Fleet &fleet)
{
    return std::all_of(fleet.daemons_.begin(), fleet.daemons_.end(), [](const Daemon &daemon) {
        return boost::leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(checkInvariants(daemon.state_));
                return true;
            },
            [] { return false; });
    });
}

} // namespace tamarack
