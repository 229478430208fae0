// Validation of an assembled bundle.
#include "adapters/json/bundlecheck.h"

#include <fmt/format.h>

#include <tuple>
#include <unordered_map>

namespace tamarack {

namespace {

void checkNotEmpty(bool empty, const char *path, const char *remedy, ValidationErrors &errors)
{
    if (empty)
        errors.push_back(ValidationError {path, "is empty", remedy});
}

void checkKeys(const Bundle &bundle, ValidationErrors &errors)
{
    std::unordered_map<std::string, AccountId> owners;
    for (const auto &[id, account] : bundle.accounts_) {
        checkNotEmpty(account.keys_.empty(), ("accounts." + id.value_ + ".keys").c_str(),
                      "add at least one key hash", errors);
        for (std::size_t i = 0; i < account.keys_.size(); ++i) {
            const KeyHash &key = account.keys_[i];
            const std::string path = fmt::format("accounts.{}.keys[{}]", id.value_, i);
            const auto budget = bundle.budgets_.find(key.defaultBudget_);
            if (budget == bundle.budgets_.end())
                errors.push_back(ValidationError {path + ".budget",
                                                  key.defaultBudget_.value_ + " is not in budgets",
                                                  "add the budget or correct the name"});
            else if (budget->second.account_ != id)
                errors.push_back(ValidationError {path + ".budget",
                                                  fmt::format("{} belongs to client account {}",
                                                              key.defaultBudget_.value_,
                                                              budget->second.account_.value_),
                                                  "name a budget of this client account"});
            const auto [owner, added] = owners.emplace(key.sha256_, id);
            if (!added)
                errors.push_back(ValidationError {
                    path + ".sha256", "is also a key of client account " + owner->second.value_,
                    "give each client account its own keys"});
        }
    }
}

void checkBudgetOwners(const Bundle &bundle,
                       const std::vector<std::shared_ptr<const ParsedBundlePart>> &parsedParts,
                       ValidationErrors &errors)
{
    std::set<AccountId> unknown;
    for (const auto &parsedPart : parsedParts) {
        for (const AccountId &owner : parsedPart->budgetOwners_) {
            if (!bundle.accounts_.contains(owner))
                unknown.insert(owner);
        }
    }
    if (unknown.empty())
        return;
    // The scan of all budgets is needed only to report the paths of errors.
    for (const auto &[id, budget] : bundle.budgets_) {
        if (unknown.contains(budget.account_))
            errors.push_back(ValidationError {fmt::format("budgets.{}.account", id.value_),
                                              budget.account_.value_ + " is not in accounts",
                                              "add the client account or correct the name"});
    }
}

void checkRoutes(const Bundle &bundle, ValidationErrors &errors)
{
    std::set<ServiceId> served;
    for (const auto &[id, upstream] : bundle.upstreams_) {
        if (upstream.kind_ == UpstreamKind::Service)
            served.insert(upstream.service_);
    }
    std::set<ServiceId> routed;
    std::set<std::tuple<ServiceId, std::string, std::string>> seen;
    for (std::size_t i = 0; i < bundle.routes_.size(); ++i) {
        const ServiceRoute &route = bundle.routes_[i];
        routed.insert(route.service_);
        const std::string path = fmt::format("routes[{}]", i);
        if (!served.contains(route.service_))
            errors.push_back(ValidationError {
                path + ".service", route.service_.value_ + " is not served by any upstream",
                "add an upstream or correct the name"});
        if (!seen.emplace(route.service_, route.method_, route.pathPrefix_).second)
            errors.push_back(ValidationError {
                path, "has the same service, method and pathPrefix as another route",
                "remove one"});
        if (!route.pathPrefix_.starts_with('/'))
            errors.push_back(
                ValidationError {path + ".pathPrefix", "does not start with /", "start it with /"});
    }
    for (const ServiceId &service : served) {
        if (!routed.contains(service))
            errors.push_back(ValidationError {"routes",
                                              "has no route for service " + service.value_,
                                              "add a route with idempotent and price"});
    }
}

} // namespace

void checkBundle(const Bundle &bundle,
                 const std::vector<std::shared_ptr<const ParsedBundlePart>> &parsedParts,
                 ValidationErrors &errors)
{
    checkNotEmpty(bundle.accounts_.empty(), "accounts", "add at least one client account", errors);
    checkNotEmpty(bundle.budgets_.empty(), "budgets", "add at least one budget", errors);
    checkNotEmpty(bundle.upstreams_.empty(), "upstreams", "add at least one upstream", errors);
    checkKeys(bundle, errors);
    checkBudgetOwners(bundle, parsedParts, errors);
    checkRoutes(bundle, errors);
}

} // namespace tamarack
