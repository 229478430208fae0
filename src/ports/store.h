// The port to the platform's key-value store.
#pragma once

#include "core/store.h"
#include "core/time.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief One key below a prefix.
struct StoredEntry
{
    StoreKey key_;
    Revision created_;
    StoredValue value_;
};

/// @brief All keys below a prefix.
struct PrefixReply
{
    /// Unavailable if a value can't be decoded, because a listing with a gap would mislead.
    StoreStatus status_ = StoreStatus::Unavailable;
    /// Revision of the store when it was read.
    Revision revision_;
    std::vector<StoredEntry> entries_;
};

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
    std::function<bool(LeaseId)> renewLease_;
    /// Deletes the lease and its keys.
    std::function<bool(LeaseId)> revokeLease_;
    /// Waits until the key's revision is newer than @a seen, the limit passes or the watch fails.
    /// @return true if a newer revision was seen
    std::function<bool(const StoreKey &key, Revision seen, Millis limit)> waitForChange_;
    /// Ends all waits in progress; those that follow return false at once.
    std::function<void()> cancelWaits_;
    /// Reads all keys that start with a prefix; they hold values of one kind.
    std::function<PrefixReply(const StoreKey &prefix, StoredKind kind)> readPrefix_;
    /// Like readPrefix_, but what it returns may be seconds old; stores charge less for that. Empty
    /// if the store has no such read.
    std::function<PrefixReply(const StoreKey &prefix, StoredKind kind)> readPrefixStale_;
    /// Like waitForChange_, for changes and deletions of all keys that start with a prefix.
    std::function<bool(const StoreKey &prefix, Revision seen, Millis limit)> waitForPrefixChange_;
};

} // namespace tamarack
