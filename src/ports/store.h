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
    /// Unavailable also if a value can't be decoded, because an incomplete listing would look like
    /// a removal.
    StoreStatus status_ = StoreStatus::Unavailable;
    /// Revision of the store at the time of the read.
    Revision revision_;
    std::vector<StoredEntry> entries_;
};

/// @brief Outcome of the renewal of a lease.
enum class LeaseRenewal {
    Renewed,
    /// The lease and its keys no longer exist.
    Ended,
    /// The store didn't confirm the renewal; the lease may still exist.
    Unconfirmed,
};

/// @brief Calls to the store. All functions block, at most for the adapter's timeout, and are safe
/// to call from any thread.
struct StorePort
{
    /// Executes one call. StoreReply::call_ isn't set.
    std::function<StoreReply(const StoreCall &)> call_;
    /// Creates a lease.
    /// @return LeaseId 0 if the store didn't confirm it
    std::function<LeaseId(Seconds timeToLive)> grantLease_;
    std::function<LeaseRenewal(LeaseId)> renewLease_;
    /// Returns the newest era of the store that any reply has shown; 0 if there was none. Empty if
    /// the store does not count eras.
    std::function<StoreEra()> era_;
    /// Deletes a lease and its keys.
    /// @return false if the store didn't confirm it
    std::function<bool(LeaseId)> revokeLease_;
    /// Waits until the key's revision is newer than @a seen, the limit passes or the watch fails.
    /// @return true if the key has a newer revision
    std::function<bool(const StoreKey &key, Revision seen, Millis limit)> waitForChange_;
    /// Cancels all waits. Later waits return false immediately.
    std::function<void()> cancelWaits_;
    /// Reads all keys that start with a prefix. Their values must all be of the same kind.
    std::function<PrefixReply(const StoreKey &prefix, StoredKind kind)> readPrefix_;
    /// Like readPrefix_, but the result may be seconds old. Cheaper for the store. Empty if the
    /// store doesn't support stale reads.
    std::function<PrefixReply(const StoreKey &prefix, StoredKind kind)> readPrefixStale_;
    /// Like waitForChange_, but for changes and deletions of all keys that start with a prefix.
    std::function<bool(const StoreKey &prefix, Revision seen, Millis limit)> waitForPrefixChange_;
};

} // namespace tamarack
