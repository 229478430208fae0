// Availability zones that an operator has evacuated.
#include "core/relay/evacuation.h"

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

/// Ends the evacuation of a zone, whose position must not be greater than @a position.
void endEvacuation(Evacuations &evacuations, const ZoneId &zone, StorePosition position,
                   MonoTime now)
{
    evacuations.zones_.erase(zone);
    evacuations.ended_[zone] = EndedEvacuation {position, now};
}

/// Waits for a write that confirms an evacuation in the era of a listing.
void awaitConfirmation(Evacuation &evacuation, StorePosition position, Millis settleTime,
                       MonoTime now)
{
    // Each return of the store may lose the document once more.
    if (evacuation.unconfirmed_ && evacuation.unconfirmed_->position_.era_ >= position.era_)
        return;
    evacuation.unconfirmed_ = UnconfirmedEvacuation {position, now + settleTime};
}

} // namespace

bool applyEvacuation(Evacuations &evacuations, const ZoneId &zone, StorePosition position,
                     MonoTime now)
{
    const auto ended = evacuations.ended_.find(zone);
    if (ended != evacuations.ended_.end() && ended->second.position_ >= position)
        return false;
    const auto [entry, begins]
        = evacuations.zones_.try_emplace(zone, Evacuation {position, now, std::nullopt});
    if (begins)
        return true;
    Evacuation &evacuation = entry->second;
    evacuation.position_ = std::max(evacuation.position_, position);
    if (evacuation.unconfirmed_ && position.era_ >= evacuation.unconfirmed_->position_.era_)
        evacuation.unconfirmed_.reset();
    return false;
}

bool removeEvacuation(Evacuations &evacuations, const ZoneId &zone, StorePosition position,
                      MonoTime now)
{
    const auto known = evacuations.zones_.find(zone);
    if (known != evacuations.zones_.end()) {
        if (known->second.position_ > position)
            return false;
        endEvacuation(evacuations, zone, position, now);
        return true;
    }
    const auto [ended, added]
        = evacuations.ended_.try_emplace(zone, EndedEvacuation {position, now});
    if (!added)
        ended->second.position_ = std::max(ended->second.position_, position);
    return false;
}

EvacuationChanges applyEvacuationListing(Evacuations &evacuations,
                                         const std::vector<ListedEvacuation> &listing,
                                         StorePosition position, Millis settleTime, MonoTime now)
{
    EvacuationChanges changes;
    std::set<ZoneId> listed;
    for (const ListedEvacuation &entry : listing) {
        if (entry.position_.era_ >= position.era_)
            listed.insert(entry.zone_);
        if (applyEvacuation(evacuations, entry.zone_, entry.position_, now))
            changes.began_.push_back(entry.zone_);
    }
    for (auto &[zone, evacuation] : evacuations.zones_) {
        if (listed.contains(zone) || evacuation.position_ >= position)
            continue;
        if (evacuation.position_.era_ < position.era_)
            awaitConfirmation(evacuation, position, settleTime, now);
        else
            changes.ended_.push_back(zone);
    }
    for (const ZoneId &zone : changes.ended_)
        endEvacuation(evacuations, zone, position, now);
    return changes;
}

std::vector<ZoneId> endUnconfirmedEvacuations(Evacuations &evacuations, MonoTime now)
{
    std::vector<ZoneId> zones;
    for (const auto &[zone, evacuation] : evacuations.zones_) {
        if (evacuation.unconfirmed_ && evacuation.unconfirmed_->endsAt_ <= now)
            zones.push_back(zone);
    }
    for (const ZoneId &zone : zones)
        endEvacuation(evacuations, zone, evacuations.zones_.at(zone).unconfirmed_->position_, now);
    return zones;
}

std::optional<MonoTime> nextEvacuationTime(const Evacuations &evacuations)
{
    std::optional<MonoTime> next;
    for (const auto &[zone, evacuation] : evacuations.zones_) {
        if (evacuation.unconfirmed_ && (!next || evacuation.unconfirmed_->endsAt_ < *next))
            next = evacuation.unconfirmed_->endsAt_;
    }
    return next;
}

bool isEvacuated(const Evacuations &evacuations, const ZoneId &zone)
{
    return evacuations.zones_.contains(zone);
}

std::optional<MonoTime> returnedAt(const Evacuations &evacuations, const ZoneId &zone)
{
    const auto ended = evacuations.ended_.find(zone);
    if (ended == evacuations.ended_.end() || isEvacuated(evacuations, zone))
        return std::nullopt;
    return ended->second.at_;
}

} // namespace tamarack
