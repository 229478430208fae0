// The settings file of a relay daemon.
#pragma once

#include "adapters/json/fault.h"

#include "core/relay/relay.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tamarack {

/// @brief What a relay daemon reads at its start. Addresses are "IP:port".
struct RelayDaemonSettings
{
    HostId host_;
    ZoneId zone_;
    std::string clientAddress_;
    /// Readiness and metrics.
    std::string localAddress_;
    /// Metrics alone; empty if they are served on the local address only.
    std::string metricsAddress_;
    /// Other daemons' questions; without it the daemon learns from the store only.
    std::string peerAddress_;
    /// Listeners of daemons that may be asked before the store has named any.
    std::vector<std::string> seeds_;
    std::string storeAddress_;
    std::string storePrefix_ = "tamarack";
    std::uint32_t ledgerShards_ = 1;
    std::size_t descriptors_ = 1024;
    /// An instance that was reported as leaving may get requests for this long.
    Millis drainTimeout_ {2000};
    /// Time from the signal to stop to the end of the process.
    Millis stopLimit_ {8000};
    SharedRetryLimit retries_;
};

/// @brief Parses and checks a settings file.
/// @param faults gets every fault with its path and remedy
RelayDaemonSettings parseRelaySettings(const std::string &text, Faults &faults);

/// @brief Returns the settings of the control state.
RelaySettings relayControlSettings(const RelayDaemonSettings &settings);

} // namespace tamarack
