// The order in which requests compete for tokens, instances and engines.
#include "core/relay/urgency.h"

#include <algorithm>
#include <iterator>

namespace tamarack {

namespace {

constexpr int maxEnginePriority = 9;

} // namespace

std::set<int> prioritiesOf(const RelayConfig &config)
{
    std::set<int> priorities;
    for (const RelayRoute &route : config.routes_)
        priorities.insert(route.priority_);
    for (const auto &[id, account] : config.accounts_) {
        if (account.priority_)
            priorities.insert(*account.priority_);
    }
    return priorities;
}

std::optional<int> enginePriority(const std::set<int> &priorities, int urgency)
{
    if (priorities.size() < 2)
        return std::nullopt;
    if (*priorities.begin() >= 0 && *priorities.rbegin() <= maxEnginePriority)
        return std::clamp(urgency, 0, maxEnginePriority);
    // Numbers out of the range are replaced by their ranks, and neighbouring ranks share a number
    // if there are too many.
    const auto rank
        = static_cast<int>(std::distance(priorities.begin(), priorities.lower_bound(urgency)));
    const auto last = static_cast<int>(priorities.size()) - 1;
    return std::min(rank, last) * maxEnginePriority / std::max(last, maxEnginePriority);
}

} // namespace tamarack
