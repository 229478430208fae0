// Directory of upstream instances.
#include "core/relay/instances.h"

#include <algorithm>
#include <set>

namespace tamarack {

bool upsertInstance(InstanceDirectory &directory, const ListedInstance &listed)
{
    const auto tombstone = directory.tombstones_.find(listed.instance_.id_);
    if (tombstone != directory.tombstones_.end() && tombstone->second >= listed.revision_)
        return false;
    KnownInstance &known = directory.known_[listed.instance_.id_];
    if (known.revision_ > listed.revision_)
        return false;
    if (known.revision_ == listed.revision_ && !known.missingSince_)
        return false;
    known = KnownInstance {listed.instance_, listed.revision_, std::nullopt};
    if (tombstone != directory.tombstones_.end())
        directory.tombstones_.erase(tombstone);
    return true;
}

bool markMissing(InstanceDirectory &directory, const UpstreamId &id, Revision revision,
                 MonoTime since)
{
    Revision &tombstoneRevision = directory.tombstones_[id];
    tombstoneRevision = std::max(tombstoneRevision, revision);
    const auto it = directory.known_.find(id);
    if (it == directory.known_.end() || it->second.revision_ > revision || it->second.missingSince_)
        return false;
    it->second.missingSince_ = since;
    return true;
}

std::vector<UpstreamId> applyListing(InstanceDirectory &directory,
                                     const std::vector<ListedInstance> &listing, Revision revision,
                                     MonoTime since)
{
    std::set<UpstreamId> listed;
    for (const ListedInstance &entry : listing) {
        listed.insert(entry.instance_.id_);
        upsertInstance(directory, entry);
    }
    std::vector<UpstreamId> missing;
    for (auto &[id, known] : directory.known_) {
        if (!listed.contains(id) && markMissing(directory, id, revision, since))
            missing.push_back(id);
    }
    return missing;
}

std::vector<UpstreamId> removeExpired(InstanceDirectory &directory, Millis retention, MonoTime now)
{
    std::vector<UpstreamId> removedIds;
    std::erase_if(directory.known_, [&](const auto &item) {
        const auto &missing = item.second.missingSince_;
        if (!missing || now - *missing < retention)
            return false;
        removedIds.push_back(item.first);
        return true;
    });
    return removedIds;
}

std::optional<MonoTime> nextExpiry(const InstanceDirectory &directory, Millis retention)
{
    std::optional<MonoTime> next;
    for (const auto &[id, known] : directory.known_) {
        if (known.missingSince_ && (!next || *known.missingSince_ + retention < *next))
            next = *known.missingSince_ + retention;
    }
    return next;
}

} // namespace tamarack
