// Prepaid balances of a relay daemon: the grants that it holds in the ledger, the loans from other
// daemons (loans.h) and the reservations of requests against both. Store calls are group commits of
// ledger shards.
#pragma once

#include "core/command.h"
#include "core/grants.h"
#include "core/ids.h"
#include "core/ledger.h"
#include "core/peermessage.h"
#include "core/relay/config.h"
#include "core/relay/firstgrants.h"
#include "core/relay/granthandover.h"
#include "core/relay/lenders.h"
#include "core/relay/tokenshares.h"
#include "core/shardcommit.h"
#include "core/time.h"
#include "core/tokens.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

struct PrepaidSettings
{
    /// Key prefix of the ledger shards in the store.
    std::string keyPrefix_ = "tamarack/ledger";
    std::uint32_t shards_ = 1;
    /// A grant covers this much time at the current consumption rate. It outlasts most store
    /// outages.
    Millis grantHorizon_ {8000};
    /// Maximum fraction of the unallocated tokens that all daemons together may hold. If all
    /// daemons crash at once, the tokens they hold are lost, so grants shrink as the unallocated
    /// tokens do.
    double maxHeldShare_ = 0.25;
    /// A grant is refilled once it holds less than this fraction of its target size.
    double refillShare_ = 0.6;
    /// Grants below this fraction of their target size join a ledger call that is made for another
    /// grant.
    double joinShare_ = 0.85;
    /// Batching delay of a draw that no request waits for.
    Millis drawDelay_ {150};
    /// Batching delay of a draw from a scarce account, whose requests draw often.
    Millis scarceDelay_ {100};
    /// Interval of the ledger reads that show whether tokens should be returned.
    Millis reconcileInterval_ {3000};
    /// An account is scarce, and holders return tokens, once less than this fraction of its funding
    /// is unallocated.
    double scarceShare_ = 0.15;
    /// Tokens that a holder keeps of a scarce account, as time at its consumption rate.
    Millis scarceHorizon_ {500};
    /// Maximum age of the ledger copy that a refusal may rely on. Without refusals from the copy,
    /// each request on an exhausted account would cost store calls.
    Millis shortageLifetime_ {1000};
    /// How long a lender's refusal applies. The lender's copy of the ledger may already have been
    /// as old as shortageLifetime_.
    Millis refusalLifetime_ {500};
    /// Grants whose target size covers less than this time at the consumption rate are refilled on
    /// demand only, because each draw in advance would last for one or two requests.
    Millis minHorizon_ {500};
    /// Backoff after failed store calls, which doubles up to maxBackoff_ or, in a large fleet, to
    /// backoffPerDaemon_ for each daemon. It applies to all shards: while calls fail, one is made
    /// at a time. Store calls are charged, including those that the store refuses or doesn't
    /// answer.
    Millis minBackoff_ {50};
    Millis maxBackoff_ {200};
    Millis backoffPerDaemon_ {20};
    LenderSettings lenders_;
    /// Number of live daemons from which on shortages of tokens are managed: first grants, shares
    /// by urgency, handovers and refusals without a wait.
    std::uint32_t manageShortageFrom_ = 1;
    /// Maximum first grant of an account as a fraction of its unallocated tokens.
    double firstGrantShare_ = 0.02;
    /// First grants are drawn this long after the lenders of the zone last changed. The daemons of
    /// a fleet that starts learn of each other within about this time.
    Millis firstGrantDelay_ {1000};
    /// First grants are spread over this time, because lenders of different zones that write the
    /// same key at the same time cause conflicts, which are charged store calls.
    Millis firstGrantSpread_ {2000};
    /// Interval after which first grants are drawn again that have not been confirmed.
    Millis firstGrantRetryInterval_ {3000};
    /// A borrower requests this much in advance, as time at its consumption rate. Less than
    /// grantHorizon_, because lenders keep replying during a store outage.
    Millis loanHorizon_ {1500};
    /// Maximum fraction of its available tokens that a lender lends in advance to one borrower.
    double maxLoanShare_ = 0.125;
    /// A lender that has not replied within this time is excluded. Longer than a store call takes,
    /// and short enough to try another lender while the request may still wait for tokens.
    Millis loanTimeout_ {150};
    /// Minimum time between two loan requests in advance; a lender may have lent less than
    /// requested.
    Millis loanRequestInterval_ {400};
    /// Loans that have been unused for this long are returned.
    Millis loanIdleTimeout_ {1500};
    /// A lender that hands over its tokens when its stop begins keeps those that its own requests
    /// use while it still accepts connections.
    Millis handoverKeepTime_ {3000};
    /// No tokens are drawn for this long after the store was noticed to have returned from a copy.
    /// All daemons notice it, and write what they hold, within this time.
    Millis returnSettleTime_ {2500};
    /// Reports of other holders are kept for this long at least, and twice as long at most. The
    /// copy from which a store returns is some seconds old.
    Millis reportLifetime_ {60'000};
};

/// @brief Tokens that another daemon lent to this one.
struct ReceivedLoan
{
    /// Totals of the loan: authorized_ is the amount lent, settled_ the amount reported as spent.
    HeldGrant grant_;
    HostId lenderHost_;
    std::string lenderAddress_;
    /// Part of grant_.returned_ that was reported to the lender.
    Tokens reportedReturned_;
    MonoTime lastUsedAt_ {};
    /// The lender has handed over tokens before its end, so they are kept until they are used.
    bool handedOver_ = false;
};

/// @brief A loan request without a reply.
struct PendingLoanRequest
{
    HostId host_;
    /// Amount needed by the waiting request; 0 for a loan request in advance.
    Tokens amount_;
    MonoTime expiresAt_ {};
    int urgency_ = 0;
};

/// @brief A lender's refusal to lend an amount.
struct LenderRefusal
{
    HostId host_;
    LoanRefusal refusal_ = LoanRefusal::None;
    Tokens amount_;
    MonoTime at_ {};
    /// Urgency of the refused request; more urgent ones may still get tokens.
    int urgency_ = 0;
};

/// @brief Tokens that this daemon lent to one process of another daemon. The outstanding part,
/// lent_ - spent_ - returned_, is reserved in this daemon's own grant.
///
/// Invariant: spent_ >= 0, returned_ >= 0, spent_ + returned_ <= lent_.
struct IssuedLoan
{
    HolderId borrower_;
    HostId borrowerHost_;
    std::string borrowerAddress_;
    Tokens lent_;
    Tokens spent_;
    Tokens returned_;
    /// Totals of the last loan request that has no reply yet.
    Tokens needed_;
    Tokens wanted_;
    /// Urgency of the last loan request.
    int urgency_ = 0;
    /// Largest amount that a request of the borrower waited for.
    Tokens largestNeed_;
    /// Smoothed rate of tokens lent, per second.
    double lentRate_ = 0.0;
    MonoTime lentRateAt_ {};
    bool replyPending_ = false;
};

/// @brief Tokens reserved for a request.
struct Reservation
{
    /// This daemon for its own grant, or the lender's process.
    HolderId from_;
    Tokens amount_;
};

/// @brief The balance of one client account.
struct PrepaidBalance
{
    HeldGrant grant_;
    Tokens funded_;
    ConfigVersion fundingVersion_;
    /// The FundOp of fundingVersion_ is committed.
    bool fundingCommitted_ = false;
    MonoTime nextReconcileAt_ {};
    /// When tokens were first requested.
    std::optional<MonoTime> firstUsedAt_;
    /// When a request of this daemon last needed tokens.
    MonoTime lastUsedAt_ {};
    /// Consumption rate in tokens per second, estimated from the first request.
    double initialConsumptionRate_ = 0.0;
    /// Keyed by the lender's process. Entries are kept after the loan is spent, because a lender
    /// repeats the cumulative total in each reply and it must not count as new tokens.
    std::map<HolderId, ReceivedLoan> receivedLoans_;
    std::optional<PendingLoanRequest> pendingRequest_;
    MonoTime loanRequestedAt_ {};
    std::optional<LenderRefusal> refusal_;
    /// Lenders that recently had no tokens of this account to lend.
    ExcludedPeers lendersWithoutTokens_;
    /// When the last draw was submitted.
    MonoTime lastDrawAt_ {};
    /// Keyed by the borrower's process.
    std::map<HolderId, IssuedLoan> issuedLoans_;
    /// Smoothed rate of tokens lent minus tokens returned, per second. Reports of spent tokens
    /// arrive too late to size the grant.
    double lendRate_ = 0.0;
    MonoTime lendRateAt_ {};
    /// Demand of this daemon's requests.
    TokenShares shares_;
    /// Demand for which loans are requested of this daemon. Small requests are mostly served from
    /// loans that are held already, so the mix of the daemon's own requests may show more of them.
    TokenShares loanShares_;
};

/// @brief What other holders have reported of one ledger shard (grantreports.h). Decisions must not
/// rely on it, because the records contain the grants of some holders only.
struct GrantReports
{
    LedgerShard newer_;
    LedgerShard older_;
    /// When newer_ was last emptied.
    MonoTime rotatedAt_ {};
};

using PrepaidShard = ShardCommit<LedgerShard, LedgerOp>;

/// @brief Tokens that are left while they are short, and what more urgent requests need of them.
struct UrgentShare
{
    /// Unreserved tokens that this daemon holds, and its zone's part of the unallocated ones if
    /// the ledger can be drawn on.
    Tokens left_;
    /// Expected use by more urgent requests until the end of the shortage.
    Tokens expected_;
    /// Expected rest of the shortage.
    Millis rest_ {};
};

/// @brief A loan that was refused because more urgent requests need the tokens.
struct ReservedForUrgent
{
    AccountId account_;
    HostId borrower_;
    Tokens amount_;
    int urgency_ = 0;
    UrgentShare share_;
};

/// @brief Balances of all accounts at this daemon.
struct PrepaidState
{
    HolderId holder_;
    std::map<AccountId, PrepaidBalance> balances_;
    std::map<ShardNumber, PrepaidShard> shards_;
    std::map<ShardNumber, MonoTime> ledgerReadAt_;
    std::map<ShardNumber, GrantReports> grantReports_;
    FirstGrants firstGrants_;
    std::map<CallId, ShardNumber> calls_;
    std::uint64_t lastCall_ = 0;
    /// Failed store calls since the last one that was answered.
    std::uint32_t failures_ = 0;
    /// False if neither this daemon nor the peers that it asks for documents reach the store.
    bool storeContact_ = true;
    /// Since when store calls have failed or the store was known to be out of reach.
    std::optional<MonoTime> failingSince_;
    /// No call starts before this time.
    MonoTime backoffUntil_ {};
    /// Newest known era of the store; 0 if it is unknown or the store does not count eras.
    StoreEra storeEra_;
    /// Set while no tokens are drawn, because the ledger may lack some that other daemons hold.
    std::optional<MonoTime> drawsPausedUntil_;
    /// The era for which draws were last paused.
    StoreEra pausedEra_;
    /// Daemons that share the budgets, including this one.
    std::uint32_t daemons_ = 1;
    Lenders lenders_;
    /// "IP:port" that lenders reply to; if it is empty, nothing is borrowed.
    std::string peerAddress_;
    /// Last known process of each lender.
    std::map<HostId, HolderId> lenderProcesses_;
    /// Lenders without a reply since the first request that timed out.
    std::map<HostId, MonoTime> silentLenders_;
    /// When the oldest request without a reply was sent, by lender.
    std::map<HostId, MonoTime> unansweredSince_;
    /// Messages to other daemons that have not been sent yet.
    std::vector<SendPeer> outbox_;
    /// Refused loans that have not been logged yet.
    std::vector<ReservedForUrgent> reservedForUrgent_;
    /// Handovers that have not been logged yet.
    std::vector<Handover> handovers_;
    /// This daemon is stopping and no longer lends.
    bool stopping_ = false;
};

/// @brief Applies the prepaid totals of a configuration.
void applyFunding(PrepaidState &state, const PrepaidSettings &settings, const RelayConfig &config,
                  MonoTime now);

/// @brief Reserves the maximum cost of a request.
///
/// Submits no draw while a fresh copy of the ledger shows that it can't succeed.
/// @param urgency while tokens are short, those that more urgent requests need are not reserved
/// @return std::nullopt if neither the grant nor a loan covers the amount; in that case, a draw is
/// submitted or a loan is requested, unless the tokens are kept for more urgent requests
std::optional<Reservation> reserveTokens(PrepaidState &state, const PrepaidSettings &settings,
                                         const AccountId &account, Tokens amount, MonoTime now,
                                         int urgency = 0);

/// @brief Settles a reservation and releases the unspent tokens.
/// @param spent tokens that the request used; at most the reserved amount
void settleTokens(PrepaidState &state, const AccountId &account, const Reservation &reservation,
                  Tokens spent, MonoTime now);

/// @brief Starts the store calls that are due.
std::vector<SubmitStoreCall> startPrepaidCalls(PrepaidState &state, const PrepaidSettings &settings,
                                               MonoTime now);

/// @brief Applies the reply to a store call.
/// @return the accounts whose ledger record was read or changed by this call
std::set<AccountId> finishPrepaidCall(PrepaidState &state, const PrepaidSettings &settings,
                                      const StoreReply &reply, MonoTime now);

/// @brief Submits the draws, returns and reads that are due, and refills or returns loans.
void reconcileBalances(PrepaidState &state, const PrepaidSettings &settings, MonoTime now);

/// @brief Returns the unreserved tokens of all grants and received loans, or hands them over to
/// borrowers if the ledger fails. Outstanding issued loans are charged.
void releaseGrants(PrepaidState &state, const PrepaidSettings &settings, MonoTime now);

/// @brief Records the era of the store. After a return from a copy, the shards are read again, what
/// this daemon knows in addition is written, and draws are paused.
void noticeStoreEra(PrepaidState &state, const PrepaidSettings &settings, StoreEra era,
                    MonoTime now);

/// @brief Ends the backoff after failed store calls, because the store is available again.
void endBackoff(PrepaidState &state, MonoTime now);

/// @brief Returns true if all submitted operations are committed.
bool isPrepaidIdle(const PrepaidState &state);

/// @brief Returns when startPrepaidCalls() or reconcileBalances() has work to do next.
std::optional<MonoTime> nextPrepaidTime(const PrepaidState &state);

/// @brief Checks the invariants of all grants and loans.
Result<void> checkInvariants(const PrepaidState &state);

} // namespace tamarack
