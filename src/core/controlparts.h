// Internal interface between the parts of the control state machine.
#pragma once

#include "core/control.h"

#include <string>
#include <utility>

namespace tamarack::detail {

/// @brief Returns a number that is unique within this run of the daemon.
std::uint64_t nextId(ControlState &state);

/// @brief Appends a log line to @a out.
void log(Commands &out, LogLevel level, std::string name, std::vector<LogField> fields);

// Bundle (controlbundle.cpp)

void publishSnapshot(const ControlState &state, Commands &out);
void onBundle(ControlState &state, const BundleSeen &event, Now now, Commands &out);
void onBundleConfirmed(ControlState &state, const BundleConfirmed &event, Now now, Commands &out);
/// @brief Notes that the store has not confirmed the bundle for the policy's limit.
void checkUnconfirmed(ControlState &state, Now now, Commands &out);
/// @brief When checkUnconfirmed() has something to note, or nothing if it has noted it.
std::optional<MonoTime> unconfirmedAt(const ControlState &state);
/// @brief Returns the refusal of new requests while the bundle's policy demands it.
std::optional<Refusal> unconfirmedRefusal(const ControlState &state);

// Planned stop (controlstop.cpp)

void onStop(ControlState &state, Commands &out);
/// @brief Names everything that is cut off and ends the control loop.
void onStopForced(ControlState &state, const StopForced &event, Now now, Commands &out);
/// @brief Hands grants back when the last request is done, then completes the stop.
void finishStop(ControlState &state, Now now, Commands &out);

// Requests (controlrequests.cpp)

void onAdmit(ControlState &state, const AdmitRequested &ask, Now now, Commands &out);
void onAbandoned(ControlState &state, const AdmitAbandoned &event, Now now, Commands &out);
void onAttemptEnded(ControlState &state, const AttemptEnded &event, Now now, Commands &out);
void onFinished(ControlState &state, const RequestFinished &event, Now now, Commands &out);
/// @brief Refuses a request and ends it: bills it if it was sent, else gives back everything.
void refuse(ControlState &state, const AdmissionId &admission, Refusal refusal, Now now,
            Commands &out);
/// @brief Refuses waiting requests whose deadline has passed.
void expireRequests(ControlState &state, Now now, Commands &out);
/// @brief Continues a request whose intent is committed or was beaten by another.
void onIntentCommitted(ControlState &state, const CreateIntentOp &op, Now now, Commands &out);
/// @brief Turns the reservation of a billed request into spent tokens.
void onBillCommitted(ControlState &state, const BillOp &op, Now now, Commands &out);

// Budgets (controlbudgets.cpp)

/// @brief Serves or refuses the requests that wait for tokens of @a budget.
void serveBudget(ControlState &state, const BudgetId &budget, bool refreshed, Now now,
                 Commands &out);
/// @brief Continues a request that has its reservation.
void onReserved(ControlState &state, const AdmissionId &admission, Now now, Commands &out);
/// @brief Serves requests that wait for tokens which others have given back in this daemon.
void serveFreed(ControlState &state, Now now, Commands &out);

// Grants (controlgrants.cpp)

/// @brief Returns the budget's current grant; creates an empty one if there is none.
HeldGrant &heldGrant(ControlState &state, const BudgetId &budget, Now now);
/// @brief Returns the budget as the ledger shard showed it last, or nullptr.
const BudgetRecord *ledgerRecord(const LedgerCommit &shard, const BudgetId &budget);
/// @brief Returns a reservation to its grant and records what was spent of it.
void settleReservation(ControlState &state, const BudgetId &budget, const GrantId &grant,
                       Tokens reserved, Tokens spent, Now now);
/// @brief Tokens of a budget that this daemon has billed and the ledger has not recorded.
Tokens unsettledSpending(const ControlState &state, const BudgetId &budget);
/// @brief Takes over what a committed ledger operation confirmed.
void onLedgerCommitted(ControlState &state, const LedgerOp &op, Now now, Commands &out);
/// @brief Stops using own grants that another daemon has written off; they settle and are released.
void retireWrittenOff(ControlState &state, ShardNumber shard, Now now);
/// @brief Writes off the grants of holders that were reported dead.
void writeOffDeadHolders(ControlState &state, ShardNumber shard, Now now, Commands &out);
void onHolderDead(ControlState &state, const HolderDead &event, Now now);
void onReleaseAsked(ControlState &state, const ReleaseAsked &event, Now now, Commands &out);
/// @brief Hands back grants that were not used for a while.
void releaseIdleGrants(ControlState &state, Now now);
/// @brief Returns when the next idle grant is handed back.
std::optional<MonoTime> nextIdleRelease(const ControlState &state);
/// @brief Hands all grants back, as part of a planned stop.
void releaseGrants(ControlState &state, Now now);

// Store calls (controlcommits.cpp)

LedgerCommit &ledgerShard(ControlState &state, const BudgetId &budget);
RequestCommit &requestShard(ControlState &state, const RequestId &request);
void onStoreReply(ControlState &state, const StoreReply &reply, Now now, Commands &out);
/// @brief Returns true if the store holds every submitted operation.
bool commitsIdle(const ControlState &state);
/// @brief Starts every call that is due.
void startCalls(ControlState &state, Now now, Commands &out);

} // namespace tamarack::detail
