// Route and service lookup in the configuration of a relay fleet.
#include "core/relay/config.h"

#include "core/hash.h"

#include <algorithm>
#include <cctype>

namespace tamarack {

namespace {

bool sameHost(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x))
            == std::tolower(static_cast<unsigned char>(y));
    });
}

} // namespace

const RelayRoute *findRoute(const RelayConfig &config, std::string_view host, std::string_view path)
{
    const std::string_view pathOnly = path.substr(0, path.find('?'));
    const std::string_view name = host.substr(0, host.rfind(':'));
    const RelayRoute *best = nullptr;
    for (const RelayRoute &route : config.routes_) {
        if (!pathOnly.starts_with(route.pathPrefix_) || !sameHost(route.host_, name))
            continue;
        if (!best || route.pathPrefix_.size() > best->pathPrefix_.size())
            best = &route;
    }
    return best;
}

std::vector<ServiceId> servicesInOrder(const RelayRoute &route, const RequestId &request)
{
    std::uint64_t total = 0;
    for (const RelayTarget &target : route.targets_)
        total += target.weight_;
    std::vector<ServiceId> services;
    if (total == 0)
        return services;
    std::uint64_t point = hash64(request.value_) % total;
    std::size_t chosen = 0;
    while (point >= route.targets_[chosen].weight_)
        point -= route.targets_[chosen++].weight_;
    services.push_back(route.targets_[chosen].service_);
    for (std::size_t i = 0; i < route.targets_.size(); ++i) {
        if (i != chosen && route.targets_[i].weight_ > 0)
            services.push_back(route.targets_[i].service_);
    }
    return services;
}

} // namespace tamarack
