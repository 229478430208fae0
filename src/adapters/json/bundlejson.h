// Bundles as JSON documents.
#pragma once

#include "adapters/json/fault.h"

#include "core/bundle.h"

#include <string>

namespace tamarack {

/// @brief Reads and checks a bundle document.
///
/// The version is not part of the document; it comes from the signed manifest.
/// @param faults receives every fault; the result is usable only if it stays empty
Bundle parseBundle(const std::string &text, Faults &faults);

} // namespace tamarack
