// Messages between daemons. They carry soft state only and may be lost, doubled or reordered, so
// every one of them may be handled again without harm.
#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/time.h"
#include "core/tokens.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// @brief Says that the sender is alive.
struct Heartbeat
{
    HolderId holder_;
    ZoneId zone_;
    std::string peerAddress_;
    BundleVersion bundle_;
    bool leaving_ = false;
    /// Number of registered members that the sender knows.
    std::uint32_t members_ = 0;
    /// Hash of the holders that the sender knows; a difference shows a missed change.
    std::uint64_t membersDigest_ = 0;
};

/// @brief An entry daemon asks the home daemon for tokens. It is repeated until it is answered.
struct Reserve
{
    /// Admission at the entry daemon; it identifies the reservation.
    AdmissionId admission_;
    HolderId entry_;
    /// The run of the home daemon that the reservation is asked of.
    HolderId home_;
    RequestId request_;
    AccountId account_;
    BudgetId budget_;
    Tokens worstCase_;
    /// Time until the caller is answered. A duration, because hosts' clocks differ.
    Millis remaining_ {};
};

/// @brief The home daemon has the request and waits for tokens.
struct ReserveQueued
{
    AdmissionId admission_;
    HolderId home_;
};

/// @brief The tokens are reserved until Settle.
struct Reserved
{
    AdmissionId admission_;
    HolderId home_;
};

/// @brief The home daemon reserves nothing.
struct Refused
{
    AdmissionId admission_;
    HolderId home_;
    /// The bundle that the refusal is based on; a daemon with a newer one doesn't rely on it.
    BundleVersion bundle_;
    Refusal refusal_;
};

/// @brief Ends a reservation, or an ask that may become one. It is repeated until SettleAck.
struct Settle
{
    AdmissionId admission_;
    HolderId entry_;
    HolderId home_;
    /// What the committed bill says; 0 cancels.
    Tokens charged_;
};

/// @brief The reservation is ended.
struct SettleAck
{
    AdmissionId admission_;
    /// The run that answers; another one than asked does not know the reservation.
    HolderId home_;
};

/// @brief Says that the sender holds a bundle version that the receiver seems to lack.
struct BundleOffer
{
    BundleVersion version_;
};

/// @brief Asks for a bundle version.
struct BundleFetch
{
    BundleVersion version_;
};

/// @brief A signed bundle. The receiver verifies it like one from the store.
struct BundleParts
{
    BundleVersion version_;
    /// The manifest as it was signed, byte for byte.
    std::string manifest_;
    OperatorId operator_;
    std::string signature_;
    std::vector<std::string> parts_;
};

/// @brief Asks a holder to hand unspent tokens of a budget back.
struct ReleaseRequest
{
    HolderId holder_;
    BudgetId budget_;
};

/// @brief The sender stops and takes no new work.
struct Leaving
{
    HolderId holder_;
};

/// @brief A document of the store as it was written, or its removal.
struct PeerDocument
{
    StoreKey key_;
    Revision revision_;
    /// Nothing if the key was removed.
    std::optional<std::string> value_;
};

/// @brief Asks a peer for the documents that it knows newer versions of, because the store does not
/// answer this daemon.
struct DocumentsRequest
{
    /// "IP:port" that the answer goes to.
    std::string replyAddress_;
    /// The asker knows all documents up to this revision.
    Revision after_;
};

/// @brief The answer to DocumentsRequest.
struct DocumentsReply
{
    /// The revision that was asked with. An answer to 0 holds all documents.
    Revision after_;
    /// The sender knows all documents up to this revision.
    Revision at_;
    std::vector<PeerDocument> documents_;
};

/// @brief Asks a daemon to lend tokens of an account and reports on those that it lent before.
/// Totals are cumulative for one run of the lender and one run of the borrower.
struct LoanRequest
{
    HolderId borrower_;
    /// "IP:port" that the answer goes to.
    std::string replyAddress_;
    /// The run of the lender that the totals refer to; empty before its first answer.
    HolderId lender_;
    AccountId account_;
    /// Total that has to have been lent for the request at hand; not above what was lent if this is
    /// only a report.
    Tokens needed_;
    /// Total that would cover the next seconds as well.
    Tokens wanted_;
    Tokens spent_;
    Tokens returned_;
};

/// @brief Why a lender does not lend what is needed.
enum class LoanRefusal {
    None,
    /// The total would cover it, but other daemons hold too much.
    HeldElsewhere,
    /// Less is left of the total.
    Exhausted,
};

/// @brief Tells a borrower how much it was lent.
struct LoanReply
{
    HolderId lender_;
    AccountId account_;
    /// Cumulative.
    Tokens lent_;
    /// As a fresh read of the ledger showed.
    LoanRefusal refusal_ = LoanRefusal::None;
    /// The lender can't reach the ledger, or it stops; another one should be asked.
    bool unavailable_ = false;
    /// Little of the account is left, or the lender stops: what is not needed should be returned.
    bool recalled_ = false;
};

using PeerMessage = std::variant<Heartbeat, Reserve, ReserveQueued, Reserved, Refused, Settle,
                                 SettleAck, BundleOffer, BundleFetch, BundleParts, ReleaseRequest,
                                 Leaving, DocumentsRequest, DocumentsReply, LoanRequest, LoanReply>;

} // namespace tamarack
