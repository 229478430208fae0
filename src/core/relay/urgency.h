// The order in which requests compete for tokens, instances and engines.
#pragma once

#include "core/relay/config.h"

#include <optional>

namespace tamarack {

/// @brief Returns the urgency of a request: the priority of its account, or of its route if the
/// account has none. 0 is the most urgent.
/// @param account nullptr if the request has no account
inline int urgencyOf(const RelayRoute &route, const RelayAccount *account)
{
    return account && account->priority_ ? *account->priority_ : route.priority_;
}

} // namespace tamarack
