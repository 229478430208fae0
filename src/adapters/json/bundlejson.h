// Parsing of bundles from JSON documents, either a whole bundle or its parts.
#pragma once

#include "adapters/json/validationerror.h"

#include "core/bundle.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/// Maximum size of a bundle document; 940,000 budgets take about 70 MB.
inline constexpr std::size_t maxBundleBytes = 128U << 20U;
/// Maximum size of a part. The store accepts values of up to 1 MB, and base64 adds a third.
inline constexpr std::size_t maxPartBytes = 512U << 10U;
inline constexpr std::int64_t maxBudgetSegments = 16'384;

/// @brief The parsed content of one bundle part. It is shared by all versions that contain the
/// part.
struct ParsedBundlePart
{
    /// Accounts, upstreams, routes and policies of the part, without budgets.
    Bundle content_;
    bool hasAccounts_ = false;
    bool hasPolicies_ = false;
    /// Budgets of the part; null if it has none.
    std::shared_ptr<const BudgetSegment> budgets_;
    /// Index of budgets_ among the segmentCount_ segments of the bundle.
    std::uint32_t segmentIndex_ = 0;
    std::uint32_t segmentCount_ = 1;
    /// Client accounts that own budgets of the part.
    std::set<AccountId> budgetOwners_;
};

/// @brief Parses one part of a bundle.
/// @param errors receives all validation errors; the result is valid only if it stays empty
/// @note O(size of the part)
ParsedBundlePart parseBundlePart(const std::string &text, ValidationErrors &errors);

/// @brief Joins the parts of a bundle and validates the result.
/// @param parsedParts the parts in the order of the manifest
/// @param errors receives all validation errors; the result is valid only if it stays empty
/// @note O(accounts + upstreams + routes + parts); budgets are shared, not copied
Bundle assembleBundle(const std::vector<std::shared_ptr<const ParsedBundlePart>> &parsedParts,
                      ValidationErrors &errors);

/// @brief Parses and validates a bundle document.
///
/// The version is not part of the document; it comes from the signed manifest.
/// @param errors receives all validation errors; the result is valid only if it stays empty
/// @note O(size of the document)
Bundle parseBundle(const std::string &text, ValidationErrors &errors);

} // namespace tamarack
