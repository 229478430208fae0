// Public header of the relay daemon, which connects the control logic of the relay to a store, an
// HTTP front end and a log. Each deployment supplies the ports and names of its platform.
#pragma once

#include "adapters/relayhttp/relayhttp.h"

#include "core/error.h"
#include "core/relay/relay.h"
#include "ports/feed.h"
#include "ports/ports.h"

#include <functional>
#include <string>

namespace tamarack {

/// @brief Keys and decoders of the documents in the store that the platform writes.
struct RelayDocuments
{
    std::string configKey_;
    std::string instancePrefix_;
    std::function<Result<RelayConfig>(const std::string &text)> decodeConfig_;
    std::function<Result<Instance>(const std::string &id, const std::string &text)> decodeInstance_;
    /// Prefix of all documents that the operator writes, the configuration among them.
    std::string operatorPrefix_ {};
    /// Prefix of the requests to evacuate an availability zone, followed by the zone. Begins with
    /// operatorPrefix_; empty if evacuations are not followed.
    std::string evacuationPrefix_ {};
};

/// @brief Ports and names that the platform supplies.
struct RelayPlatform
{
    /// Creates the ports to the store at an address.
    std::function<StorePort(const std::string &address)> makeStore_;
    std::function<FeedPort(const std::string &address)> makeFeed_;
    RelayDocuments documents_;
    HeaderNames headers_;
    std::string readinessPath_ = "/ready";
    std::string metricsPath_ = "/metrics";
};

/// @brief Runs a relay daemon until it receives SIGTERM or SIGINT. Exits the process at the end.
/// @param settingsPath JSON settings file; SIGHUP validates it again without applying it
/// @return the exit status of the process if the settings file is invalid
int runRelayDaemon(const RelayPlatform &platform, const std::string &settingsPath);

/// @brief Validates a settings file and prints its validation errors.
/// @return the exit status of the process
int checkRelaySettings(const std::string &settingsPath);

} // namespace tamarack
