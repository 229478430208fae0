// The bundle version that the control thread has applied.
#pragma once

#include "core/core.h"

#include <condition_variable>
#include <mutex>

namespace tamarack {

/// @brief The applied version. All functions are safe to call from any thread.
struct AppliedVersion
{
    std::mutex mutex_;
    std::condition_variable changed_;
    BundleVersion version_;
};

/// @brief Stores the applied version and wakes all waiting threads.
void setAppliedVersion(AppliedVersion &applied, BundleVersion version);

/// @brief Blocks until @a version or a newer one is applied, for at most @a limit.
/// @return the applied version
BundleVersion awaitAppliedVersion(AppliedVersion &applied, BundleVersion version, Millis limit);

} // namespace tamarack
