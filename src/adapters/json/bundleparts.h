// Splits a bundle document into parts, so that a change rewrites only the parts that contain it.
#pragma once

#include "core/error.h"

#include <string>
#include <vector>

namespace tamarack {

/// @brief The JSON text of one part and its name in the manifest.
struct BundlePartText
{
    std::string name_;
    std::string content_;
};

/// @brief Splits a document into accounts, upstreams, routing and segments of budgets.
///
/// Equal documents give equal parts, regardless of the order of their fields and budgets. The
/// number of budget segments is the smallest power of two that keeps each segment within 96 KiB;
/// see docs/decisions/bundle.md.
/// @pre parseBundle() reports no validation error
/// @return an error with id tamarack.bundle.221 if a part exceeds maxPartBytes
/// @note O(size of the document)
Result<std::vector<BundlePartText>> splitBundle(const std::string &document);

} // namespace tamarack
