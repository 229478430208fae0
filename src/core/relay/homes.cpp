// Homes: the regions whose instances may run a request.
#include "core/relay/homes.h"

#include <algorithm>
#include <iterator>

namespace tamarack {

std::optional<std::set<RegionId>> allowedRegions(const RelayRoute &route,
                                                 const RelayAccount *account)
{
    const std::set<RegionId> &byRoute = route.allowedRegions_;
    if (!account || account->allowedRegions_.empty())
        return byRoute.empty() ? std::nullopt : std::optional(byRoute);
    if (byRoute.empty())
        return account->allowedRegions_;
    std::set<RegionId> both;
    std::set_intersection(byRoute.begin(), byRoute.end(), account->allowedRegions_.begin(),
                          account->allowedRegions_.end(), std::inserter(both, both.end()));
    return both;
}

bool isAllowedZone(const std::map<ZoneId, RegionId> &regions, const std::set<RegionId> &allowed,
                   const ZoneId &zone)
{
    const auto region = regions.find(zone);
    return region != regions.end() && allowed.contains(region->second);
}

bool hasAllowedZone(const std::map<ZoneId, RegionId> &regions, const std::set<RegionId> &allowed)
{
    return std::any_of(regions.begin(), regions.end(),
                       [&allowed](const auto &entry) { return allowed.contains(entry.second); });
}

} // namespace tamarack
