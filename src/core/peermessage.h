// Messages between daemons. They carry soft state only and may be lost, duplicated or reordered, so
// handling of each one is idempotent.
#pragma once

#include "core/ids.h"
#include "core/instanceload.h"
#include "core/permitmessage.h"
#include "core/presence.h"
#include "core/quarantinereport.h"
#include "core/refusal.h"
#include "core/storeposition.h"
#include "core/streamorigin.h"
#include "core/time.h"
#include "core/tokens.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// @brief Announces that the sender is alive.
struct Heartbeat
{
    HolderId holder_;
    ZoneId zone_;
    std::string peerAddress_;
    BundleVersion bundle_;
    bool leaving_ = false;
    /// Number of registered members that the sender knows.
    std::uint32_t members_ = 0;
    /// Hash of the holders that the sender knows; a difference reveals a missed change.
    std::uint64_t membersDigest_ = 0;
};

/// @brief An entry daemon requests tokens from the home daemon. Retried until it is answered.
struct Reserve
{
    /// Admission at the entry daemon; identifies the reservation.
    AdmissionId admission_;
    HolderId entry_;
    /// The run of the home daemon that the message is addressed to.
    HolderId home_;
    RequestId request_;
    AccountId account_;
    BudgetId budget_;
    Tokens worstCase_;
    /// Time until the caller's deadline. A duration, because the clocks of hosts differ.
    Millis remaining_ {};
};

/// @brief The home daemon has queued the request until tokens are available.
struct ReserveQueued
{
    AdmissionId admission_;
    HolderId home_;
};

/// @brief The tokens are reserved until a Settle message arrives.
struct Reserved
{
    AdmissionId admission_;
    HolderId home_;
};

/// @brief The home daemon refuses the reservation.
struct Refused
{
    AdmissionId admission_;
    HolderId home_;
    /// Bundle version that the refusal is based on; a daemon with a newer one ignores the refusal.
    BundleVersion bundle_;
    Refusal refusal_;
};

/// @brief Ends a reservation or cancels a pending one. Retried until SettleAck.
struct Settle
{
    AdmissionId admission_;
    HolderId entry_;
    HolderId home_;
    /// Tokens charged by the committed bill; 0 cancels the reservation.
    Tokens charged_;
};

/// @brief The reservation has ended.
struct SettleAck
{
    AdmissionId admission_;
    /// The run that responds; a different run than the addressed one does not know the reservation.
    HolderId home_;
};

/// @brief Announces a bundle version that the receiver seems to lack.
struct BundleOffer
{
    BundleVersion version_;
};

/// @brief Requests a bundle version.
struct BundleFetch
{
    BundleVersion version_;
};

/// @brief A signed bundle. The receiver verifies it in the same way as one from the store.
struct BundleParts
{
    BundleVersion version_;
    /// The manifest exactly as it was signed.
    std::string manifest_;
    OperatorId operator_;
    std::string signature_;
    std::vector<std::string> parts_;
};

/// @brief Requests that a holder return unspent tokens of a budget.
struct ReleaseRequest
{
    HolderId holder_;
    BudgetId budget_;
};

/// @brief The sender is stopping and takes no new work.
struct Leaving
{
    HolderId holder_;
};

/// @brief A document of the store as it was written, or its removal.
struct PeerDocument
{
    StoreKey key_;
    StorePosition position_;
    /// Empty if the key was removed.
    std::optional<std::string> value_;
    /// The value in compressed form; empty if it has not been compressed. In a message, it replaces
    /// the value.
    std::string compressed_ {};
};

/// @brief The position up to which a daemon knows all changes of a feed.
struct FeedPosition
{
    std::string feed_;
    StorePosition position_;
};

/// @brief What a reply does with large documents, and with many small ones.
enum class LargeDocuments {
    /// It contains them as they are. Daemons of earlier releases ask for this.
    Include,
    /// It announces the changes of a feed if they are large, and leaves them out.
    Announce,
    /// It contains them in compressed form.
    Compress,
};

