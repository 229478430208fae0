// The settings file of a daemon.
#pragma once

#include "adapters/json/validationerror.h"

#include "core/core.h"

#include <map>
#include <string>
#include <vector>

namespace tamarack {

/// @brief An operator whose signature on bundles is trusted.
struct TrustedOperator
{
    OperatorId id_;
    /// Raw Ed25519 public key in base64.
    std::string publicKey_;
};

/// @brief Timeouts and limits of the messages between daemons.
struct PeerOptions
{
    MembershipSettings membership_;
    HomeSettings home_;
    Millis lease_ {15'000};
    std::size_t maxMessageBytes_ = 1U << 20U;
    /// Maximum number of messages queued for one peer.
    std::size_t maxQueuedMessages_ = 1000;
};

/// @brief Settings of one daemon. Addresses are "IP:port".
struct Settings
{
    HostId host_;
    ZoneId zone_;
    std::string callerAddress_;
    /// Maximum number of open caller connections; each is served by one thread.
    std::uint32_t maxCallerConnections_ = 256;
    std::size_t maxRequestBytes_ = 4U << 20U;
    std::string adminAddress_;
    /// SHA-256 of each operator token that the admin listener accepts, in lower-case hexadecimal.
    std::vector<std::string> adminTokensSha256_;
    /// Listener for messages of other daemons; empty if the daemon runs without peers.
    std::string peerAddress_;
    PeerOptions peers_;
    std::vector<std::string> storeEndpoints_;
    std::string storePrefix_ = "/tamarack";
    Millis storeTimeout_ {1000};
    std::uint32_t storeThreads_ = 4;
    std::string hostListAddress_;
    Millis hostListInterval_ {5000};
    std::vector<TrustedOperator> operators_;
    Millis flushInterval_ {1000};
    Millis redrawInterval_ {250};
    Millis silenceLimit_ {5000};
    Millis stopTimeout_ {Seconds {300}};
    std::uint32_t maxAttempts_ = 3;
};

/// @brief Parses and validates a settings document.
/// @param errors receives all validation errors; the result is valid only if it stays empty
Settings parseSettings(const std::string &text, ValidationErrors &errors);

/// @brief Returns the settings of the control state machine.
/// @param holder id of this run of the daemon
ControlSettings controlSettings(const Settings &settings, HolderId holder);

} // namespace tamarack
