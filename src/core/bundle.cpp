// Lookup functions for bundles.
#include "core/bundle.h"

namespace tamarack {

std::optional<KeyOwner> findKeyOwner(const Bundle &bundle, const std::string &keySha256)
{
    for (const auto &[id, account] : bundle.accounts_) {
        for (const KeyHash &key : account.keys_) {
            if (key.sha256_ == keySha256)
                return KeyOwner {id, key.defaultBudget_};
        }
    }
    return std::nullopt;
}

const ServiceRoute *findRoute(const Bundle &bundle, const ServiceId &service,
                              const std::string &method, const std::string &path)
{
    const ServiceRoute *best = nullptr;
    for (const ServiceRoute &route : bundle.routes_) {
        const bool matches = route.service_ == service
            && (route.method_.empty() || route.method_ == method)
            && path.starts_with(route.pathPrefix_);
        if (matches && (!best || route.pathPrefix_.size() > best->pathPrefix_.size()))
            best = &route;
    }
    return best;
}

} // namespace tamarack
