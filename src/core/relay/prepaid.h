// Prepaid balances of a relay daemon: the grants that it holds in the ledger, the loans from
// daemons that draw for it (loans.h) and the reservations of requests against both. Calls to the
// store are group commits of ledger shards.
#pragma once

#include "core/command.h"
#include "core/grants.h"
#include "core/ids.h"
#include "core/ledger.h"
#include "core/peermessage.h"
#include "core/relay/config.h"
#include "core/relay/lenders.h"
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
    /// A grant covers this long at the current burn rate, which outlasts most outages of the store.
    Millis reach_ {8000};
    /// What all daemons together may hold of the unallocated tokens. What they hold when all lose
    /// power is lost, so grants shrink with what is left.
    double heldShare_ = 0.25;
    /// A grant is drawn again once less than this share of its reach is left.
    double refillShare_ = 0.6;
    /// Grants below this share of their reach join a call that is made for another one.
    double joinShare_ = 0.85;
    /// A draw that no request waits for joins others for this long.
    Millis drawDelay_ {150};
    /// A draw from a scarce account joins others for this long, because its requests draw often.
    Millis scarceDelay_ {100};
    /// Interval of the reads that show whether tokens should be handed back.
    Millis reviewInterval_ {3000};
    /// Holders hand back tokens once less than this share of the funding is unallocated.
    double scarceShare_ = 0.15;
    /// What a holder keeps of a scarce budget, as time at its burn rate.
    Millis scarceReach_ {500};
    /// A refusal relies on a copy up to this age; without that, each request on an exhausted
    /// account would cost calls.
    Millis shortageLifetime_ {1000};
    /// A lender's refusal counts for this long; its copy of the ledger may have been as old as
    /// above.
    Millis refusalLifetime_ {500};
    /// Grants that hold less than this time at the burn rate are drawn for waiting requests only,
    /// because each draw ahead would last for a request or two.
    Millis minReach_ {500};
    /// Longest pause after failed calls, and the same for each daemon of a large fleet: calls have
    /// a price, also those that a store in trouble refuses.
    Millis maxBackoff_ {400};
    Millis backoffPerDaemon_ {20};
    LenderSettings lenders_;
    /// A borrower asks for this much ahead, as time at its burn rate. Less than reach_, because the
    /// lender answers while the store does not.
    Millis loanReach_ {1500};
    /// Part of its available tokens that a lender lends ahead to one borrower.
    double loanShare_ = 0.125;
    /// A lender that has not answered for this long is left out. Above the delay of a call to the
    /// store, and short enough to ask another one within a request's wait for tokens.
    Millis loanLimit_ {150};
    /// Pause between two questions for tokens ahead; a lender may have lent less than was asked.
    Millis loanPause_ {400};
    /// Loans that no request used for this long are returned.
    Millis loanIdle_ {1500};
};

/// @brief Tokens that another daemon lent to this one.
struct Loan
{
    /// The totals of the loan: authorized_ is what was lent, settled_ what was reported as spent.
    HeldGrant grant_;
    HostId lenderHost_;
    std::string lenderAddress_;
    /// Part of grant_.returned_ that was reported.
    Tokens reportedReturns_;
    MonoTime usedAt_ {};
};

/// @brief A question to a lender that has not been answered.
struct PendingAsk
{
    HostId host_;
    /// Of the request that needs tokens; 0 if they are asked for ahead.
    Tokens amount_;
    MonoTime expiresAt_ {};
};

/// @brief What a lender said of an amount that it does not lend.
struct LenderRefusal
{
    HostId host_;
    LoanRefusal refusal_ = LoanRefusal::None;
    Tokens amount_;
    MonoTime at_ {};
};

/// @brief What this daemon lent to one run of another. Its reservation in the own grant is
/// lent_ - spent_ - returned_.
///
/// Invariant: spent_ >= 0, returned_ >= 0, spent_ + returned_ <= lent_.
struct CreditLine
{
    HostId borrowerHost_;
    std::string borrowerAddress_;
    Tokens lent_;
    Tokens spent_;
    Tokens returned_;
    /// Totals of the last question that is not answered yet.
    Tokens needed_;
    Tokens wanted_;
    bool answerDue_ = false;
};

/// @brief Tokens that are set aside for a request.
struct Reservation
{
    /// The own grant or the lender's run.
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
    MonoTime reviewAt_ {};
    /// When tokens were first asked for.
    std::optional<MonoTime> usedSince_;
    /// When this daemon's requests last asked for tokens.
    MonoTime usedAt_ {};
    /// Tokens a second that the first request suggests.
    double firstBurn_ = 0.0;
    /// By the lender's run. They are kept after they are spent: a lender that is heard of again
    /// repeats the total, which must not be taken for new tokens.
    std::map<HolderId, Loan> loans_;
    std::optional<PendingAsk> ask_;
    MonoTime askedAt_ {};
    std::optional<LenderRefusal> refusal_;
    /// Lenders that could lend none of this account lately.
    AvoidedLenders emptyLenders_;
    /// When the last draw was submitted.
    MonoTime drewAt_ {};
    /// By the borrower's run.
    std::map<HolderId, CreditLine> lines_;
    /// Tokens lent per second less those returned, smoothed. Reports of what was spent come too
    /// late to size the grant by.
    double lendRate_ = 0.0;
    MonoTime lentAt_ {};
};

