// Combines two histories of a ledger shard after the store has returned from a copy.
//
// The copy lacks the newest operations, but the tokens that they granted may have been spent. Each
// holder keeps the shard as it last saw it. All totals of a grant are cumulative and written by its
// holder only, so the larger one of two is the later one, and combining is idempotent and
// independent of the order.
#pragma once

#include "core/ledger.h"

namespace tamarack {

/// @brief Adds to @a current what @a known contains in addition.
/// @return true if @a current changed
/// @note Not for shards with released grants: these would be restored.
bool joinHistories(LedgerShard &current, const LedgerShard &known);

/// @brief Shards of other kinds are kept as the store has them.
template <typename Shard>
bool joinHistories(Shard &, const Shard &)
{
    return false;
}

/// @brief Records in which era of the store a shard is written.
inline void setWrittenEra(LedgerShard &shard, StoreEra era)
{
    shard.writtenEra_ = era;
}

template <typename Shard>
void setWrittenEra(Shard &, StoreEra)
{ }

} // namespace tamarack
