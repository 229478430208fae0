// The bundle version in force, for threads that wait until a version is applied.
#pragma once

#include "core/core.h"

#include <condition_variable>
#include <mutex>

namespace tamarack {

/// @brief The version and its waiters. All functions are safe to call from any thread.
struct AppliedVersion
{
    std::mutex mutex_;
    std::condition_variable changed_;
    BundleVersion version_;
};

/// @brief Notes that the control thread has applied a version.
void setAppliedVersion(AppliedVersion &applied, BundleVersion version);

/// @brief Waits until @a version or a newer one is applied, at most for @a limit.
/// @return the version in force
BundleVersion awaitAppliedVersion(AppliedVersion &applied, BundleVersion version, Millis limit);

} // namespace tamarack
