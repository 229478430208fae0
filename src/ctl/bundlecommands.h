// Validation and signing of bundles.
#pragma once

#include "adapters/json/json.h"
#include "core/error.h"
#include "core/ids.h"

#include <string>

namespace tamarack {

/// @brief Validates a bundle document and signs a manifest for it.
/// @param privateKey raw Ed25519 key in base64
/// @return the submission with all parts, or an error, which lists all validation errors of the
/// document
Result<Submission> signBundle(const std::string &document, BundleVersion version,
                              const OperatorId &signer, const std::string &privateKey);

/// @brief Validates a bundle document.
/// @return an error with id tamarack.ctl.101 that lists all validation errors
Result<void> checkBundle(const std::string &document);

} // namespace tamarack
