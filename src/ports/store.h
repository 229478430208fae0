// The port to the platform's key-value store.
#pragma once

#include "core/store.h"
#include "core/time.h"

#include <functional>
#include <string>

namespace tamarack {

/// @brief Calls to the store. All functions block up to the adapter's timeout and are safe to call
/// from any thread.
struct StorePort
{
    /// Carries out one call; StoreReply::call_ is left at its default.
    std::function<StoreReply(const StoreCall &)> call_;
    /// Creates a lease; LeaseId 0 if the store did not confirm it.
    std::function<LeaseId(Seconds timeToLive)> grantLease_;
    /// Renews a lease.
    /// @return false if the store did not confirm it
    std::function<bool(LeaseId)> keepLease_;
    /// Deletes the lease and its keys.
    std::function<bool(LeaseId)> revokeLease_;
    /// Waits until the key's revision is newer than @a seen, the limit passes or the watch fails.
    /// @return true if a newer revision was seen
    std::function<bool(const StoreKey &key, Revision seen, Millis limit)> waitForChange_;
    /// Ends all waits in progress; those that follow return false at once.
    std::function<void()> cancelWaits_;
};

} // namespace tamarack
