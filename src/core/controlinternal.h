// Internal interface between the source files of the control state machine.
#pragma once

#include "core/control.h"

#include <string>
#include <utility>

namespace tamarack::detail {

/// @brief Returns a number that is unique within this run of the daemon.
std::uint64_t nextId(ControlState &state);

/// @brief Appends a log event to @a out.
void log(Commands &out, LogLevel level, std::string name, std::vector<LogField> fields);

// Bundle (controlbundle.cpp)

void publishSnapshot(const ControlState &state, Commands &out);
void onBundleLoaded(ControlState &state, const BundleLoaded &event, Now now, Commands &out);
void onBundleConfirmed(ControlState &state, const BundleConfirmed &event, Now now, Commands &out);
/// @brief Marks the bundle as unconfirmed when the policy's limit has elapsed without a
/// confirmation.
void checkUnconfirmed(ControlState &state, Now now, Commands &out);
/// @brief Returns when checkUnconfirmed() marks the bundle, or nothing if it is already marked.
std::optional<MonoTime> unconfirmedDeadline(const ControlState &state);
/// @brief Returns the refusal for new requests if the bundle's policy requires one.
std::optional<Refusal> unconfirmedRefusal(const ControlState &state);

// Graceful and forced stop (controlstop.cpp)

void onStop(ControlState &state, Commands &out);
/// @brief Logs the abandoned requests and grants and ends the control loop.
void onStopForced(ControlState &state, const StopForced &event, Now now, Commands &out);
/// @brief Releases the grants after the last request and completes the stop.
void finishStop(ControlState &state, Now now, Commands &out);

/// @brief Passes an event to its handler.
void handleEvent(ControlState &state, const Event &event, Now now, Commands &out);

// Requests (controlrequests.cpp)

void onAdmit(ControlState &state, const AdmissionRequested &params, Now now, Commands &out);
/// @brief Returns why a request cannot be admitted, or nothing if it can.
std::optional<Refusal> admissionRefusal(const ControlState &state,
                                        const AdmissionRequested &params);
/// @brief Removes a request that has no outstanding work.
void removeRequest(ControlState &state, const AdmissionId &admission);
void onAbandoned(ControlState &state, const AdmissionAbandoned &event, Now now, Commands &out);
void onAttemptEnded(ControlState &state, const AttemptEnded &event, Now now, Commands &out);
void onFinished(ControlState &state, const RequestFinished &event, Now now, Commands &out);
/// @brief Refuses a request and ends it: bills it if it was sent, otherwise returns its
/// reservation.
void refuse(ControlState &state, const AdmissionId &admission, Refusal refusal, Now now,
            Commands &out);
/// @brief Refuses waiting requests whose deadline has passed.
void expireRequests(ControlState &state, Now now, Commands &out);
/// @brief Continues a request when its intent is committed, or refuses it if another intent exists.
void onIntentCommitted(ControlState &state, const CreateIntentOp &op, Now now, Commands &out);
/// @brief Converts the reservation of a billed request into spent tokens.
void onBillCommitted(ControlState &state, const BillOp &op, Now now, Commands &out);

/// @brief Permits the next exchange with an upstream, queues the request, or refuses it.
void dispatch(ControlState &state, const AdmissionId &admission, Now now, Commands &out);
/// @brief Returns the refusal for a request whose permitted attempts failed.
Refusal attemptsFailedRefusal(const ActiveRequest &request);

// Routing and admission (controlrouting.cpp)

/// @brief Returns a refusal if the request exceeds the limits of its client account.
std::optional<Refusal> accountLimitRefusal(ControlState &state, const AdmissionRequested &params,
                                           Now now);
/// @brief Counts a request as in flight for its client account.
void trackInFlight(ControlState &state, ActiveRequest &request, Now now);
/// @brief Ends the count and removes the request from its queue. Idempotent.
void untrackInFlight(ControlState &state, const AdmissionId &admission, Now now);

/// @brief Result of routing a request.
struct RouteStep
{
    /// Chosen: dispatch now. AllFull: the request stays queued. NoUpstream: refuse with refusal_.
    RouteOutcome outcome_ = RouteOutcome::NoUpstream;
    RouteChoice choice_;
    Refusal refusal_;
};

RouteStep routeOrWait(ControlState &state, const AdmissionId &admission, Now now);
/// @brief Records the dispatch of request.attempt_ and returns its silence limit.
Millis recordAttemptStart(ControlState &state, ActiveRequest &request, const RouteChoice &choice,
                          Now now);
/// @brief Returns the inputs of a routing decision as log fields.
std::vector<LogField> routeLogFields(const RouteChoice &choice);
/// @brief Records the end of an attempt.
void recordAttemptResult(ControlState &state, const ActiveRequest &request,
                         const AttemptEnded &event, Now now);
/// @brief Takes a retry from the retry budgets of the account and the daemon.
/// @return false if either budget is empty; nothing is taken then
bool consumeRetryBudgets(ControlState &state, const ActiveRequest &request, AttemptResult result,
                         Now now);
/// @brief Dispatches queued requests for which an upstream has capacity and refuses expired ones.
void dispatchQueued(ControlState &state, Now now, Commands &out);
void onFirstToken(ControlState &state, const FirstTokenReceived &event, Now now);
void onLoadReport(ControlState &state, const LoadReportReceived &event, Now now);
void onHealth(ControlState &state, const UpstreamHealthReceived &event, Now now, Commands &out);
void onCacheEvents(ControlState &state, const CacheEventsReceived &event, Now now);

// Budgets (controlbudgets.cpp)

/// @brief Serves or refuses the requests that wait for tokens of @a budget.
/// @param refreshed whether the ledger shard has just been read
void serveBudgetWaiters(ControlState &state, const BudgetId &budget, bool refreshed, Now now,
                        Commands &out);
/// @brief Continues a request after its reservation.
void onReserved(ControlState &state, const AdmissionId &admission, Now now, Commands &out);
/// @brief Serves waiting requests of budgets that regained tokens in this daemon.
void serveFreedBudgets(ControlState &state, Now now, Commands &out);

// Grants (controlgrants.cpp)

/// @brief Returns the budget's current grant; creates an empty one if there is none.
HeldGrant &heldGrant(ControlState &state, const BudgetId &budget, Now now);
/// @brief Returns the budget's record in the last read state of the ledger shard, or nullptr.
const BudgetRecord *ledgerRecord(const LedgerCommit &shard, const BudgetId &budget);
/// @brief Returns a reservation to its grant and records the spent part.
void settleReservation(ControlState &state, const BudgetId &budget, const GrantId &grant,
                       Tokens reserved, Tokens spent, Now now);
/// @brief Returns the tokens of a budget that this daemon has billed but the ledger has not
/// recorded.
Tokens unsettledSpending(const ControlState &state, const BudgetId &budget);
/// @brief Applies the effects of a committed ledger operation.
void onLedgerCommitted(ControlState &state, const LedgerOp &op, Now now, Commands &out);
/// @brief Retires own grants that another daemon has written off, so that they settle and are
/// released.
void retireWrittenOff(ControlState &state, ShardNumber shard, Now now);
/// @brief Writes off the grants of holders that were declared dead.
void writeOffDeadHolders(ControlState &state, ShardNumber shard, Now now, Commands &out);
/// @brief Schedules the write-off of a dead holder's grants after the next read of each loaded
/// shard.
void requestWriteOff(ControlState &state, const HolderDeclaredDead &event, Now now);
void onReleaseRequested(ControlState &state, const ReleaseRequested &event, Now now, Commands &out);
/// @brief Releases grants that have been idle for ControlSettings::idleGrantTimeout_.
void releaseIdleGrants(ControlState &state, Now now);
/// @brief Returns when the next idle grant is released.
std::optional<MonoTime> nextIdleRelease(const ControlState &state);
/// @brief Releases all grants, as part of a graceful stop.
void releaseGrants(ControlState &state, Now now);

// Membership and messages between daemons (controlpeers.cpp)

void onPeerMessageReceived(ControlState &state, const PeerMessageReceived &event, Now now,
                           Commands &out);
void onRegistrationsLoaded(ControlState &state, const RegistrationsLoaded &event, Now now,
                           Commands &out);
void onHostListLoaded(ControlState &state, const HostListLoaded &event, Now now, Commands &out);
/// @brief Sends a message to a member; drops it if the member is unknown.
void sendToPeer(const ControlState &state, const HolderId &holder, PeerMessage message,
                Commands &out);
/// @brief Announces a graceful stop to the daemons of this daemon's zone.
void announceLeaving(ControlState &state, Commands &out);
/// @brief Sends heartbeats and updates member states at each heartbeat interval.
void runMembershipTimers(ControlState &state, Now now, Commands &out);
/// @brief Replaces each RequestRelease by a message to its holder.
void sendReleaseRequests(const ControlState &state, Commands &out);
std::optional<MonoTime> nextMembershipWake(const ControlState &state);

// Entry and home daemons (controlentry.cpp, controlhome.cpp)

/// @brief Requests a reservation from the home daemon, or reserves locally if this daemon is the
/// home.
void placeReservation(ControlState &state, const AdmissionId &admission, Now now, Commands &out);
/// @brief Cancels or settles the request's reservation at its home daemon, if it has one.
/// @param charged tokens charged by the committed bill; 0 if nothing was sent
void settleAtHome(ControlState &state, const AdmissionId &admission, Tokens charged, Now now);
/// @brief Returns the tokens that @a payer is charged by the committed bill.
Tokens chargeOf(const RequestShard &shard, const BillOp &op, const HolderId &payer);
void onReserveReply(ControlState &state, const ReserveQueued &message, Now now, Commands &out);
void onReserveReply(ControlState &state, const Reserved &message, Now now, Commands &out);
void onReserveReply(ControlState &state, const Refused &message, Now now, Commands &out);
void onSettleAck(ControlState &state, const SettleAck &message, Commands &out);
/// @brief Retries unanswered messages and bypasses a home daemon that does not respond.
void runEntryTimers(ControlState &state, Now now, Commands &out);

void onReserve(ControlState &state, const Reserve &message, Now now, Commands &out);
void onSettle(ControlState &state, const Settle &message, Now now, Commands &out);
/// @brief Sends Reserved to the entry daemon of a reservation.
void sendReserved(ControlState &state, const AdmissionId &local, Now now, Commands &out);
/// @brief Sends Refused to an entry daemon.
void sendRefused(const ControlState &state, const ReservationOrigin &peer, const Refusal &refusal,
                 Commands &out);
/// @brief Bills the reservations of a dead entry daemon at their worst case.
void billDeadEntry(ControlState &state, const HolderDeclaredDead &event, Now now, Commands &out);
/// @brief Ends a reservation whose estimated bill is committed.
/// @return false if the bill is not an estimated one
bool onEstimateCommitted(ControlState &state, const BillOp &op, Now now, Commands &out);
/// @brief Confirms long-held reservations again and removes expired records of ended ones.
void runHomeTimers(ControlState &state, Now now, Commands &out);
std::optional<MonoTime> nextHomeWake(const ControlState &state);

// Store calls (controlcommits.cpp)

LedgerCommit &ledgerShard(ControlState &state, const BudgetId &budget);
RequestCommit &requestShard(ControlState &state, const RequestId &request);
void onStoreReply(ControlState &state, const StoreReply &reply, Now now, Commands &out);
/// @brief Returns true if the store holds every submitted operation.
bool commitsIdle(const ControlState &state);
/// @brief Starts all store calls that are ready.
void startCalls(ControlState &state, Now now, Commands &out);

// Archive (controlarchive.cpp)

/// @brief Starts moving records out of request shards that have grown large.
void archiveRequests(ControlState &state, Now now, Commands &out);
/// @brief Handles the reply to the write of a segment.
/// @return false if the reply belongs to another call
bool onArchiveReply(ControlState &state, const StoreReply &reply, Now now, Commands &out);

} // namespace tamarack::detail
