// Calls to the key-value store and their results, independent of the store in use. The store
// adapter encodes the values and communicates with the service.
#pragma once

#include "core/ids.h"
#include "core/ledger.h"
#include "core/requestrecords.h"
#include "core/storeposition.h"
#include "core/streamorigin.h"

#include <optional>
#include <set>
#include <string>
#include <variant>

namespace tamarack {

/// @brief The signed bundle head, which identifies the active bundle version.
struct BundleHead
{
    BundleVersion version_;
    /// The exact bytes that were signed.
    std::string manifest_;
    OperatorId operator_;
    std::string signature_;
};

/// @brief One part of a bundle. Its key contains the SHA-256 digest of the content, so that a part
/// is created once and never modified.
struct BundlePart
{
    std::string content_;
};

/// @brief The entry that a daemon publishes about itself, bound to its lease.
struct Registration
{
    HostId host_;
    HolderId holder_;
    ZoneId zone_;
    std::string peerAddress_;
    bool leaving_ = false;
    /// Processing capacity of the host in thousandths of a processor core; 0 if unknown.
    std::uint32_t capacity_ = 0;
    /// "IP:port" at which the daemon takes over requests of others; empty if it takes over none.
    std::string handoverAddress_ {};
};

/// @brief Names the holder that may send placement orders to upstreams. The creation revision of
/// the key serves as the fencing token.
struct PlacementLease
{
    HolderId holder_;
};

/// @brief The software versions at which streams may have begun lately.
struct VersionRecord
{
    std::set<ServedVersion> versions_;

    bool operator==(const VersionRecord &) const = default;
};

using StoredValue = std::variant<LedgerShard, RequestShard, BundleHead, BundlePart, Registration,
                                 PlacementLease, VersionRecord>;

/// @brief Identifies the alternative of StoredValue that a key holds.
enum class StoredKind {
    LedgerShard,
    RequestShard,
    BundleHead,
    BundlePart,
    Registration,
    PlacementLease,
    VersionRecord,
};

/// @brief Reads one key.
struct ReadCall
{
    StoreKey key_;
    StoredKind kind_ = StoredKind::LedgerShard;
};

/// @brief Compare-and-swap of one key. With expected_ 0, the call creates the key.
struct CompareAndSwapCall
{
    StoreKey key_;
    Revision expected_;
    StoredValue value_;
    /// If set, the store deletes the key when this lease expires.
    std::optional<LeaseId> lease_;
};

using StoreCall = std::variant<ReadCall, CompareAndSwapCall>;

/// @brief Result status of a call.
enum class StoreStatus {
    Ok,
    /// The revision of the key differs from the expected one; the reply has the current value.
    Conflict,
    /// No reply was received: the call may have been applied, or may still be applied later.
    Unknown,
    /// The service did not receive the call, so it has no effect.
    Unavailable,
};

/// @brief A value and its modification revision. If the key does not exist, the revision is 0.
struct VersionedValue
{
    Revision revision_;
    std::optional<StoredValue> value_;
};

/// @brief The reply to a call.
struct StoreReply
{
    CallId call_;
    StoreStatus status_ = StoreStatus::Unavailable;
    /// For a successful read and for a conflict: the current value and revision. For a successful
    /// compare-and-swap: the new revision only.
    VersionedValue current_;
    /// Era of the store that replied; 0 if it does not count eras.
    StoreEra era_ {};
};

} // namespace tamarack
