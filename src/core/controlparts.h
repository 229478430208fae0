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

/// @brief Permits the next exchange with an upstream, makes the request wait, or refuses it.
void dispatch(ControlState &state, const AdmissionId &admission, Now now, Commands &out);
/// @brief The refusal of a request whose permitted attempts failed.
Refusal attemptsFailed(const ActiveRequest &request);

// Routing and admission (controlrouting.cpp)

/// @brief Refuses a request beyond the limits of its client account.
std::optional<Refusal> limitFault(ControlState &state, const AdmitRequested &ask, Now now);
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
void onFirstToken(ControlState &state, const FirstTokenSeen &event, Now now);
void onLoad(ControlState &state, const LoadReported &event, Now now);
void onHealth(ControlState &state, const UpstreamHealthSeen &event, Now now, Commands &out);
void onCacheEvents(ControlState &state, const CacheEventsSeen &event, Now now);

// Budgets (controlbudgets.cpp)

/// @brief Serves or refuses the requests that wait for tokens of @a budget.
void serveBudget(ControlState &state, const BudgetId &budget, bool refreshed, Now now,
                 Commands &out);
/// @brief Continues a request that has its reservation.
void onReserved(ControlState &state, const AdmissionId &admission, Now now, Commands &out);
/// @brief Takes over what a committed ledger operation confirmed.
void onLedgerCommitted(ControlState &state, const LedgerOp &op, Now now, Commands &out);
/// @brief Returns a reservation and records what was spent of it.
void settleReservation(ControlState &state, const BudgetId &budget, Tokens reserved, Tokens spent,
                       Now now);
/// @brief Submits the settlement of spent tokens unless one is under way.
void submitSettle(ControlState &state, const BudgetId &budget, Now now);
/// @brief Hands all grants back, as part of a planned stop.
void releaseGrants(ControlState &state, Now now);

// Store calls (controlcommits.cpp)

LedgerCommit &ledgerShard(ControlState &state, const BudgetId &budget);
RequestCommit &requestShard(ControlState &state, const RequestId &request);
void onStoreReply(ControlState &state, const StoreReply &reply, Now now, Commands &out);
/// @brief Starts every call that is due.
void startCalls(ControlState &state, Now now, Commands &out);

} // namespace tamarack::detail
