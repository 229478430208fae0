// Watches the store for accepted bundle versions.
#pragma once

#include "daemon/bundlestore.h"

namespace tamarack {

/// @brief Posts BundleLoaded and BundleConfirmed after each successful read of the accepted
/// version. Blocks until stopWatchingBundles() is called. Load errors are logged and the read is
/// retried.
void watchBundles(const BundleStore &store, const EventPort &events, const LogPort &log);

/// @brief Makes watchBundles() return without waiting for its current watch or delay.
void stopWatchingBundles(const BundleStore &store);

} // namespace tamarack
