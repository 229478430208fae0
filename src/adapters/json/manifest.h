// The manifest of a bundle: its version and the digests of its parts. Operators sign its bytes.
#pragma once

#include "core/error.h"
#include "core/ids.h"

#include <string>
#include <vector>

namespace tamarack {

/// @brief A part of a bundle.
struct ManifestPart
{
    std::string name_;
    std::string sha256_;
};

/// @brief The manifest of one version.
struct Manifest
{
    BundleVersion version_;
    std::vector<ManifestPart> parts_;
};

/// @brief Writes a manifest as JSON; equal manifests give equal bytes.
std::string formatManifest(const Manifest &manifest);

/// @brief Reads a manifest.
/// @return an error with id tamarack.manifest.101 that lists every fault
Result<Manifest> parseManifest(const std::string &text);

/// @brief A bundle as an operator submits it.
struct Submission
{
    std::string manifest_;
    OperatorId operator_;
    /// Raw signature of manifest_ in base64.
    std::string signature_;
    /// Contents of the parts, in the order of the manifest.
    std::vector<std::string> parts_;
};

std::string formatSubmission(const Submission &submission);

/// @brief Reads a submission.
/// @return an error with id tamarack.manifest.111 that lists every fault
Result<Submission> parseSubmission(const std::string &text);

} // namespace tamarack
