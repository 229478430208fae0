// The thread that learns of accepted bundle versions from the store.
#pragma once

#include "daemon/bundlestore.h"

namespace tamarack {

/// @brief Posts BundleLoaded for each accepted version and BundleConfirmed whenever the store
/// confirms the one in force. Returns when the store's stop flag is raised.
void watchBundles(const BundleStore &store, const EventPort &events, const LogPort &log);

/// @brief Ends watchBundles() at once.
void stopWatchingBundles(const BundleStore &store);

} // namespace tamarack
