// Homes: the regions whose instances may run a request, as its route and its account allow.
#pragma once

#include "core/ids.h"
#include "core/relay/config.h"

#include <map>
#include <optional>
#include <set>

namespace tamarack {

/// @brief Returns the regions that both a route and an account allow; nothing if neither has a
/// list, so that all regions are allowed.
/// @param account nullptr if the request has no account
std::optional<std::set<RegionId>> allowedRegions(const RelayRoute &route,
                                                 const RelayAccount *account);

/// @brief Returns true if a zone is in one of the allowed regions. A zone of unknown region is in
/// none.
/// @param regions the region of each zone
bool isAllowedZone(const std::map<ZoneId, RegionId> &regions, const std::set<RegionId> &allowed,
                   const ZoneId &zone);

/// @brief Returns true if any zone is in one of the allowed regions.
/// @param regions the region of each zone
bool hasAllowedZone(const std::map<ZoneId, RegionId> &regions, const std::set<RegionId> &allowed);

} // namespace tamarack
