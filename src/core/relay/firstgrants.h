// First grants of accounts. Without them, a lender draws its first tokens of an account when the
// first request asks for them, and a borrower may give up before the store replies.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <vector>

namespace tamarack {

struct PrepaidSettings;
struct PrepaidState;

/// @brief Ledger shards with accounts of which this daemon process may have drawn no tokens yet.
struct FirstGrants
{
    /// The lenders of the zone when the shards were last scheduled. A new one may have shards
    /// whose accounts it has no tokens of.
    std::vector<HostId> lenders_;
    /// When the grants of a shard are drawn.
    std::map<ShardNumber, MonoTime> dueAt_;
};

/// @brief Schedules first grants after the configuration or the fleet has changed. Does nothing
/// until both are known.
///
/// The draws wait until the view of the fleet is settled, because a daemon that knows few others
/// regards itself as a lender of many shards, and are spread by a hash of host and shard, so that
/// lenders of different zones don't write the same key at the same time.
/// @note O(accounts), if there was a change
void scheduleFirstGrants(PrepaidState &state, const PrepaidSettings &settings, MonoTime now);

/// @brief Reads the shards whose first grants are due, and submits the draws of those that have
/// been read. Skips shards of which another daemon is the lender; while the ledger fails, the
/// draws are postponed.
/// @note O(scheduled shards), and O(accounts) for a shard that is due
void drawDueFirstGrants(PrepaidState &state, const PrepaidSettings &settings, MonoTime now);

/// @brief Adds the scheduled first grants of a shard to a store call that is about to start.
/// @note O(accounts)
void joinFirstGrants(PrepaidState &state, const PrepaidSettings &settings, ShardNumber number,
                     MonoTime now);

/// @brief Returns when drawDueFirstGrants() has work to do next.
std::optional<MonoTime> nextFirstGrantTime(const PrepaidState &state);

} // namespace tamarack
