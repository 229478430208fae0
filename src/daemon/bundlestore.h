// Loads bundles from the store and submits new versions to it.
#pragma once

#include "daemon/bundlecache.h"
#include "ports/ports.h"
#include "runtime/stopflag.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Dependencies for loading and submitting bundles. cache_ and stop_ must outlive it.
struct BundleStore
{
    StorePort store_;
    std::string prefix_;
    /// Returns the currently trusted operators, which change when the settings are reloaded.
    std::function<std::vector<TrustedOperator>()> operators_;
    BundleCache *cache_ = nullptr;
    StopFlag *stop_ = nullptr;
};

/// @brief A verified bundle and the store revision of its head.
struct LoadedBundle
{
    std::shared_ptr<const Bundle> bundle_;
    Revision revision_;
};

/// @brief Loads the accepted bundle and verifies its signature and digests.
/// @return a null bundle if none has been accepted
Result<LoadedBundle> loadBundle(const BundleStore &store);

/// @brief Verifies a submission and accepts it by a compare-and-swap of the bundle head. Blocks;
/// failed store calls are retried a limited number of times.
/// @return the accepted version, or an error, which names the accepted version if another
/// submission won
Result<BundleVersion> submitBundle(const BundleStore &store, const Submission &submission);

/// @brief Reads the head of the accepted bundle.
/// @return a head with version 0 if none has been accepted
Result<BundleHead> readHead(const BundleStore &store);

/// @brief Returns up to @a count accepted versions, the newest first, without their manifests.
Result<std::vector<BundleHead>> readHistory(const BundleStore &store, std::size_t count);

/// @brief Reads the content of the part with a digest from the store.
/// @return nothing if the store is unavailable or has no such part
std::optional<std::string> readPart(const BundleStore &store, const std::string &sha256);

} // namespace tamarack
