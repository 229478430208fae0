// An availability zone of daemons that learn the documents of the store from it or from each other
// over links of limited bandwidth, with a simulated clock, for unit tests.
#pragma once

#include "exchangefixture.h"

#include "adapters/peers/messagecodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarack::documentfleet {

inline constexpr Millis step {10};
inline constexpr Millis latency {1};
/// Time within which a configuration must be in force, from its confirmation by the store.
inline constexpr Millis applyTime {3000};
inline constexpr double bytesPerMegabit = 125'000.0;

/// One direction of a host's link, which transfers one message after the other.
struct Link
{
    double bytesPerSecond_ = 0.0;
    MonoTime freeAt_ {};
    std::uint64_t bytes_ = 0;
};

struct Host
{
    ExchangeDaemon daemon_;
    RelayState state_;
    PeerAddress address_;
    Link in_;
    Link out_;
    bool followsStore_ = false;
    bool awaitsStore_ = false;
    bool isDown_ = false;
    MonoTime nextStoreReply_ {};
    /// When a request would first have been decided by each version.
    std::map<ConfigVersion, MonoTime> appliedAt_;
};

/// A message, or a reply of the store if nobody sent it.
struct Delivery
{
    std::optional<std::size_t> from_;
    std::size_t to_ = 0;
    PeerMessage message_;
    Revision storeRevision_;
};

struct Fleet
{
    std::vector<std::unique_ptr<Host>> hosts_;
    std::multimap<MonoTime, Delivery> deliveries_;
    MonoTime now_ {Seconds {1000}};
    std::string config_;
    Revision revision_;
};

/// Returns a configuration as large as one with that many routes. Only the version is decoded.
inline std::string makeConfigText(std::uint64_t version, std::size_t routes)
{
    std::string text = std::to_string(version) + ' ';
    for (std::size_t i = 0; i < routes; ++i) {
        const std::string name = std::to_string(hash64("route" + std::to_string(i)) % 100'000'000);
        text += fmt::format(
            R"({{"id":"r-{0}","host":"shop.example","prefix":"/{0}/","streaming":true,)"
            R"("resumable":false,"timeout":4000,"latencyObjective":500,"gapObjective":300,)"
            R"("priority":1,"targets":["app"],"maxAttempts":2}})",
            name);
    }
    return text;
}

/// Returns when a message has crossed a link.
inline MonoTime transfer(Link &link, std::size_t bytes, MonoTime at)
{
    const std::chrono::duration<double> time {static_cast<double>(bytes) / link.bytesPerSecond_};
    link.freeAt_ = std::max(link.freeAt_, at) + std::chrono::duration_cast<Micros>(time);
    link.bytes_ += bytes;
    return link.freeAt_;
}

inline void send(Fleet &fleet, std::size_t from, const std::string &address, PeerMessage message)
{
    const auto to = static_cast<std::size_t>(std::stoul(address));
    Host &sender = *fleet.hosts_[from];
    const std::size_t bytes
        = encodePeerMessage(PeerEnvelope {sender.address_.host_, message}).size();
    const MonoTime sent = transfer(sender.out_, bytes, fleet.now_) + latency;
    if (fleet.hosts_[to]->isDown_)
        return;
    fleet.deliveries_.emplace(transfer(fleet.hosts_[to]->in_, bytes, sent),
                              Delivery {from, to, std::move(message), {}});
}

inline void execute(Fleet &fleet, std::size_t index, const RelayCommands &commands);

/// Handles the events that a host's documents have caused.
inline void handleEvents(Fleet &fleet, std::size_t index)
{
    Host &host = *fleet.hosts_[index];
    while (const std::optional<RelayEvent> event
           = take(host.daemon_.queue_, std::chrono::steady_clock::now())) {
        if (const auto *config = std::get_if<ConfigReceived>(&*event))
            host.appliedAt_.emplace(config->config_->version_, fleet.now_);
        execute(fleet, index, handleRelayEvent(host.state_, *event, fleet.now_));
    }
}

inline void execute(Fleet &fleet, std::size_t index, const RelayCommands &commands)
{
    Host &host = *fleet.hosts_[index];
    for (const RelayCommand &command : commands) {
        if (const auto *asked = std::get_if<RequestPeerDocuments>(&command)) {
            const DocumentsRequest request
                = makeDocumentsRequest(host.daemon_.reader_, host.address_.address_, *asked);
            for (const PeerAddress &peer : asked->peers_)
                send(fleet, index, peer.address_, request);
        } else if (const auto *follows = std::get_if<SetFollowsStore>(&command)) {
            host.followsStore_ = follows->follows_;
            if (!host.followsStore_)
                clearStoreContact(host.daemon_.reader_);
        }
    }
}

inline Revision knownRevision(const Host &host)
{
    return host.daemon_.reader_.cache_.feeds_.at("store.config").position_.revision_;
}

