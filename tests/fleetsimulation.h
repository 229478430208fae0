// A fleet of relays before a few instances, with a store of registrations and a simulated clock,
// for unit tests. The test decides when each registration returns and when each relay reads them.
#pragma once

#include "relayfixture.h"

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace tamarack::fleetsimulation {

inline constexpr Millis step {20};
inline constexpr Millis messageDelay {5};
inline constexpr std::size_t instances = 3;

struct Message
{
    MonoTime at_ {};
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    PeerMessage content_;
};

struct Relay
{
    RelayFixture fixture_;
    bool isDead_ = false;
};

struct Fleet
{
    std::vector<Relay> relays_;
    /// Relays whose registrations the store has.
    std::set<std::size_t> registered_;
    StoreEra era_;
    std::deque<Message> messages_;
    MonoTime now_ {Seconds {1000}};
    /// Requests a second that the instances state as their limit; nothing if they state none.
    std::optional<double> limit_;
    /// For how long the instances say that they are cold; not at all if it is nothing.
    std::optional<Millis> coldFor_;
    /// Requests sent to each instance.
    std::map<UpstreamId, std::vector<MonoTime>> sent_;
    /// The last number of connections to an instance that each relay permitted itself.
    std::map<std::size_t, std::uint32_t> connections_;
    std::size_t lastRequest_ = 0;
};

inline std::string hostOf(std::size_t relay)
{
    return "d" + std::to_string(relay);
}

inline Registration registrationOf(std::size_t relay)
{
    const std::string host = hostOf(relay);
    return Registration {HostId {host}, HolderId {host + "-1"}, ZoneId {"near"}, host, false, 100};
}

/// Passes the messages of a relay on, and responds to its requests after a step.
inline void run(Fleet &fleet, std::size_t index, const RelayCommands &commands)
{
    RelayFixture &fixture = fleet.relays_[index].fixture_;
    for (const RelayCommand &command : commands) {
        if (const auto *message = std::get_if<SendPeer>(&command)) {
            // The address of a relay is its host.
            const auto to = static_cast<std::size_t>(std::stoul(message->address_.substr(1)));
            fleet.messages_.push_back(
                Message {fleet.now_ + messageDelay, index, to, message->message_});
        } else if (const auto *sent = std::get_if<SendAttempt>(&command)) {
            fleet.sent_[sent->instance_].push_back(fleet.now_);
            fleet.connections_[index] = sent->maxConnections_;
            InstanceNotice notice;
            notice.requestLimit_ = fleet.limit_;
            notice.coldRemaining_ = fleet.coldFor_;
            handleRelayEvent(fixture.state_, InstanceNoticeReceived {sent->instance_, notice},
                             fleet.now_);
            handleRelayEvent(fixture.state_, ended(*sent, AttemptEnd::Delivered, 200), fleet.now_);
        }
    }
}

inline void postEvent(Fleet &fleet, std::size_t relay, const RelayEvent &event)
{
    if (fleet.relays_[relay].isDead_)
        return;
    run(fleet, relay, handleRelayEvent(fleet.relays_[relay].fixture_.state_, event, fleet.now_));
}

inline void read(Fleet &fleet, std::size_t relay)
{
    RegistrationsLoaded seen;
    for (const std::size_t registered : fleet.registered_)
        seen.members_.push_back(RegisteredMember {registrationOf(registered), Revision {1}});
    seen.era_ = fleet.era_;
    postEvent(fleet, relay, countFleet(seen, HostId {hostOf(relay)}, ZoneId {"near"}));
}

/// Starts the process of a relay. It knows the seeds, and has not read any registrations.
inline void start(Fleet &fleet, std::size_t relay)
{
    fleet.relays_[relay] = Relay {};
    RelayFixture &fixture = fleet.relays_[relay].fixture_;
    fixture.now_ = fleet.now_;
    RelayState &state = fixture.state_;
    state.settings_.host_ = HostId {hostOf(relay)};
    state.settings_.capacity_ = 100;
    state.limits_.address_ = hostOf(relay);
    state.members_.self_ = state.settings_.host_;
    state.members_.zone_ = ZoneId {"near"};
    for (const std::size_t seed : {0U, 1U, 2U}) {
        if (seed != relay)
            state.members_.seeds_.push_back(
                PeerAddress {HostId {hostOf(seed)}, ZoneId {}, hostOf(seed), 0});
    }
    setUp(fixture);
    auto config = makeConfig(2);
    config->accounts_.at(AccountId {"acme"}).prepaid_.reset();
    handleRelayEvent(state, ConfigReceived {config, ChangeSource::Store}, fleet.now_);
    InstancesListed listed {{}, Revision {9}, ChangeSource::Store};
    for (std::size_t i = 0; i < instances; ++i)
        listed.instances_.push_back(makeInstance("a" + std::to_string(i), "app", 6 + i));
    handleRelayEvent(state, listed, fleet.now_);
}

inline void deliver(Fleet &fleet, const Message &message)
{
    const HostId from {hostOf(message.from_)};
    const auto received = [&](const RelayEvent &event) {
        postEvent(fleet, message.to_, event);
    };
    if (const auto *request = std::get_if<PermitRequest>(&message.content_))
        received(PermitRequestReceived {from, *request});
    else if (const auto *reply = std::get_if<PermitReply>(&message.content_))
        received(PermitReplyReceived {from, *reply});
    else if (const auto *report = std::get_if<QuarantineReport>(&message.content_))
        received(QuarantineReportReceived {from, *report});
    else if (const auto *asked = std::get_if<PresenceRequest>(&message.content_))
        received(PresenceRequestReceived {from, *asked});
    else if (const auto *presence = std::get_if<PresenceReply>(&message.content_))
        received(PresenceReplyReceived {from, *presence});
}

/// Runs the fleet, while each relay gets a request every @a interval.
inline void passTime(Fleet &fleet, Millis time, Millis interval)
{
    for (const MonoTime end = fleet.now_ + time; fleet.now_ < end;) {
        fleet.now_ += step;
        while (!fleet.messages_.empty() && fleet.messages_.front().at_ <= fleet.now_) {
            const Message message = fleet.messages_.front();
            fleet.messages_.pop_front();
            deliver(fleet, message);
        }
        const auto sinceStart = std::chrono::duration_cast<Millis>(fleet.now_.time_since_epoch());
        for (std::size_t i = 0; i < fleet.relays_.size(); ++i) {
            Relay &relay = fleet.relays_[i];
            if (relay.isDead_)
                continue;
            relay.fixture_.now_ = fleet.now_;
            run(fleet, i, runDueWork(relay.fixture_.state_, fleet.now_));
            if (sinceStart % interval == Millis {})
                postEvent(fleet, i, RequestRead {makeRequest(relay.fixture_, "safe")});
        }
    }
}

/// Has all relays read the registrations one after the other, as often as the time says.
inline void passTimeWithReads(Fleet &fleet, Millis time, Millis interval)
{
    constexpr Millis readInterval {Seconds {6}};
    for (const MonoTime end = fleet.now_ + time; fleet.now_ < end;) {
        for (std::size_t i = 0; i < fleet.relays_.size(); ++i) {
            read(fleet, i);
            passTime(fleet, readInterval / static_cast<Millis::rep>(fleet.relays_.size()),
                     interval);
        }
    }
}

/// Makes a fleet that has been listed for long.
inline Fleet makeFleet(std::size_t size)
{
    Fleet fleet;
    fleet.relays_.resize(size);
    for (std::size_t i = 0; i < size; ++i) {
        fleet.registered_.insert(i);
        start(fleet, i);
    }
    for (int second = 0; second < 24; second += 6) {
        for (std::size_t i = 0; i < size; ++i)
            read(fleet, i);
        passTime(fleet, Seconds {6}, Seconds {100'000});
    }
    return fleet;
}

/// Returns the most requests that one instance got within a window, of those sent at @a from or
/// later.
inline std::size_t mostInWindow(const Fleet &fleet, MonoTime from, Millis window = Seconds {4})
{
    std::size_t most = 0;
    for (const auto &[instance, sent] : fleet.sent_) {
        for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
            while (sent[first] < from || sent[last] - sent[first] > window) {
                if (first == last)
                    break;
                ++first;
            }
            if (sent[last] >= from)
                most = std::max(most, last - first + 1);
        }
    }
    return most;
}

/// Returns the number of requests sent at @a from or later.
inline std::size_t sentSince(const Fleet &fleet, MonoTime from)
{
    std::size_t count = 0;
    for (const auto &[instance, sent] : fleet.sent_)
        count += static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(), [from](MonoTime at) { return at >= from; }));
    return count;
}

} // namespace tamarack::fleetsimulation
