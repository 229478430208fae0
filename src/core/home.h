// State of the reservation protocol between entry daemons and home daemons.
//
// The daemon that receives a request (the entry daemon) reserves tokens at the daemon that manages
// the shard of the budget in its zone (the home daemon) and later settles the reservation. Both
// sides retransmit messages until they are acknowledged, and both ignore duplicates.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "core/tokens.h"

#include <map>

namespace tamarack {

struct HomeSettings
{
    /// Without a reply from the home daemon for this long, the entry daemon reserves the tokens
    /// from its own grant.
    Millis homeTimeout_ {300};
    /// Retransmission interval of an unanswered Reserve message.
    Millis reserveRetryInterval_ {100};
    /// Initial retransmission interval of an unacknowledged Settle message. It doubles after each
    /// retransmission, up to maxSettleRetryInterval_.
    Millis settleRetryInterval_ {200};
    Millis maxSettleRetryInterval_ {5000};
    /// Interval at which the home daemon confirms an open reservation again. An entry daemon that
    /// does not know the reservation then releases it.
    Millis auditInterval_ {30'000};
    /// How long the home daemon remembers an ended reservation, so that a delayed Reserve message
    /// does not create it again.
    Millis endedRetention_ {60'000};
    /// How long a settlement is kept after its home daemon was declared dead, in case the home
    /// daemon is alive and returns.
    Millis undeliverableRetention_ {std::chrono::hours {24}};
};

/// @brief Entry daemon: a Reserve message without a final answer.
struct PendingReserve
{
    HolderId home_;
    MonoTime resendAt_ {};
    /// When the first Reserve was queued, or when the home daemon last reported that it holds the
    /// request.
    MonoTime lastHeardAt_ {};
};

/// @brief Entry daemon: a Settle message without an acknowledgement.
struct OpenSettlement
{
    HolderId home_;
    Tokens charged_;
    MonoTime resendAt_ {};
    Millis retryInterval_ {};
    /// The membership module has declared the home daemon dead; the message is sent again only if
    /// the home daemon returns.
    bool undeliverable_ = false;
};

/// @brief Home daemon: the origin of a reservation made for an entry daemon. Part of ActiveRequest.
struct ReservationOrigin
{
    /// Admission id assigned by the entry daemon.
    AdmissionId admission_;
    HolderId entry_;
    /// When the next periodic confirmation is sent to the entry daemon.
    MonoTime auditAt_ {};
    /// The entry daemon is dead and a bill for the worst-case cost has been submitted.
    bool estimatedBillSubmitted_ = false;
};

/// @brief Reservation protocol state of this daemon in both roles, entry and home.
///
/// Invariants: each admission in pendingReserves_ is an active request in stage AwaitingHome; each
/// local admission in reservations_ is an active request whose ReservationOrigin names that entry
/// admission.
struct HomeState
{
    HomeSettings settings_;
    std::map<AdmissionId, PendingReserve> pendingReserves_;
    std::map<AdmissionId, OpenSettlement> settlements_;
    /// Maps admission ids of entry daemons to local admission ids.
    std::map<AdmissionId, AdmissionId> reservations_;
    /// Ended admissions of entry daemons and the time at which each entry expires.
    std::map<AdmissionId, MonoTime> ended_;
    MonoTime nextPurgeAt_ {};
};

/// @brief Returns true if any unacknowledged settlement can still be delivered.
bool hasOpenSettlements(const HomeState &home);

} // namespace tamarack
