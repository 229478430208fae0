// A point in the history of the store.
//
// A store that returns from a copy loses its newest changes and assigns their revisions again. It
// counts these returns as its era, so that revisions of different histories can be told apart.
#pragma once

#include "core/ids.h"

#include <compare>

namespace tamarack {

/// How often the store has returned from a copy; 0 if that is unknown or the store does not count.
using StoreEra = NumericId<struct StoreEraTag>;

/// @brief A revision in one era of the store. Positions of a later era are greater.
struct StorePosition
{
    StoreEra era_;
    Revision revision_;

    StorePosition() = default;
    /// A position in a store without eras.
    StorePosition(Revision revision)
        : revision_(revision)
    { }
    StorePosition(StoreEra era, Revision revision)
        : era_(era)
        , revision_(revision)
    { }

    auto operator<=>(const StorePosition &) const = default;
};

} // namespace tamarack
