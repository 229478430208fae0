// Directory of upstream instances, built from their entries in the store.
#pragma once

#include "core/ids.h"
#include "core/instanceprocess.h"
#include "core/storeposition.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

enum class InstanceState {
    Ready,
    /// The instance is about to stop and accepts no new requests.
    Draining,
};

/// @brief An upstream process, as its entry in the store describes it.
struct Instance
{
    UpstreamId id_;
    ServiceId service_;
    std::string address_;
    ZoneId zone_;
    std::uint32_t slots_ = 1;
    InstanceState state_ = InstanceState::Ready;
    /// Version of the software that the process runs. Processes of several versions may serve side
    /// by side.
    SoftwareVersion version_ {};
    /// Start time of the process. An instance may restart under the same id.
    WallTime startedAt_ {};
    /// How long the instance stays cold, counted from the write of the entry.
    Millis coldRemaining_ {};
};

/// @brief Returns the process that an entry describes.
inline InstanceProcess processOf(const Instance &instance)
{
    return InstanceProcess {instance.id_, instance.startedAt_};
}

/// @brief An instance with the directory's bookkeeping.
struct KnownInstance
{
    Instance instance_;
    StorePosition position_;
    /// Set while the entry is missing from the store. Entries also expire while instances can't
    /// renew them during a store outage, so a missing instance stays usable as a last resort until
    /// the retention time has elapsed.
    std::optional<MonoTime> missingSince_;
};

/// @brief The removal of an entry.
struct Removal
{
    StorePosition position_;
    /// The process whose entry was removed, if it was known.
    std::optional<WallTime> startedAt_;
};

/// @brief All known instances.
/// Invariant: no entry is older than one that was seen before for the same id.
struct InstanceDirectory
{
    std::map<UpstreamId, KnownInstance> known_;
    /// Removals, so that an outdated message from a peer or the copy from which the store returns
    /// can't restore a removed entry.
    std::map<UpstreamId, Removal> tombstones_;
};

/// @brief An entry of a listing.
struct ListedInstance
{
    Instance instance_;
    StorePosition position_;
};

/// @brief Inserts or replaces an entry unless a newer one is known. A process that was draining
/// stays so: the store may have returned from a copy of the time before.
/// @return true if the directory changed
bool upsertInstance(InstanceDirectory &directory, const ListedInstance &listed);

/// @brief Marks an instance as missing from @a position on.
/// @param since earliest time at which the entry may have been removed
/// @return true if the directory changed
bool markMissing(InstanceDirectory &directory, const UpstreamId &id, StorePosition position,
                 MonoTime since);

/// @brief Applies a full listing and marks all instances that it does not contain as missing. An
/// entry that was removed in an earlier era of the store is not restored: it comes from a copy of
/// the time before, and its instance writes it again if it is running.
/// @param position position of the store at the start of the listing
/// @param since earliest time at which an unlisted entry may have been removed
/// @return ids of the instances that became missing
std::vector<UpstreamId> applyListing(InstanceDirectory &directory,
                                     const std::vector<ListedInstance> &listing,
                                     StorePosition position, MonoTime since);

/// @brief Removes instances that have been missing for at least @a retention.
/// @return ids of the removed instances
std::vector<UpstreamId> removeExpired(InstanceDirectory &directory, Millis retention, MonoTime now);

/// @brief Returns when removeExpired() removes an instance next.
std::optional<MonoTime> nextExpiry(const InstanceDirectory &directory, Millis retention);

} // namespace tamarack
