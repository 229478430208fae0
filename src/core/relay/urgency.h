// The order in which requests compete for tokens, instances and engines.
#pragma once

#include "core/relay/config.h"

#include <optional>
#include <set>

namespace tamarack {

/// @brief Returns the urgency of a request: the priority of its account, or of its route if the
/// account has none. 0 is the most urgent.
/// @param account nullptr if the request has no account
inline int urgencyOf(const RelayRoute &route, const RelayAccount *account)
{
    return account && account->priority_ ? *account->priority_ : route.priority_;
}

/// @brief Returns the distinct priorities of the routes and accounts of a configuration.
std::set<int> prioritiesOf(const RelayConfig &config);

/// @brief Returns the priority that an engine is told for a request, from 0 to 9, where 0 is the
/// most urgent. A less urgent request never gets a lower number than a more urgent one.
/// @param priorities all priorities of the configuration
/// @return std::nullopt if there is no more than one priority, so that there is nothing to tell
std::optional<int> enginePriority(const std::set<int> &priorities, int urgency);

} // namespace tamarack
