// Verified bundles and their parsed parts by digest, so that a new version costs only the parts
// that changed.
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

/// @brief A verified bundle with the head it was accepted under.
struct VerifiedBundle
{
    /// Null if no version was accepted yet.
    std::shared_ptr<const Bundle> bundle_;
    BundleHead head_;
};

/// @brief The newest verified bundle and its parts. All functions are safe to call from any thread.
///
/// Invariant: parts_ holds exactly the parts of newest_.
struct BundleCache
{
    std::mutex mutex_;
    VerifiedBundle newest_;
    std::map<std::string, ParsedPartPtr> parts_;
};

/// @brief Returns the content of a part by its digest, or nothing if it cannot be had.
using PartSource = std::function<std::optional<std::string>(const std::string &sha256)>;

/// @brief Verifies the signature of a head with the keys of trusted operators.
Result<Manifest> verifyHead(const BundleHead &head, const std::vector<TrustedOperator> &operators);

/// @brief A bundle that was put together from parts.
struct AssembledBundle
{
    std::shared_ptr<const Bundle> bundle_;
    std::map<std::string, ParsedPartPtr> parts_;
};

/// @brief Puts a bundle together; asks @a source only for parts that the cache does not hold.
/// @return an error that names the part and every fault if digest, syntax or references are wrong
Result<AssembledBundle> assembleFromParts(BundleCache &cache, const Manifest &manifest,
                                          const PartSource &source);

/// @brief Verifies a head and takes its bundle over as the newest one.
///
/// An older head, or another one of the same version, is an error: a version that was in force is
/// never replaced by an older one, whoever offers it.
Result<VerifiedBundle> verifyAndCacheBundle(BundleCache &cache, const BundleHead &head,
                                            const std::vector<TrustedOperator> &operators,
                                            const PartSource &source);

/// @brief Returns the newest verified bundle.
VerifiedBundle newestBundle(BundleCache &cache);

} // namespace tamarack
