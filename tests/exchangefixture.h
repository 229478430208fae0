// Daemons that exchange documents in a test, without sockets.
#pragma once

#include "relayd/documents.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

inline RelayDocuments makeFormats()
{
    RelayDocuments formats;
    formats.configKey_ = "config";
    formats.instancePrefix_ = "instances/";
    formats.decodeConfig_ = [](const std::string &text) -> Result<RelayConfig> {
        RelayConfig config;
        config.version_ = ConfigVersion {std::stoull(text)};
        return config;
    };
    formats.decodeInstance_ = [](const std::string &id, const std::string &) -> Result<Instance> {
        Instance instance;
        instance.id_ = UpstreamId {id};
        return instance;
    };
    return formats;
}

inline constexpr Millis maxContactAge {3000};
inline constexpr Millis settleTime {4000};

/// A daemon's documents and the events that they cause.
struct ExchangeDaemon
{
    RelayDocuments formats_ = makeFormats();
    BlockingQueue<RelayEvent> queue_;
    DocumentReader reader_ {formats_, queue_, LogPort {[](const LogEvent &) {
                            }},
                            maxContactAge};
    FollowerHandlers config_ = configHandlers(reader_);
    FollowerHandlers instances_ = instanceHandlers(reader_);
    InstanceDirectory directory_;
    Evacuations evacuations_;
};

inline FeedEntry entry(const std::string &key, std::uint64_t revision,
                       const std::string &value = "1")
{
    return FeedEntry {StoreKey {key}, Revision {revision}, value};
}

/// Applies an event to the directory of instances and to the evacuations.
inline void applyEvent(ExchangeDaemon &daemon, const RelayEvent &event)
{
    const MonoTime now = std::chrono::steady_clock::now();
    if (const auto *listed = std::get_if<InstancesListed>(&event))
        applyListing(daemon.directory_, listed->instances_, listed->position_, now);
    else if (const auto *changed = std::get_if<InstanceChanged>(&event))
        upsertInstance(daemon.directory_, changed->listed_);
    else if (const auto *removed = std::get_if<InstanceRemoved>(&event))
        markMissing(daemon.directory_, removed->id_, removed->position_, now);
    else if (const auto *zones = std::get_if<EvacuationsListed>(&event))
        applyEvacuationListing(daemon.evacuations_, zones->evacuations_, zones->position_,
                               settleTime, now);
    else if (const auto *zone = std::get_if<EvacuationChanged>(&event))
        applyEvacuation(daemon.evacuations_, zone->listed_.zone_, zone->listed_.position_, now);
    else if (const auto *ended = std::get_if<EvacuationRemoved>(&event))
        removeEvacuation(daemon.evacuations_, ended->listed_.zone_, ended->listed_.position_, now);
}

/// Applies the posted events to the directory of instances.
/// @return the number of events
inline std::size_t applyEvents(ExchangeDaemon &daemon)
{
    std::size_t events = 0;
    const MonoTime now = std::chrono::steady_clock::now();
    while (const std::optional<RelayEvent> event = take(daemon.queue_, now)) {
        ++events;
        applyEvent(daemon, *event);
    }
    return events;
}

inline void list(ExchangeDaemon &daemon, const std::vector<FeedEntry> &entries,
                 std::uint64_t revision)
{
    daemon.instances_.onListing_(entries, Revision {revision});
    daemon.instances_.onProgress_(Revision {revision}, std::chrono::steady_clock::now());
    daemon.config_.onListing_({entry("config", 1)}, Revision {revision});
    daemon.config_.onProgress_(Revision {revision}, std::chrono::steady_clock::now());
    applyEvents(daemon);
}

/// Lists all documents as a store in an era does.
inline void listInEra(ExchangeDaemon &daemon, StoreEra era, const std::vector<FeedEntry> &entries,
                      const std::string &config, std::uint64_t revision)
{
    const StorePosition position {era, Revision {revision}};
    daemon.instances_.onListing_(entries, position);
    daemon.instances_.onProgress_(position, std::chrono::steady_clock::now());
    daemon.config_.onListing_({entry("config", revision - 1, config)}, position);
    daemon.config_.onProgress_(position, std::chrono::steady_clock::now());
}

/// Applies the posted events.
/// @return the newest configuration among them
inline ConfigVersion newestConfig(ExchangeDaemon &daemon)
{
    ConfigVersion newest;
    const MonoTime now = std::chrono::steady_clock::now();
    while (const std::optional<RelayEvent> event = take(daemon.queue_, now)) {
        if (const auto *config = std::get_if<ConfigReceived>(&*event))
            newest = std::max(newest, config->config_->version_);
        else
            applyEvent(daemon, *event);
    }
    return newest;
}

/// Lets @a receiver ask @a sender once.
inline DocumentsReply ask(ExchangeDaemon &receiver, ExchangeDaemon &sender)
{
    const DocumentsRequest request = makeDocumentsRequest(receiver.reader_, "127.0.0.1:1");
    DocumentsReply reply
        = makeDocumentsReply(sender.reader_, request, std::chrono::steady_clock::now());
    applyDocumentsReply(receiver.reader_, reply);
    return reply;
}

inline bool isKnown(const ExchangeDaemon &daemon, const std::string &id)
{
    const auto known = daemon.directory_.known_.find(UpstreamId {id});
    return known != daemon.directory_.known_.end() && !known->second.missingSince_;
}

} // namespace tamarack
