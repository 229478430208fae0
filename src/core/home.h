// State of the traffic between entry daemons and home daemons.
//
// The entry daemon of a request asks the home daemon of the budget's shard for tokens and later
// settles them. Both sides repeat until they are answered, and both ignore what they know already.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "core/tokens.h"

#include <map>

namespace tamarack {

struct HomeSettings
{
    /// An entry daemon acts as home itself when the home is silent for this long.
    Millis homeTimeout_ {300};
    /// An unanswered Reserve is repeated after this time.
    Millis reserveRetryInterval_ {100};
    /// First repetition of an unanswered Settle; the time doubles up to maxSettleRetryInterval_.
    Millis settleRetryInterval_ {200};
    Millis maxSettleRetryInterval_ {5000};
    /// A reservation that is held for this long is confirmed again, so that an entry daemon that
    /// does not know it gives it back.
    Millis auditInterval_ {30'000};
    /// How long the home remembers an ended reservation, so that a late Reserve doesn't revive it.
    Millis endedRetention_ {60'000};
    /// How long a settlement without a taker is kept, in case its home was wrongly taken for dead.
    Millis undeliverableRetention_ {std::chrono::hours {24}};
};

/// @brief At the entry daemon: a Reserve that is not answered finally.
struct PendingReserve
{
    HolderId home_;
    MonoTime resendAt_ {};
    /// When the home was asked first or said last that it has the request.
    MonoTime lastHeardAt_ {};
};

/// @brief At the entry daemon: a Settle that is not acknowledged.
struct OpenSettlement
{
    HolderId home_;
    Tokens charged_;
    MonoTime resendAt_ {};
    Millis retryInterval_ {};
    /// The home is dead by the membership's verdict; sent again only if it turns up.
    bool undeliverable_ = false;
};

/// @brief At the home daemon: who a reservation is for. Part of the ActiveRequest.
struct ReservationOrigin
{
    /// The admission at the entry daemon.
    AdmissionId admission_;
    HolderId entry_;
    /// When the reservation is confirmed to the entry daemon again.
    MonoTime auditAt_ {};
    /// The entry daemon is dead and the bill at the worst case is submitted.
    bool estimatedBillSubmitted_ = false;
};

/// @brief All of this daemon's dealings as entry and as home daemon.
///
/// Invariants: each admission in pendingReserves_ is an active request in stage AwaitingHome; each
/// local admission in reservations_ is an active request with a ReservationOrigin of that entry
/// admission.
struct HomeState
{
    HomeSettings settings_;
    std::map<AdmissionId, PendingReserve> pendingReserves_;
    std::map<AdmissionId, OpenSettlement> settlements_;
    /// Local admissions by the entry daemons' admissions.
    std::map<AdmissionId, AdmissionId> reservations_;
    /// Ended entry admissions and when they may be forgotten.
    std::map<AdmissionId, MonoTime> ended_;
    MonoTime nextPurgeAt_ {};
};

/// @brief Returns true if a settlement waits for a home that may still take it.
bool hasOpenSettlements(const HomeState &home);

} // namespace tamarack
