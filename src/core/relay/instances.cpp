// Directory of upstream instances.
#include "core/relay/instances.h"

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

/// Returns true if an entry of a listing is older than the removal of its process that was seen in
/// an earlier era of the store.
bool isRemovedBefore(const InstanceDirectory &directory, const ListedInstance &listed)
{
    const auto tombstone = directory.tombstones_.find(listed.instance_.id_);
    return tombstone != directory.tombstones_.end()
        && tombstone->second.position_.era_ < listed.position_.era_
        && tombstone->second.startedAt_ == listed.instance_.startedAt_;
}

} // namespace

bool upsertInstance(InstanceDirectory &directory, const ListedInstance &listed)
{
    const auto tombstone = directory.tombstones_.find(listed.instance_.id_);
    if (tombstone != directory.tombstones_.end() && tombstone->second.position_ >= listed.position_)
        return false;
    const auto [entry, added] = directory.known_.try_emplace(listed.instance_.id_);
    KnownInstance &known = entry->second;
    if (!added && known.position_ > listed.position_)
        return false;
    if (!added && known.position_ == listed.position_ && !known.missingSince_)
        return false;
    const bool wasDraining = !added && known.instance_.state_ == InstanceState::Draining
        && known.instance_.startedAt_ == listed.instance_.startedAt_;
    known = KnownInstance {listed.instance_, listed.position_, std::nullopt};
    if (wasDraining)
        known.instance_.state_ = InstanceState::Draining;
    if (tombstone != directory.tombstones_.end())
        directory.tombstones_.erase(tombstone);
    return true;
}

bool markMissing(InstanceDirectory &directory, const UpstreamId &id, StorePosition position,
                 MonoTime since)
{
    Removal &removal = directory.tombstones_[id];
    removal.position_ = std::max(removal.position_, position);
    const auto it = directory.known_.find(id);
    if (it == directory.known_.end() || it->second.position_ > position)
        return false;
    removal.startedAt_ = it->second.instance_.startedAt_;
    if (it->second.missingSince_)
        return false;
    it->second.missingSince_ = since;
    return true;
}

std::vector<UpstreamId> applyListing(InstanceDirectory &directory,
                                     const std::vector<ListedInstance> &listing,
                                     StorePosition position, MonoTime since)
{
    std::set<UpstreamId> listed;
    for (const ListedInstance &entry : listing) {
        listed.insert(entry.instance_.id_);
        if (!isRemovedBefore(directory, entry))
            upsertInstance(directory, entry);
    }
    std::vector<UpstreamId> missing;
    for (auto &[id, known] : directory.known_) {
        if (!listed.contains(id) && markMissing(directory, id, position, since))
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
