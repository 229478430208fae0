// Calls to the key-value store and their outcomes, as the decisions see them. The adapter encodes
// the values and talks to the service.
#pragma once

#include "core/ids.h"
#include "core/ledger.h"
#include "core/requestrecords.h"

#include <optional>
#include <string>
#include <variant>

namespace tamarack {

/// @brief The signed head of the bundle: which version is in force.
struct BundleHead
{
    BundleVersion version_;
    /// The manifest as it was signed, byte for byte.
    std::string manifest_;
    OperatorId operator_;
    std::string signature_;
};

/// @brief A create-only part of a bundle, stored under its digest.
struct BundlePart
{
    std::string content_;
};

/// @brief What a daemon publishes about itself under its lease.
struct Registration
{
    HostId host_;
    HolderId holder_;
    ZoneId zone_;
    std::string peerAddress_;
    bool leaving_ = false;
};

/// @brief Who may order upstreams; the key's creation revision is the fencing number.
struct PlacementLease
{
    HolderId holder_;
};

using StoredValue
    = std::variant<LedgerShard, RequestShard, BundleHead, BundlePart, Registration, PlacementLease>;

/// @brief Which alternative of StoredValue a key holds.
enum class StoredKind {
    LedgerShard,
    RequestShard,
    BundleHead,
    BundlePart,
    Registration,
    PlacementLease,
};

/// @brief Reads one key.
struct ReadCall
{
    StoreKey key_;
    StoredKind kind_ = StoredKind::LedgerShard;
};

/// @brief Compare-and-swap of one key; expected_ 0 creates the key.
struct CompareAndSwapCall
{
    StoreKey key_;
    Revision expected_;
    StoredValue value_;
    /// Deletes the key when this lease expires.
    std::optional<LeaseId> lease_;
};

using StoreCall = std::variant<ReadCall, CompareAndSwapCall>;

/// @brief Outcome of a call.
enum class StoreStatus {
    Ok,
    /// The key's revision differs from the expected one; the current value is returned.
    Conflict,
    /// No answer: the call may or may not have taken effect, and may still take effect.
    Unknown,
    /// The service did not receive the call.
    Unavailable,
};

/// @brief A value with the revision it was read or written at; revision 0 if the key is absent.
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
    /// Ok of a read and Conflict: the current value. Ok of a swap: only the new revision.
    VersionedValue current_;
};

} // namespace tamarack
