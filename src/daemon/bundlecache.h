// Verification of bundles and a cache of their parsed parts. A new version reads and parses only
// the parts that changed.
#pragma once

#include "adapters/json/json.h"
#include "core/core.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

using ParsedPartPtr = std::shared_ptr<const ParsedBundlePart>;

/// @brief A verified bundle and its head.
struct VerifiedBundle
{
    /// Null if no version has been accepted.
    std::shared_ptr<const Bundle> bundle_;
    BundleHead head_;
};

/// @brief The newest verified bundle and its parsed parts by digest. All functions are safe to call
/// from any thread.
///
/// Invariant: parts_ holds exactly the parts of newest_.
struct BundleCache
{
    std::mutex mutex_;
    VerifiedBundle newest_;
    std::map<std::string, ParsedPartPtr> parts_;
};

/// @brief Returns the content of the part with a digest, or nothing if it is unavailable.
using PartSource = std::function<std::optional<std::string>(const std::string &sha256)>;

/// @brief Verifies the signature of a head against the keys of the trusted operators.
/// @return the manifest, or an error if the operator isn't trusted, the signature is invalid or the
/// versions of head and manifest differ
Result<Manifest> verifyHead(const BundleHead &head, const std::vector<TrustedOperator> &operators);

/// @brief A bundle that was assembled from parts.
struct AssembledBundle
{
    std::shared_ptr<const Bundle> bundle_;
    std::map<std::string, ParsedPartPtr> parts_;
};

/// @brief Assembles a bundle. Reads only parts from @a source that aren't in the cache.
/// @return an error that lists all validation errors if a digest, the syntax or a reference is
/// wrong
Result<AssembledBundle> assembleFromParts(BundleCache &cache, const Manifest &manifest,
                                          const PartSource &source);

/// @brief Verifies a head and caches its bundle as the newest one.
///
/// An older head, or a different head with the same version, is an error, so that nobody can roll
/// back to an older signed version.
Result<VerifiedBundle> verifyAndCacheBundle(BundleCache &cache, const BundleHead &head,
                                            const std::vector<TrustedOperator> &operators,
                                            const PartSource &source);

/// @brief Returns the newest verified bundle.
VerifiedBundle newestBundle(BundleCache &cache);

} // namespace tamarack
