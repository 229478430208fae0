// Bundles in the store: loading with verification and submission.
#pragma once

#include "daemon/bundlecache.h"
#include "ports/ports.h"
#include "runtime/stopflag.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief What is needed to read and accept bundles. cache_ and stop_ outlive it.
struct BundleStore
{
    StorePort store_;
    std::string prefix_;
    /// The operators that are trusted now; the settings may be read again while the daemon runs.
    std::function<std::vector<TrustedOperator>()> operators_;
    BundleCache *cache_ = nullptr;
    StopFlag *stop_ = nullptr;
};

/// @brief A verified bundle and the revision of its head.
struct LoadedBundle
{
    std::shared_ptr<const Bundle> bundle_;
    Revision revision_;
};

/// @brief Reads the accepted bundle and verifies signature and digests.
/// @return a null bundle if none was accepted yet
Result<LoadedBundle> loadBundle(const BundleStore &store);

/// @brief Verifies a submission and accepts it by one compare-and-swap.
/// @return the accepted version, or an error that names the version that won
Result<BundleVersion> submitBundle(const BundleStore &store, const Submission &submission);

/// @brief Reads the head of the accepted bundle.
/// @return version 0 if none was accepted yet
Result<BundleHead> readHead(const BundleStore &store);

/// @brief Returns the newest accepted versions, the newest first, without their manifests.
Result<std::vector<BundleHead>> readHistory(const BundleStore &store, std::size_t count);

/// @brief Reads the content of a part from the store.
std::optional<std::string> readPart(const BundleStore &store, const std::string &sha256);

} // namespace tamarack
