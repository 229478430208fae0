// Bundles as JSON documents, whole or in parts.
#pragma once

#include "adapters/json/fault.h"

#include "core/bundle.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/// Largest accepted document; 940,000 budgets take about 70 MB.
inline constexpr std::size_t maxBundleBytes = 128U << 20U;
/// Largest accepted part. A value of the store may have 1 MB, and base64 adds a third.
inline constexpr std::size_t maxPartBytes = 512U << 10U;
inline constexpr std::int64_t maxBudgetSegments = 16'384;

/// @brief The content of one part of a bundle. A daemon keeps it for as long as versions use it.
struct BundleSection
{
    /// Accounts, upstreams, routes and policies of the part; no budgets.
    Bundle content_;
    bool hasAccounts_ = false;
    bool hasPolicies_ = false;
    /// The part's budgets, or nothing if the part has none.
    std::shared_ptr<const BudgetSegment> budgets_;
    /// Place of budgets_ among segmentCount_ segments.
    std::uint32_t segmentIndex_ = 0;
    std::uint32_t segmentCount_ = 1;
    /// Client accounts that own the part's budgets.
    std::set<AccountId> budgetOwners_;
};

/// @brief Reads one part of a bundle.
/// @param faults receives every fault; the result is usable only if it stays empty
/// @note O(size of the part)
BundleSection parseBundlePart(const std::string &text, Faults &faults);

/// @brief Joins the parts of a bundle, in the order of the manifest, and checks them as a whole.
/// @param faults receives every fault; the result is usable only if it stays empty
/// @note O(accounts + upstreams + routes + parts); budgets are shared, not copied
Bundle assembleBundle(const std::vector<std::shared_ptr<const BundleSection>> &sections,
                      Faults &faults);

/// @brief Reads and checks a bundle document.
///
/// The version is not part of the document; it comes from the signed manifest.
/// @param faults receives every fault; the result is usable only if it stays empty
Bundle parseBundle(const std::string &text, Faults &faults);

} // namespace tamarack
