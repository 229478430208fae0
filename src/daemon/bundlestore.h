// Bundles in the store: loading with verification, submission and the watch for new versions.
#pragma once

#include "adapters/json/json.h"
#include "ports/ports.h"

#include <memory>
#include <string>
#include <vector>

namespace tamarack {

/// @brief What is needed to read and accept bundles.
struct BundleStore
{
    StorePort store_;
    std::string prefix_;
    std::vector<TrustedOperator> operators_;
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

/// @brief Posts BundleSeen for each accepted version until @a stopping returns true.
void watchBundles(const BundleStore &store, const EventPort &events, const LogPort &log,
                  const std::function<bool()> &stopping);

} // namespace tamarack
