// Availability zones that an operator has evacuated: nothing more is sent to their instances.
//
// An evacuation must not end because a daemon lost sight of the operator's document, for example
// after the store has returned from a copy of the time before. It ends by a removal, or by a
// complete listing without it.
#pragma once

#include "core/ids.h"
#include "core/storeposition.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <vector>

namespace tamarack {

/// @brief A newer era of the store that does not contain an evacuation, so that it may have been
/// lost with the changes since the copy.
struct UnconfirmedEvacuation
{
    /// The first listing of that era.
    StorePosition position_;
    /// The evacuation ends then unless a write has confirmed it.
    MonoTime endsAt_ {};
};

/// @brief The evacuation of a zone.
struct Evacuation
{
    /// The newest known write of the operator's document.
    StorePosition position_;
    MonoTime since_ {};
    std::optional<UnconfirmedEvacuation> unconfirmed_;
};

/// @brief The end of an evacuation.
struct EndedEvacuation
{
    /// Documents of this or an older position don't begin the evacuation again.
    StorePosition position_;
    MonoTime at_ {};
};

/// @brief The evacuations that a daemon knows.
/// Invariant: the position in zones_ is greater than the one in ended_ for the same zone.
struct Evacuations
{
    std::map<ZoneId, Evacuation> zones_;
    std::map<ZoneId, EndedEvacuation> ended_;
};

/// @brief The evacuation of a zone in a listing.
struct ListedEvacuation
{
    ZoneId zone_;
    StorePosition position_;
};

/// @brief Zones whose evacuation began or ended with a listing.
struct EvacuationChanges
{
    std::vector<ZoneId> began_;
    std::vector<ZoneId> ended_;
};

/// @brief Applies a write of the operator's document.
/// @return true if the evacuation of the zone begins
bool applyEvacuation(Evacuations &evacuations, const ZoneId &zone, StorePosition position,
                     MonoTime now);

/// @brief Applies a removal of the operator's document.
/// @return true if the evacuation of the zone ends
bool removeEvacuation(Evacuations &evacuations, const ZoneId &zone, StorePosition position,
                      MonoTime now);

/// @brief Applies a complete listing of the operator's documents. An evacuation that a listing of
/// the same era does not contain ends. One that a listing of a newer era does not contain, or only
/// with its position in an older era, ends after @a settleTime unless a write confirms it.
/// @note O(evacuations x log of it)
EvacuationChanges applyEvacuationListing(Evacuations &evacuations,
                                         const std::vector<ListedEvacuation> &listing,
                                         StorePosition position, Millis settleTime, MonoTime now);

/// @brief Ends the evacuations that were not confirmed in time.
/// @return their zones
std::vector<ZoneId> endUnconfirmedEvacuations(Evacuations &evacuations, MonoTime now);

/// @brief Returns when endUnconfirmedEvacuations() has work to do next.
std::optional<MonoTime> nextEvacuationTime(const Evacuations &evacuations);

/// @brief Returns true if nothing may be sent to the instances of a zone.
bool isEvacuated(const Evacuations &evacuations, const ZoneId &zone);

/// @brief Returns when the last evacuation of a zone ended, or its removal was learned; nothing if
/// there was none or the zone is evacuated.
std::optional<MonoTime> returnedAt(const Evacuations &evacuations, const ZoneId &zone);

} // namespace tamarack
