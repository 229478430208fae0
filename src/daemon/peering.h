// This daemon's place among the others: peer socket, registration and the state that they need.
#pragma once

#include "adapters/json/json.h"
#include "adapters/peers/peers.h"
#include "daemon/controlloop.h"
#include "runtime/registration.h"

#include <optional>

namespace tamarack {

/// @brief Everything that runs only if the settings name a peer address.
struct Peering
{
    std::optional<PeerSocket> socket_;
    RegistrationThreads registration_;
};

/// @brief Fills the membership of @a state and starts socket and threads.
/// @return false if the peer address can't be listened on; the reason is logged
bool startPeering(Peering &peering, const Settings &settings, ControlState &state, StorePort store,
                  const EventPort &events, const LogPort &log);

/// @brief Connects the commands of the control loop.
void connectPeering(Peering &peering, ControlLoop &loop);

/// @brief Tells the store that this daemon is leaving.
void announceLeaving(Peering &peering);

/// @brief Revokes the registration and ends the threads.
void stopPeering(Peering &peering);

} // namespace tamarack
