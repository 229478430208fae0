// Public header of the relay daemon: it connects the relay's decisions with ports to a store, a
// front end and a log. A deployment adds the ports and names of its platform.
#pragma once

#include "adapters/relayhttp/relayhttp.h"

#include "core/error.h"
#include "core/relay/relay.h"
#include "ports/feed.h"
#include "ports/ports.h"

#include <functional>
#include <string>

namespace tamarack {

/// @brief Keys and formats of the documents that others keep in the store.
struct RelayDocuments
{
    std::string configKey_;
    std::string instancePrefix_;
    std::function<Result<RelayConfig>(const std::string &text)> decodeConfig_;
    std::function<Result<Instance>(const std::string &id, const std::string &text)> decodeInstance_;
};

/// @brief What the platform adds to the daemon.
struct RelayPlatform
{
    /// Makes the ports to the store at an address.
    std::function<StorePort(const std::string &address)> makeStore_;
    std::function<FeedPort(const std::string &address)> makeFeed_;
    RelayDocuments documents_;
    HeaderNames headers_;
    std::string readinessPath_ = "/ready";
    std::string metricsPath_ = "/metrics";
};

/// @brief Runs a relay daemon until it is asked to stop by SIGTERM or SIGINT.
/// @param settingsPath JSON settings file; SIGHUP has it checked again
/// @return the exit status of the process
int runRelayDaemon(const RelayPlatform &platform, const std::string &settingsPath);

/// @brief Checks a settings file and prints its faults.
/// @return the exit status of the process
int checkRelaySettings(const std::string &settingsPath);

} // namespace tamarack