using PrepaidShard = ShardCommit<LedgerShard, LedgerOp>;

/// @brief All balances of this daemon.
struct PrepaidState
{
    HolderId holder_;
    std::map<AccountId, PrepaidBalance> balances_;
    std::map<ShardNumber, PrepaidShard> shards_;
    std::map<ShardNumber, MonoTime> copiedAt_;
    std::map<CallId, ShardNumber> calls_;
    std::uint64_t lastCall_ = 0;
    /// Daemons that share the budgets, this one included.
    std::uint32_t daemons_ = 1;
    Lenders lenders_;
    /// "IP:port" that answers of lenders go to; without it nothing is borrowed.
    std::string peerAddress_;
    /// The last known run of each lender.
    std::map<HostId, HolderId> runs_;
    /// Messages to other daemons that are not sent yet.
    std::vector<SendPeer> outbox_;
    /// This daemon stops and lends nothing any more.
    bool stopping_ = false;
};

/// @brief Takes over the totals of a configuration.
void fundAccounts(PrepaidState &state, const PrepaidSettings &settings, const RelayConfig &config,
                  MonoTime now);

/// @brief Reserves the worst case of a request.
///
/// No draw is submitted while a fresh copy of the ledger shows that it can't succeed.
/// @return nothing if neither the grant nor a loan covers it; a draw is submitted or a lender is
/// asked then
std::optional<Reservation> reserveTokens(PrepaidState &state, const PrepaidSettings &settings,
                                         const AccountId &account, Tokens amount, MonoTime now);

/// @brief Ends a reservation.
/// @param spent what the request used, at most the reserved amount
void settleTokens(PrepaidState &state, const AccountId &account, const Reservation &reservation,
                  Tokens spent, MonoTime now);

/// @brief What the ledger's last copy says about an amount that the grant does not cover.
enum class Shortage {
    /// The store has not answered yet.
    Unknown,
    /// What is left of the total is smaller than the amount.
    Exhausted,
    /// The total would cover the amount, but other daemons hold too much of it.
    HeldElsewhere,
    /// A draw can still succeed.
    None,
};

/// @brief The figures behind a judgement, for the log.
struct ShortageFigures
{
    Tokens funded_;
    Tokens charged_;
    /// Held by all daemons, this one included, and not settled.
    Tokens outstanding_;
    Tokens unallocated_;
    /// Of this daemon's own grant.
    Tokens available_;
    /// Age of the ledger's copy.
    Millis age_ {};
};

ShortageFigures shortageFigures(const PrepaidState &state, const PrepaidSettings &settings,
                                const AccountId &account, MonoTime now);

/// @brief Returns the lender's word on an amount, if it refused that much just now.
std::optional<LenderRefusal> lenderRefusal(const PrepaidState &state,
                                           const PrepaidSettings &settings,
                                           const AccountId &account, Tokens amount, MonoTime now);

/// @brief Judges why an amount can't be reserved, by this daemon's own copy of the ledger.
Shortage judgeShortage(const PrepaidState &state, const PrepaidSettings &settings,
                       const AccountId &account, Tokens amount);

/// @brief Starts the calls to the store that are due.
std::vector<SubmitStoreCall> startPrepaidCalls(PrepaidState &state, const PrepaidSettings &settings,
                                               MonoTime now);

/// @brief Applies a reply.
/// @return the accounts whose ledger record was read or changed by this call
std::set<AccountId> finishPrepaidCall(PrepaidState &state, const PrepaidSettings &settings,
                                      const StoreReply &reply, MonoTime now);

/// @brief Submits draws, returns and reads whose time has come.
void reviewBalances(PrepaidState &state, const PrepaidSettings &settings, MonoTime now);

/// @brief Submits the hand-back of all grants and loans that no request needs. What was lent is
/// charged.
void releaseGrants(PrepaidState &state, const PrepaidSettings &settings, MonoTime now);

/// @brief Returns true if the last call to an account's shard failed.
bool isLedgerFailing(const PrepaidState &state, const PrepaidSettings &settings,
                     const AccountId &account);

/// @brief Returns true if the store holds everything that was submitted.
bool isPrepaidIdle(const PrepaidState &state);

/// @brief Returns when startPrepaidCalls() or reviewBalances() has work to do next.
std::optional<MonoTime> nextPrepaidTime(const PrepaidState &state);

/// @brief Checks the invariants of all grants.
Result<void> checkInvariants(const PrepaidState &state);

} // namespace tamarack