/// Has the store reply to a host that follows it, at once if it lacks the newest configuration.
inline void runStore(Fleet &fleet, std::size_t index)
{
    Host &host = *fleet.hosts_[index];
    const bool lacksConfig = knownRevision(host) < fleet.revision_;
    if (!host.followsStore_ || host.awaitsStore_ || host.isDown_
        || (!lacksConfig && fleet.now_ < host.nextStoreReply_))
        return;
    constexpr std::size_t smallReply = 200;
    // The store sends values as base64 text.
    const std::size_t bytes = lacksConfig ? fleet.config_.size() * 4 / 3 : smallReply;
    host.awaitsStore_ = true;
    fleet.deliveries_.emplace(transfer(host.in_, bytes, fleet.now_ + latency),
                              Delivery {std::nullopt, index, {}, fleet.revision_});
}

inline void deliverFromStore(Fleet &fleet, Host &host, Revision revision)
{
    host.awaitsStore_ = false;
    host.nextStoreReply_ = fleet.now_ + host.state_.settings_.sync_.contactInterval_;
    if (knownRevision(host) < revision)
        host.daemon_.config_.onChange_(FeedEntry {StoreKey {"config"}, revision, fleet.config_},
                                       {});
    host.daemon_.config_.onProgress_(revision, std::chrono::steady_clock::now());
    host.daemon_.instances_.onProgress_(Revision {1}, std::chrono::steady_clock::now());
}

inline void deliver(Fleet &fleet, const Delivery &delivery)
{
    Host &host = *fleet.hosts_[delivery.to_];
    if (host.isDown_)
        return;
    if (!delivery.from_) {
        deliverFromStore(fleet, host, delivery.storeRevision_);
        handleEvents(fleet, delivery.to_);
        return;
    }
    const HostId from = fleet.hosts_[*delivery.from_]->address_.host_;
    if (const auto *request = std::get_if<DocumentsRequest>(&delivery.message_)) {
        send(fleet, delivery.to_, request->replyAddress_,
             makeDocumentsReply(host.daemon_.reader_, *request, std::chrono::steady_clock::now()));
        execute(fleet, delivery.to_,
                handleRelayEvent(host.state_, DocumentsRequestReceived {from}, fleet.now_));
    } else if (const auto *reply = std::get_if<DocumentsReply>(&delivery.message_)) {
        receiveDocumentsReply(host.daemon_.reader_, from, *reply);
        handleEvents(fleet, delivery.to_);
    }
}

inline void passTime(Fleet &fleet, Millis time)
{
    for (const MonoTime end = fleet.now_ + time; fleet.now_ < end;) {
        fleet.now_ += step;
        while (!fleet.deliveries_.empty() && fleet.deliveries_.begin()->first <= fleet.now_) {
            const Delivery delivery = std::move(fleet.deliveries_.begin()->second);
            fleet.deliveries_.erase(fleet.deliveries_.begin());
            deliver(fleet, delivery);
        }
        for (std::size_t i = 0; i < fleet.hosts_.size(); ++i) {
            if (fleet.hosts_[i]->isDown_)
                continue;
            execute(fleet, i, runDueWork(fleet.hosts_[i]->state_, fleet.now_));
            runStore(fleet, i);
        }
    }
}

/// Adds hosts of a size. @param capacity thousandths of a core
inline void addHosts(Fleet &fleet, std::size_t count, std::uint32_t capacity, double megabits)
{
    for (std::size_t i = 0; i < count; ++i) {
        auto host = std::make_unique<Host>();
        const std::string number = std::to_string(fleet.hosts_.size());
        host->address_ = PeerAddress {HostId {"h" + number}, ZoneId {"near"}, number, capacity};
        host->in_.bytesPerSecond_ = host->out_.bytesPerSecond_ = megabits * bytesPerMegabit;
        RelaySettings &settings = host->state_.settings_;
        settings.host_ = host->address_.host_;
        settings.zone_ = host->address_.zone_;
        settings.capacity_ = capacity;
        settings.sync_ = documentSyncSettings(applyTime, settleTime);
        host->state_.followsStore_ = false;
        host->state_.sync_.startedAt_ = fleet.now_;
        host->daemon_.reader_.address_ = host->address_.address_;
        fleet.hosts_.push_back(std::move(host));
    }
}

/// Has the store confirm a new configuration.
inline void change(Fleet &fleet, std::string config)
{
    fleet.config_ = std::move(config);
    fleet.revision_ = Revision {fleet.revision_.value_ + 1};
}

/// Tells all daemons about each other, and has them learn the first configuration.
inline void settle(Fleet &fleet, std::string config)
{
    RegistrationsLoaded seen;
    for (const std::unique_ptr<Host> &host : fleet.hosts_)
        seen.members_.push_back(RegisteredMember {
            Registration {host->address_.host_, HolderId {host->address_.host_.value_ + "-1"},
                          host->address_.zone_, host->address_.address_, false,
                          host->address_.capacity_},
            Revision {1}});
    change(fleet, std::move(config));
    for (std::size_t i = 0; i < fleet.hosts_.size(); ++i) {
        Host &host = *fleet.hosts_[i];
        execute(fleet, i,
                handleRelayEvent(host.state_,
                                 countFleet(seen, host.address_.host_, host.address_.zone_),
                                 fleet.now_));
        host.daemon_.instances_.onListing_({}, Revision {1});
        host.daemon_.config_.onListing_(
            {FeedEntry {StoreKey {"config"}, fleet.revision_, fleet.config_}}, fleet.revision_);
        handleEvents(fleet, i);
    }
    passTime(fleet, Seconds {5});
}

} // namespace tamarack::documentfleet
