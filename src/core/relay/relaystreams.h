// Streams that continue at another instance, only at the software version that began them. Internal
// to the library.
#pragma once

#include "core/relay/relaycontrol.h"

#include <cstdint>
#include <optional>
#include <set>

namespace tamarack::relaydetail {

/// @brief Returns true if the response is a stream that may continue at another instance.
bool isResumable(const RelayedRequest &active);

/// @brief Returns the software versions of a service to which the request may be sent; nothing if
/// all are allowed.
std::optional<std::set<SoftwareVersion>>
allowedVersions(const RelayState &state, const RelayedRequest &active, const ServiceId &service);

/// @brief Adds the instances to which a connect has failed lately: another process may be there
/// when they are reachable again, and its version may not be known yet.
/// @note O(instances)
void addPossiblyRestarted(const RelayState &state, std::set<UpstreamId> &instances, MonoTime now);

/// @brief Returns the id by which a traffic split selects the service: that of the attempt that
/// began the stream, so that a client that takes it up reaches the same service.
const RequestId &splitId(const RelayedRequest &active);

/// @brief Ends a request if no instance is left at which its stream can continue.
/// @return false if there may be one
bool endWithoutOrigin(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out);

/// @brief Finds out where the stream of a new request began, if it continues one.
/// @return false if the request waits for it or was refused
bool findStreamOrigin(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out);

/// @brief Handles an expired wait in stage AwaitingOrigin.
void onOriginTimeout(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out);

/// @brief Records which attempt brought the first event of a stream, and tells other daemons.
/// @param attempt 0 if there was no event
void recordStreamBegan(RelayState &state, RelayedRequest &active, std::uint32_t attempt,
                       MonoTime now, RelayCommands &out);

/// @brief Records an entry before it is applied. Streams that began at the instance lately are of
/// uncertain origin if it is now another process of another version.
void noteEntry(RelayState &state, const ListedInstance &listed, MonoTime now, RelayCommands &out);

/// @brief Records the versions that are served now.
/// @note O(instances)
void noteServedVersions(RelayState &state, MonoTime now);

/// @brief Records the services that have resumable streams.
void noteStreamServices(RelayState &state, MonoTime now);

/// @brief Starts a call to the record of the versions if one is due, and publishes what has been
/// confirmed.
void runVersions(RelayState &state, MonoTime now, RelayCommands &out);

/// @brief Handles the reply to a call to the record of the versions.
/// @return false if the reply belongs to another call
bool onVersionReply(RelayState &state, const StoreReplied &event, MonoTime now, RelayCommands &out);

void onEvent(RelayState &state, const StreamBeganReceived &event, MonoTime now, RelayCommands &out);
void onEvent(RelayState &state, const StreamOriginRequestReceived &event, MonoTime now,
             RelayCommands &out);
void onEvent(RelayState &state, const StreamOriginReplyReceived &event, MonoTime now,
             RelayCommands &out);
void onEvent(RelayState &state, const MachineResumed &event, MonoTime now, RelayCommands &out);

} // namespace tamarack::relaydetail
