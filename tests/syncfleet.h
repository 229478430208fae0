// A fleet of daemons that learn the documents of the store from it or from each other, for unit
// tests without a network.
#pragma once

#include "core/relay/relay.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/// What one daemon of the simulated fleet can reach.
struct SimulatedDaemon
{
    DocumentSync sync_;
    PeerAddress address_;
    bool alive_ = true;
    bool reachesStore_ = true;
    bool reachesPeers_ = true;
    /// The path to the store is cut silently: watches hang and are not overdue yet.
    bool watchHangs_ = false;
    /// Last reply of the store.
    MonoTime contactAt_ {};
    /// When a change of the store, made while the daemon was in contact, would have been learned.
    MonoTime learnedAt_ {};
};

struct SyncFleet
{
    DocumentSyncSettings settings_;
    std::vector<SimulatedDaemon> daemons_;
    MonoTime now_ {Seconds {100}};
    /// Calls to the store, one for each watch that a daemon waits for.
    std::size_t storeCalls_ = 0;
};

inline constexpr Millis step {50};
inline constexpr Millis watchTime {1500};

inline SyncFleet makeFleet(std::size_t count, std::size_t zones)
{
    SyncFleet fleet;
    for (std::size_t i = 0; i < count; ++i) {
        SimulatedDaemon daemon;
        daemon.address_ = PeerAddress {HostId {"h" + std::to_string(i)},
                                       ZoneId {"z" + std::to_string(i % zones)},
                                       "h" + std::to_string(i) + ":1", 0};
        daemon.contactAt_ = fleet.now_;
        fleet.daemons_.push_back(daemon);
    }
    for (SimulatedDaemon &daemon : fleet.daemons_) {
        std::vector<PeerAddress> others;
        for (const SimulatedDaemon &other : fleet.daemons_) {
            if (other.address_.host_ != daemon.address_.host_)
                others.push_back(other.address_);
        }
        updateSyncPeers(daemon.sync_, daemon.address_, others);
    }
    return fleet;
}

inline bool isFollowing(const SyncFleet &fleet, const SimulatedDaemon &daemon)
{
    return daemon.alive_ && followsStore(daemon.sync_, fleet.settings_, fleet.now_);
}

inline bool hasContact(const SyncFleet &fleet, const SimulatedDaemon &daemon)
{
    return isFollowing(fleet, daemon) && daemon.reachesStore_;
}

inline void exchange(SyncFleet &fleet, SimulatedDaemon &daemon)
{
    for (const PeerAddress &target : nextSyncPeers(daemon.sync_, fleet.settings_, fleet.now_)) {
        const auto peer = std::find_if(
            fleet.daemons_.begin(), fleet.daemons_.end(),
            [&](const SimulatedDaemon &other) { return other.address_.host_ == target.host_; });
        if (!peer->alive_ || !peer->reachesPeers_ || !daemon.reachesPeers_)
            continue;
        recordDocumentsRequest(peer->sync_, fleet.now_);
        const bool contact = hasContact(fleet, *peer);
        const auto age = std::chrono::duration_cast<Millis>(fleet.now_ - peer->contactAt_);
        recordDocumentsReply(daemon.sync_, fleet.settings_, target.host_,
                             contact ? std::optional<Millis>(age) : std::nullopt, false,
                             fleet.now_);
        if (contact)
            daemon.learnedAt_ = std::max(daemon.learnedAt_, peer->contactAt_);
    }
}

inline void run(SyncFleet &fleet, Millis time)
{
    const MonoTime end = fleet.now_ + time;
    while (fleet.now_ < end) {
        fleet.now_ += step;
        for (SimulatedDaemon &daemon : fleet.daemons_) {
            if (!daemon.alive_)
                continue;
            const bool follows = isFollowing(fleet, daemon);
            if (follows != daemon.sync_.replyDueAt_.has_value())
                setFollowing(daemon.sync_, fleet.settings_, follows, fleet.now_);
            if (follows)
                setFeedAvailability(daemon.sync_, "feed", daemon.reachesStore_, fleet.now_);
            if (hasContact(fleet, daemon) && !daemon.watchHangs_) {
                recordStoreReply(daemon.sync_, fleet.settings_, fleet.now_, fleet.now_);
                daemon.contactAt_ = fleet.now_;
                daemon.learnedAt_ = fleet.now_;
            }
            if (follows && (fleet.now_.time_since_epoch() % watchTime) < step)
                ++fleet.storeCalls_;
            exchange(fleet, daemon);
        }
    }
}

inline std::size_t countFollowers(const SyncFleet &fleet)
{
    return static_cast<std::size_t>(
        std::count_if(fleet.daemons_.begin(), fleet.daemons_.end(),
                      [&](const SimulatedDaemon &daemon) { return isFollowing(fleet, daemon); }));
}

/// Returns the longest time that a live daemon with access to its peers has been without changes.
inline Millis oldestKnowledge(const SyncFleet &fleet)
{
    Millis oldest {};
    for (const SimulatedDaemon &daemon : fleet.daemons_) {
        if (daemon.alive_)
            oldest = std::max(oldest,
                              std::chrono::duration_cast<Millis>(fleet.now_ - daemon.learnedAt_));
    }
    return oldest;
}

inline SimulatedDaemon &observerOf(SyncFleet &fleet, const std::string &zone, std::size_t rank)
{
    const auto daemon = std::find_if(
        fleet.daemons_.begin(), fleet.daemons_.end(),
        [&](const SimulatedDaemon &candidate) { return candidate.address_.zone_.value_ == zone; });
    const HostId host = daemon->sync_.sameZone_.at(rank).host_;
    return *std::find_if(
        fleet.daemons_.begin(), fleet.daemons_.end(),
        [&](const SimulatedDaemon &candidate) { return candidate.address_.host_ == host; });
}

} // namespace tamarack
