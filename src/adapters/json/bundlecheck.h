// Validation of an assembled bundle: references between its parts. Internal to the JSON adapter.
#pragma once

#include "adapters/json/bundlejson.h"

namespace tamarack {

/// @brief Reports each dangling reference, each duplicate and each empty list.
/// @param parsedParts the parts that the bundle was assembled from
/// @param errors receives the validation errors
/// @note O(accounts + upstreams + routes + parts); O(budgets) more if an owner of a budget is
/// unknown
void checkBundle(const Bundle &bundle,
                 const std::vector<std::shared_ptr<const ParsedBundlePart>> &parsedParts,
                 ValidationErrors &errors);

} // namespace tamarack
