// The peer socket and the registration of this daemon, which other daemons use to find it.
#pragma once

#include "adapters/json/json.h"
#include "adapters/peers/peers.h"
#include "daemon/controlloop.h"
#include "runtime/registration.h"

#include <optional>

namespace tamarack {

/// @brief The components that run only if the settings contain a peer address.
struct Peering
{
    std::optional<PeerSocket> socket_;
    RegistrationThreads registration_;
};

/// @brief Sets the membership and home settings of @a state and starts socket and threads.
/// @return false if the peer socket can't be bound; the error is logged
bool startPeering(Peering &peering, const Settings &settings, ControlState &state, StorePort store,
                  const EventPort &events, const LogPort &log);

/// @brief Sets the callbacks of the control loop that need the peer socket or the registration.
void connectPeering(Peering &peering, ControlLoop &loop);

/// @brief Marks the registration of this daemon in the store as leaving.
void announceLeaving(Peering &peering);

/// @brief Revokes the registration and stops the threads.
void stopPeering(Peering &peering);

} // namespace tamarack
