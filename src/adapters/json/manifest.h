// The manifest of a bundle lists its version and the digests of its parts. Operators sign the bytes
// of the manifest.
#pragma once

#include "core/error.h"
#include "core/ids.h"

#include <string>
#include <vector>

namespace tamarack {

/// @brief Name and digest of one part.
struct ManifestPart
{
    std::string name_;
    std::string sha256_;
};

/// @brief The manifest of one bundle version.
struct Manifest
{
    BundleVersion version_;
    std::vector<ManifestPart> parts_;
};

/// @brief Formats a manifest as JSON. Equal manifests give equal bytes.
std::string formatManifest(const Manifest &manifest);

/// @brief Parses a manifest.
/// @return an error of parseObject(), or an error with id tamarack.manifest.101 that lists all
/// validation errors
Result<Manifest> parseManifest(const std::string &text);

/// @brief A signed bundle submitted by an operator.
struct Submission
{
    std::string manifest_;
    OperatorId operator_;
    /// Raw signature of manifest_, encoded as base64.
    std::string signature_;
    /// Contents of the parts, in the order of the manifest.
    std::vector<std::string> parts_;
};

/// @brief Formats a submission as JSON.
std::string formatSubmission(const Submission &submission);

/// @brief Parses a submission.
/// @return an error of parseObject(), or an error with id tamarack.manifest.111 that lists all
/// validation errors
Result<Submission> parseSubmission(const std::string &text);

} // namespace tamarack
