// Requests that other daemons take over while this host reaches no instance. Internal to the
// library.
#pragma once

#include "core/relay/relaycontrol.h"

namespace tamarack::relaydetail {

/// @brief Returns true if this daemon can serve no request.
bool isUnable(const RelayState &state);

/// @brief Hands a request to another daemon.
/// @return false if there is none that may take it over
bool handOver(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out);

/// @brief Hands a request over if this host is cut off from all instances, or refuses it at once if
/// no other daemon takes it over.
/// @return false if the request may be sent to an instance
bool handOverIfCutOff(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out);

/// @brief Handles the end of an attempt that was handed to another daemon.
void onPeerAttemptEnded(RelayState &state, RelayedRequest &active, const RelayAttemptEnded &ended,
                        MonoTime now, RelayCommands &out);

/// @brief Records what an attempt shows of the connections of this host to the instances.
void recordReachability(RelayState &state, const RelayedRequest &active,
                        const RelayAttemptEnded &ended, MonoTime now, RelayCommands &out);

/// @brief Records that a connection to an instance was opened.
/// @param since when it was begun
void recordInstanceReached(RelayState &state, MonoTime since, MonoTime now, RelayCommands &out);

/// @brief Probes instances while this host is cut off.
void runReachability(RelayState &state, MonoTime now, RelayCommands &out);

void onEvent(RelayState &state, const InstanceProbed &event, MonoTime now, RelayCommands &out);

} // namespace tamarack::relaydetail
