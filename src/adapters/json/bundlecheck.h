// Checks of a bundle as a whole: references between its sections. Internal to the JSON adapter.
#pragma once

#include "adapters/json/bundlejson.h"

namespace tamarack {

/// @brief Appends a fault for each reference that leads nowhere, each duplicate and each empty
/// list.
/// @param sections the parts that the bundle was assembled from
void checkBundle(const Bundle &bundle,
                 const std::vector<std::shared_ptr<const ParsedBundlePart>> &parsedParts,
                 ValidationErrors &errors);

} // namespace tamarack