/// @brief Requests newer versions of documents from a peer.
struct DocumentsRequest
{
    /// "IP:port" that the response is sent to.
    std::string replyAddress_;
    std::vector<FeedPosition> positions_;
    /// Load that the sender causes, if it shares its load.
    std::optional<std::vector<InstanceLoad>> loads_ {};
    LargeDocuments largeDocuments_ = LargeDocuments::Include;
};

/// @brief The documents of a feed that changed after a position. All positions have the same era.
struct FeedChanges
{
    std::string feed_;
    /// 0 if documents_ are all documents of the feed.
    Revision after_;
    /// The sender knows all changes up to this position.
    StorePosition at_;
    std::vector<PeerDocument> documents_;
};

/// @brief Changes of a feed that a reply leaves out because they are large.
struct AnnouncedChanges
{
    std::string feed_;
    /// The sender knows all changes up to this position.
    StorePosition at_;
    /// Size of the documents as they are sent.
    std::uint64_t bytes_ = 0;
};

/// @brief Response to DocumentsRequest.
struct DocumentsReply
{
    std::vector<FeedChanges> changes_;
    /// Time since the sender's last contact to the store; std::nullopt if it has none.
    std::optional<Millis> contactAge_;
    /// Load that other daemons than the receiver cause, and the number of these daemons.
    std::vector<InstanceLoad> loads_ {};
    std::uint32_t loadReporters_ = 0;
    /// Versions that the store has confirmed to the sender.
    ConfirmedVersions versions_ {};
    std::vector<AnnouncedChanges> announced_ {};
    /// "IP:port" at which the sender can be asked for what it announces.
    std::string address_ {};
    /// The request asked for compressed documents.
    bool isTransfer_ = false;
};

/// @brief Requests a loan of an account's tokens and reports the use of earlier loans. Totals are
/// cumulative for one run of the lender and one run of the borrower.
struct LoanRequest
{
    HolderId borrower_;
    /// "IP:port" that the response is sent to.
    std::string replyAddress_;
    /// The run of the lender that the totals refer to; empty before its first response.
    HolderId lender_;
    AccountId account_;
    /// Total loan needed for the current request; not above the total lent so far if the message is
    /// only a report.
    Tokens needed_;
    /// Total loan that would also cover the next seconds.
    Tokens wanted_;
    Tokens spent_;
    Tokens returned_;
    /// Urgency of the request that waits for the loan; 0 is the most urgent.
    int urgency_ = 0;
};

/// @brief Why a lender does not lend the needed amount.
enum class LoanRefusal {
    None,
    /// The account has enough tokens, but other daemons hold too many of them.
    HeldElsewhere,
    /// The account has too few tokens left.
    Exhausted,
};

/// @brief Response to LoanRequest: the total lent to the borrower.
struct LoanReply
{
    HolderId lender_;
    AccountId account_;
    /// Cumulative.
    Tokens lent_;
    /// Based on a fresh read of the ledger.
    LoanRefusal refusal_ = LoanRefusal::None;
    /// The lender cannot access the ledger or is stopping; the borrower should use another lender.
    bool unavailable_ = false;
    /// Little of the account is left or the lender is stopping: the borrower should return tokens
    /// that it does not need.
    bool recalled_ = false;
    /// The process that borrowed. Messages are addressed to hosts, and the totals are of no use to
    /// a later process of the same host.
    HolderId borrower_;
};

/// @brief Committed totals of one grant, as in Grant.
struct ReportedGrant
{
    BudgetId budget_;
    Tokens authorized_;
    Tokens settled_;
    Tokens returned_;
};

/// @brief Tells another daemon which of the sender's grants the store has confirmed.
struct GrantReport
{
    HolderId holder_;
    /// Era of the store in which the totals were confirmed.
    StoreEra era_;
    std::vector<ReportedGrant> grants_;
};

using PeerMessage
    = std::variant<Heartbeat, Reserve, ReserveQueued, Reserved, Refused, Settle, SettleAck,
                   BundleOffer, BundleFetch, BundleParts, ReleaseRequest, Leaving, DocumentsRequest,
                   DocumentsReply, LoanRequest, LoanReply, QuarantineReport, PermitRequest,
                   PermitReply, GrantReport, PresenceRequest, PresenceReply, StreamBegan,
                   StreamOriginRequest, StreamOriginReply>;

} // namespace tamarack
