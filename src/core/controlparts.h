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
void onBundle(ControlState &state, const BundleLoaded &event, Now now, Commands &out);
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

/// @brief Passes an event to the part that handles it.
void deliver(ControlState &state, const Event &event, Now now, Commands &out);

// Requests (controlrequests.cpp)

void onAdmit(ControlState &state, const AdmissionRequested &ask, Now now, Commands &out);
/// @brief Returns why a request can't be admitted, or nothing if it can.
std::optional<Refusal> admissionFault(const ControlState &state, const AdmissionRequested &ask);
/// @brief Removes a request that needs nothing any more.
void removeRequest(ControlState &state, const AdmissionId &admission);
void onAbandoned(ControlState &state, const AdmissionAbandoned &event, Now now, Commands &out);
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

/// @brief Permits the next exchange with an upstream, makes the request wait, or refuses it.
void dispatch(ControlState &state, const AdmissionId &admission, Now now, Commands &out);
/// @brief The refusal of a request whose permitted attempts failed.
Refusal attemptsFailed(const ActiveRequest &request);

// Routing and admission (controlrouting.cpp)

/// @brief Refuses a request beyond the limits of its client account.
std::optional<Refusal> limitFault(ControlState &state, const AdmissionRequested &ask, Now now);
/// @brief Counts a request as in flight for its client account.
void enterAccount(ControlState &state, ActiveRequest &request, Now now);
/// @brief Ends the count; takes the request out of the queue if it waits. May be called again.
void leaveAccount(ControlState &state, const AdmissionId &admission, Now now);

/// @brief What happens to a request that wants an upstream.
struct RouteStep
{
    /// Chosen: dispatch now. AllFull: the request waits in the queue. NoUpstream: see refusal_.
    RouteOutcome outcome_ = RouteOutcome::NoUpstream;
    RouteChoice choice_;
    Refusal refusal_;
};

RouteStep routeOrWait(ControlState &state, const AdmissionId &admission, Now now);
/// @brief Records the dispatch of request.attempt_ and returns its silence limit.
Millis noteDispatched(ControlState &state, ActiveRequest &request, const RouteChoice &choice,
                      Now now);
/// @brief Returns the reasons of a choice as log fields.
std::vector<LogField> routeFields(const RouteChoice &choice);
/// @brief Records the end of an attempt.
void noteAttemptClosed(ControlState &state, const ActiveRequest &request, const AttemptEnded &event,
                       Now now);
/// @brief Takes a retry from the budgets of the account and the daemon, if they permit it.
bool retryPermitted(ControlState &state, const ActiveRequest &request, AttemptResult result,
                    Now now);
/// @brief Dispatches waiting requests for which an upstream has room, and refuses late ones.
void serveWaiting(ControlState &state, Now now, Commands &out);
void onFirstToken(ControlState &state, const FirstTokenReceived &event, Now now);
void onLoad(ControlState &state, const LoadReportReceived &event, Now now);
void onHealth(ControlState &state, const UpstreamHealthReceived &event, Now now, Commands &out);
void onCacheEvents(ControlState &state, const CacheEventsReceived &event, Now now);

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
/// @brief Has the grants of a dead holder written off after the next look at each loaded shard.
void requestWriteOff(ControlState &state, const HolderDeclaredDead &event, Now now);
void onReleaseAsked(ControlState &state, const ReleaseRequested &event, Now now, Commands &out);
/// @brief Hands back grants that were not used for a while.
void releaseIdleGrants(ControlState &state, Now now);
/// @brief Returns when the next idle grant is handed back.
std::optional<MonoTime> nextIdleRelease(const ControlState &state);
/// @brief Hands all grants back, as part of a planned stop.
void releaseGrants(ControlState &state, Now now);

// Membership and messages between daemons (controlpeers.cpp)

void onPeerMessage(ControlState &state, const PeerMessageReceived &event, Now now, Commands &out);
void onMembersSeen(ControlState &state, const RegistrationsLoaded &event, Now now, Commands &out);
void onHostListSeen(ControlState &state, const HostListLoaded &event, Now now, Commands &out);
/// @brief Sends a message to a member; it is dropped if the member is unknown.
void sendToPeer(const ControlState &state, const HolderId &holder, PeerMessage message,
                Commands &out);
/// @brief Announces a planned stop to the daemons of the own zone.
void announceLeaving(ControlState &state, Commands &out);
/// @brief Sends due heartbeats and passes due verdicts.
void driveMembership(ControlState &state, Now now, Commands &out);
/// @brief Turns each RequestRelease into a message to its holder.
void routeReleases(const ControlState &state, Commands &out);
std::optional<MonoTime> nextMembershipWake(const ControlState &state);

// Entry and home daemons (controlhome.cpp, controlreserve.cpp)

/// @brief Asks the home daemon for the tokens of a new request, or reserves them here.
void placeRequest(ControlState &state, const AdmissionId &admission, Now now, Commands &out);
/// @brief Ends the part that a home daemon has in a request.
/// @param charged what the committed bill says; 0 if nothing was sent
void endAtHome(ControlState &state, const AdmissionId &admission, Tokens charged, Now now);
/// @brief Returns what the request is to be charged for by its committed bill.
Tokens chargeOf(const RequestShard &shard, const BillOp &op, const HolderId &payer);
void onReserveAnswer(ControlState &state, const ReserveQueued &message, Now now, Commands &out);
void onReserveAnswer(ControlState &state, const Reserved &message, Now now, Commands &out);
void onReserveAnswer(ControlState &state, const Refused &message, Now now, Commands &out);
void onSettleAck(ControlState &state, const SettleAck &message, Commands &out);
/// @brief Repeats what is unanswered and stops relying on a silent home.
void driveEntry(ControlState &state, Now now, Commands &out);

void onReserve(ControlState &state, const Reserve &message, Now now, Commands &out);
void onSettle(ControlState &state, const Settle &message, Now now, Commands &out);
/// @brief Tells the entry daemon of a reservation about a step.
void confirmToPeer(ControlState &state, const AdmissionId &local, Now now, Commands &out);
/// @brief Tells an entry daemon that this home reserves nothing.
void refuseToPeer(const ControlState &state, const ReservationOrigin &peer, const Refusal &refusal,
                  Commands &out);
/// @brief Bills the reservations of a dead entry daemon at their worst case.
void billDeadEntry(ControlState &state, const HolderDeclaredDead &event, Now now, Commands &out);
/// @brief Ends a reservation whose estimated bill is committed.
/// @return false if the bill is not one of a dead entry daemon
bool onEstimateCommitted(ControlState &state, const BillOp &op, Now now, Commands &out);
/// @brief Confirms reservations again that are held for long.
void driveHome(ControlState &state, Now now, Commands &out);
std::optional<MonoTime> nextHomeWake(const ControlState &state);

// Store calls (controlcommits.cpp)

LedgerCommit &ledgerShard(ControlState &state, const BudgetId &budget);
RequestCommit &requestShard(ControlState &state, const RequestId &request);
void onStoreReply(ControlState &state, const StoreReply &reply, Now now, Commands &out);
/// @brief Returns true if the store holds every submitted operation.
bool commitsIdle(const ControlState &state);
/// @brief Starts every call that is due.
void startCalls(ControlState &state, Now now, Commands &out);

// Archive (controlarchive.cpp)

/// @brief Starts to move records out of request shards that have grown large.
void archiveRequests(ControlState &state, Now now, Commands &out);
/// @brief Takes the reply to the write of a segment.
/// @return false if the call was another one
bool onArchiveReply(ControlState &state, const StoreReply &reply, Now now, Commands &out);

} // namespace tamarack::detail
