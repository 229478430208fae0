// Reports of committed grants between daemons. A store that returns from a copy lacks the newest
// operations of the ledger. Holders that live write theirs again; those of a holder that has ended
// are known from its reports, which it sends to two other daemons after each ledger call.
#pragma once

#include "core/peermessage.h"
#include "core/relay/prepaid.h"

#include <vector>

namespace tamarack {

/// @brief Reports this daemon's own grants that operations have changed. Queues a message to the
/// daemon of highest rank in this daemon's availability zone and one in another zone.
///
/// Does nothing if the store doesn't count eras, because its return would not be noticed.
/// @param number the shard of the operations
/// @param committed operations that the store has confirmed
void reportCommittedGrants(PrepaidState &state, ShardNumber number,
                           const std::vector<LedgerOp> &committed, MonoTime now);

/// @brief Keeps another holder's report until the store returns from a copy. Grants whose totals
/// are impossible are ignored.
void recordGrantReport(PrepaidState &state, const PrepaidSettings &settings,
                       const GrantReport &report, MonoTime now);

/// @brief Hands the kept reports over to the shards, whose next calls write what the store lacks.
/// Called when the store has returned from a copy.
void restoreReportedGrants(PrepaidState &state, const PrepaidSettings &settings, MonoTime now);

} // namespace tamarack
