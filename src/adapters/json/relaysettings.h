// The settings file of a relay daemon.
#pragma once

#include "adapters/json/validationerror.h"

#include "core/relay/relay.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Settings of a relay daemon. Addresses are "IP:port".
struct RelayDaemonSettings
{
    HostId host_;
    ZoneId zone_;
    std::string clientAddress_;
    /// Listener for readiness and metrics requests.
    std::string localAddress_;
    /// Listener for metrics requests only; empty if metrics are served on the local address only.
    std::string metricsAddress_;
    /// Listener for messages of other daemons; empty if the daemon uses the store only.
    std::string peerAddress_;
    /// Listener for requests of daemons that reach no instance; empty if none are taken over. Only
    /// daemons of this fleet may be able to reach it.
    std::string handoverAddress_;
    /// Peer listeners of other daemons to contact before the store has listed any.
    std::vector<std::string> seeds_;
    std::string storeAddress_;
    std::string storePrefix_ = "tamarack";
    std::uint32_t ledgerShards_ = 1;
    /// Time after a disturbance of the store within which all its changes must be known again.
    Millis settleTime_ {3000};
    /// Time within which a change takes effect, from its confirmation by the store.
    Millis applyTime_ {2000};
    std::size_t maxFileDescriptors_ = 1024;
    /// Processor cores that this host has for the daemon; 0 if unknown. Larger hosts are preferred
    /// for work on behalf of other daemons.
    double processorCores_ = 0.0;
    /// Capacity of the network link in each direction, in megabits per second; 0 if unknown. A
    /// daemon whose requests and responses fill the link leaves the rotation.
    double linkMbps_ = 0.0;
    /// Memory that the process may use, in megabytes; 0 if it is not limited. Requests wait or are
    /// refused when their buffers would exceed a part of it.
    double memoryMb_ = 0.0;
    /// An instance that was reported as leaving may get requests for this long.
    Millis drainTimeout_ {2000};
    /// Maximum time from the stop signal to the exit of the process.
    Millis stopTimeout_ {8000};
    SharedRetryLimit retries_;
    /// Time within which the evacuation of an availability zone takes effect. Evacuations are not
    /// followed without a value.
    std::optional<Millis> evacuationTime_ {};
    /// All daemons together may send a cold instance its rate times coldOverrun_ plus coldSlack_
    /// requests in any second.
    double coldOverrun_ = 1.0;
    double coldSlack_ = 0.0;
    /// Region of each availability zone.
    std::map<ZoneId, RegionId> regions_ {};
    /// Number of live daemons from which on shortages of prepaid tokens are managed; 0 if they
    /// never are.
    std::uint32_t manageShortageFrom_ = 0;
    /// Number of live daemons from which on they tell each other the load that they cause at the
    /// instances; 0 if they never do.
    std::uint32_t shareLoadFrom_ = 0;
};

/// @brief Parses and validates a settings document.
/// @param errors receives all validation errors; the result is valid only if it stays empty
RelayDaemonSettings parseRelaySettings(const std::string &text, ValidationErrors &errors);

/// @brief Returns the settings of the control state machine.
RelaySettings relayControlSettings(const RelayDaemonSettings &settings);

} // namespace tamarack
