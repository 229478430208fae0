// The directory of upstream instances: what each one said of itself last, as the store tells it.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

enum class InstanceState {
    Ready,
    /// It is about to leave and takes no new request.
    Draining,
};

/// @brief One start of an upstream.
struct Instance
{
    UpstreamId id_;
    ServiceId service_;
    std::string address_;
    ZoneId zone_;
    std::uint32_t slots_ = 1;
    InstanceState state_ = InstanceState::Ready;
    /// When this start began. An instance may start again under the same id.
    WallTime startedAt_ {};
};

/// @brief An instance with what the directory adds to its own words.
struct KnownInstance
{
    Instance instance_;
    Revision revision_;
    /// Its entry is missing since then. Entries lapse while the store is away and come back, so the
    /// instance is used as a last resort until the retention has passed.
    std::optional<MonoTime> missingSince_;
};

/// @brief All known instances.
/// Invariant: no entry is older than one that was seen for the same id.
struct InstanceDirectory
{
    std::map<UpstreamId, KnownInstance> known_;
    /// Revisions of removals, so that a late answer from a peer does not bring an entry back.
    std::map<UpstreamId, Revision> tombstones_;
};

/// @brief An entry of a listing.
struct ListedInstance
{
    Instance instance_;
    Revision revision_;
};

/// @brief Takes over an entry unless a newer one is known.
/// @return true if the directory changed
bool upsertInstance(InstanceDirectory &directory, const ListedInstance &listed);

/// @brief Marks an instance as missing from a revision on.
/// @return true if the directory changed
bool markMissing(InstanceDirectory &directory, const UpstreamId &id, Revision revision,
                 MonoTime now);

/// @brief Takes over a whole listing; instances that it lacks are marked as missing.
/// @param revision revision of the store at the start of the listing
/// @return ids of the instances that became missing
std::vector<UpstreamId> applyListing(InstanceDirectory &directory,
                                     const std::vector<ListedInstance> &listing, Revision revision,
                                     MonoTime now);

/// @brief Forgets instances that are missing for longer than @a retention.
/// @return ids of the forgotten instances
std::vector<UpstreamId> removeExpired(InstanceDirectory &directory, Millis retention, MonoTime now);

/// @brief Returns when removeExpired() has work to do next.
std::optional<MonoTime> nextExpiry(const InstanceDirectory &directory, Millis retention);

} // namespace tamarack
