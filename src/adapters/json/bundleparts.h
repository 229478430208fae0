// Splitting of a bundle document into parts, so that a change rewrites only what it touches.
#pragma once

#include "core/error.h"

#include <string>
#include <vector>

namespace tamarack {

/// @brief The text of one part and its name in the manifest.
struct BundlePartText
{
    std::string name_;
    std::string content_;
};

/// @brief Splits a document into accounts, upstreams, routing and segments of budgets.
///
/// Equal documents give equal parts, whatever the order of their fields and budgets. The number of
/// budget segments is the smallest power of two whose segments stay below 96 KB; see
/// docs/decisions/bundle.md.
/// @pre parseBundle() finds no fault
/// @note O(document size)
Result<std::vector<BundlePartText>> splitBundle(const std::string &document);

} // namespace tamarack
