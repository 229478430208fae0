// Protobuf decoding of the messages between daemons.
#include "adapters/peers/messagecodec.h"

#include "peer.pb.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

PeerMessage fromProto(const peer::Heartbeat &in)
{
    Heartbeat message;
    message.holder_ = HolderId {in.holder()};
    message.zone_ = ZoneId {in.zone()};
    message.peerAddress_ = in.peer_address();
    message.bundle_ = BundleVersion {in.bundle()};
    message.leaving_ = in.leaving();
    message.members_ = in.members();
    message.membersDigest_ = in.members_digest();
    return message;
}

PeerMessage fromProto(const peer::Reserve &in)
{
    Reserve message;
    message.admission_ = AdmissionId {in.admission()};
    message.entry_ = HolderId {in.entry()};
    message.home_ = HolderId {in.home()};
    message.request_ = RequestId {in.request()};
    message.account_ = AccountId {in.account()};
    message.budget_ = BudgetId {in.budget()};
    message.worstCase_ = Tokens {in.worst_case()};
    message.remaining_ = Millis {in.remaining_ms()};
    return message;
}

PeerMessage fromProto(const peer::Settle &in)
{
    return Settle {AdmissionId {in.admission()}, HolderId {in.entry()}, HolderId {in.home()},
                   Tokens {in.charged()}};
}

PeerMessage fromProto(const peer::BundleParts &in)
{
    return BundleParts {BundleVersion {in.version()},
                        in.manifest(),
                        OperatorId {in.operator_id()},
                        in.signature(),
                        {in.parts().begin(), in.parts().end()}};
}

/// More daemons than any fleet has. One that believes a larger number would use none of its limits.
constexpr std::uint32_t maxFleetSize = 100'000;

/// Larger numbers than any instance has; sums of them can't overflow.
constexpr std::uint64_t maxLoadTokens = 1'000'000'000'000;
constexpr std::uint32_t maxLoadRequests = 1'000'000;
constexpr double maxPrefillPerMs = 1e6;

InstanceLoad loadFromProto(const peer::InstanceLoad &in)
{
    const auto tokens = [](std::uint64_t count) {
        return Tokens {static_cast<std::int64_t>(std::min(count, maxLoadTokens))};
    };
    const double speed = in.prefill_per_ms();
    return InstanceLoad {UpstreamId {in.instance()}, std::min(in.running(), maxLoadRequests),
                         tokens(in.queued_prefill()), tokens(in.context_tokens()),
                         std::isfinite(speed) ? std::clamp(speed, 0.0, maxPrefillPerMs) : 0.0};
}

PeerMessage fromProto(const peer::DocumentsAsked &in)
{
    DocumentsRequest message {in.reply_address(), {}};
    if (in.shares_load()) {
        message.loads_.emplace();
        for (const peer::InstanceLoad &load : in.loads())
            message.loads_->push_back(loadFromProto(load));
    }
    for (const peer::FeedPosition &position : in.positions())
        message.positions_.push_back(FeedPosition {
            position.feed(), {StoreEra {position.era()}, Revision {position.revision()}}});
    if (in.large_documents() == peer::ANNOUNCE)
        message.largeDocuments_ = LargeDocuments::Announce;
    else if (in.large_documents() == peer::COMPRESS)
        message.largeDocuments_ = LargeDocuments::Compress;
    return message;
}

FeedChanges feedChangesFromProto(const peer::FeedChanges &in)
{
    FeedChanges changes {
        in.feed(), Revision {in.after()}, {StoreEra {in.era()}, Revision {in.at()}}, {}};
    for (const peer::Document &document : in.documents()) {
        PeerDocument decoded {StoreKey {document.key()},
                              {StoreEra {document.era()}, Revision {document.revision()}},
                              std::nullopt};
        decoded.compressed_ = document.compressed_value();
        if (!document.removed() && decoded.compressed_.empty())
            decoded.value_ = document.value();
        changes.documents_.push_back(std::move(decoded));
    }
    return changes;
}

/// Longer ages are not useful and could overflow the duration.
constexpr std::uint64_t maxAgeMs = 3'600'000;
/// The year 2096; later times could overflow the clock's type.
constexpr std::int64_t maxWallMs = 4'000'000'000'000;

boost::leaf::error_id unknownCodeError(std::uint32_t code)
{
    return fail(ErrorKind::InvalidMessage, "tamarack.peers.102",
                "a peer message has the unknown code " + std::to_string(code)
                    + "; run the same version on all daemons");
}

ServedVersion fromProto(const peer::ServedVersion &in)
{
    return ServedVersion {ServiceId {in.service()}, SoftwareVersion {in.version()}};
}

PeerMessage fromProto(const peer::DocumentsOffered &in)
{
    DocumentsReply message;
    for (const peer::FeedChanges &changes : in.changes())
        message.changes_.push_back(feedChangesFromProto(changes));
    if (in.has_contact_age_ms() && in.contact_age_ms() <= maxAgeMs)
        message.contactAge_ = Millis {in.contact_age_ms()};
    for (const peer::InstanceLoad &load : in.loads())
        message.loads_.push_back(loadFromProto(load));
    message.loadReporters_ = in.load_reporters();
    for (const peer::ServedVersion &version : in.confirmed_versions())
        message.versions_.versions_.push_back(fromProto(version));
    message.versions_.era_ = StoreEra {in.confirmed_era()};
    for (const peer::AnnouncedChanges &announced : in.announced())
        message.announced_.push_back(
            AnnouncedChanges {announced.feed(),
                              {StoreEra {announced.era()}, Revision {announced.at()}},
                              announced.bytes()});
    message.address_ = in.address();
    message.isTransfer_ = in.transfer();
    return message;
}

PeerMessage fromProto(const peer::StreamBegan &in)
{
    return StreamBegan {StreamKey {in.stream()}, fromProto(in.origin()),
                        Millis {std::min(in.lifetime_ms(), maxAgeMs)}};
}

Result<PeerMessage> decodeOriginReply(const peer::StreamOriginAnswered &in)
{
    if (in.knowledge() > static_cast<std::uint32_t>(OriginKnowledge::Contradictory))
        return unknownCodeError(in.knowledge());
    return PeerMessage {StreamOriginReply {StreamKey {in.stream()},
                                           static_cast<OriginKnowledge>(in.knowledge()),
                                           fromProto(in.origin())}};
}

/// Larger than any priority of a configuration.
constexpr std::uint32_t maxUrgency = 1'000'000;

PeerMessage fromProto(const peer::TokensAsked &in)
{
    LoanRequest message;
    message.borrower_ = HolderId {in.borrower()};
    message.replyAddress_ = in.reply_address();
    message.lender_ = HolderId {in.lender()};
    message.account_ = AccountId {in.account()};
    message.needed_ = Tokens {in.needed()};
    message.wanted_ = Tokens {in.wanted()};
    message.spent_ = Tokens {in.spent()};
    message.returned_ = Tokens {in.returned()};
    message.urgency_ = static_cast<int>(std::min(in.urgency(), maxUrgency));
    return message;
}

PeerMessage fromProto(const peer::GrantsCommitted &in)
{
    GrantReport message {HolderId {in.holder()}, StoreEra {in.era()}, {}};
    for (const peer::CommittedGrant &grant : in.grants())
        message.grants_.push_back(
            ReportedGrant {BudgetId {grant.budget()}, Tokens {grant.authorized()},
                           Tokens {grant.settled()}, Tokens {grant.returned()}});
    return message;
}

InstanceProcess processFromProto(const std::string &instance, std::int64_t startedMs)
{
    InstanceProcess process {UpstreamId {instance}, {}};
    process.startedAt_ += Millis {std::clamp<std::int64_t>(startedMs, 0, maxWallMs)};
    return process;
}

PeerMessage fromProto(const peer::PermitAsked &in)
{
    PermitRequest message;
    message.replyAddress_ = in.reply_address();
    message.process_ = processFromProto(in.instance(), in.started_ms());
    message.number_ = in.number();
    if (in.has_limit())
        message.limit_ = std::isfinite(in.limit()) ? std::max(in.limit(), 0.0) : 0.0;
    message.statedAge_ = Millis {std::min(in.stated_age_ms(), maxAgeMs)};
    if (in.has_cold_limit())
        message.coldPerSecond_
            = std::isfinite(in.cold_limit()) ? std::max(in.cold_limit(), 0.0) : 0.0;
    message.zone_ = ZoneId {in.zone()};
    return message;
}

/// Code that refusalCode() returns for a number that is not a RefusalReason.
constexpr std::string_view unknownRefusalCode = "internal";

Result<PeerMessage> decodeLoanReply(const peer::TokensLent &in)
{
    if (in.refusal() > static_cast<std::uint32_t>(LoanRefusal::Exhausted))
        return unknownCodeError(in.refusal());
    LoanReply message;
    message.lender_ = HolderId {in.lender()};
    message.account_ = AccountId {in.account()};
    message.lent_ = Tokens {in.lent()};
    message.refusal_ = static_cast<LoanRefusal>(in.refusal());
    message.unavailable_ = in.unavailable();
    message.recalled_ = in.recalled();
    message.borrower_ = HolderId {in.borrower()};
    return PeerMessage {message};
}

/// Less than any shift by it would overflow.
constexpr std::uint32_t maxReportedSampling = 32;

Result<PeerMessage> decodeQuarantineReport(const peer::CrashesReported &in, QuarantineScope scope)
{
    if (in.purpose() > static_cast<std::uint32_t>(ReportPurpose::Exchange))
        return unknownCodeError(in.purpose());
    QuarantineReport message;
    message.replyAddress_ = in.reply_address();
    message.purpose_ = static_cast<ReportPurpose>(in.purpose());
    message.scope_ = scope;
    message.digest_ = in.digest();
    for (const peer::Crash &crash : in.crashes()) {
        ReportedCrash decoded;
        decoded.id_ = processFromProto(crash.instance(), crash.started_ms());
        decoded.address_ = crash.address();
        decoded.age_ = Millis {std::min(crash.age_ms(), maxAgeMs)};
        for (const std::uint64_t part : crash.suspects())
            decoded.suspects_.push_back(SuspectId {part});
        for (const std::uint64_t part : crash.cleared())
            decoded.cleared_.push_back(SuspectId {part});
        decoded.sampling_ = std::min(crash.sampling(), maxReportedSampling);
        if (crash.has_survived_age_ms())
            decoded.survivedAge_ = Millis {std::min(crash.survived_age_ms(), maxAgeMs)};
        message.crashes_.push_back(std::move(decoded));
    }
    return PeerMessage {std::move(message)};
}

Result<PeerMessage> decodePermitReply(const peer::PermitAnswered &in)
{
    if (in.result() > static_cast<std::uint32_t>(PermitResult::LimitEnded))
        return unknownCodeError(in.result());
    PermitReply message;
    message.process_ = processFromProto(in.instance(), in.started_ms());
    message.number_ = in.number();
    message.result_ = static_cast<PermitResult>(in.result());
    message.retryAfter_ = Millis {std::min(in.retry_after_ms(), maxAgeMs)};
    return PeerMessage {std::move(message)};
}

Result<PeerMessage> decodeRefused(const peer::Refused &in)
{
    if (refusalCode(static_cast<RefusalReason>(in.reason())) == unknownRefusalCode)
        return unknownCodeError(in.reason());
    if (in.execution() > static_cast<std::uint32_t>(Execution::Unknown))
        return unknownCodeError(in.execution());
    Refused message;
    message.admission_ = AdmissionId {in.admission()};
    message.home_ = HolderId {in.home()};
    message.bundle_ = BundleVersion {in.bundle()};
    message.refusal_.reason_ = static_cast<RefusalReason>(in.reason());
    message.refusal_.execution_ = static_cast<Execution>(in.execution());
    message.refusal_.message_ = in.message();
    if (in.has_retry_after_ms())
        message.refusal_.retryAfter_ = Millis {in.retry_after_ms()};
    return PeerMessage {message};
}

Result<PeerMessage> decodeMessage(const peer::Envelope &in)
{
    switch (in.message_case()) {
    case peer::Envelope::kHeartbeat:
        return fromProto(in.heartbeat());
    case peer::Envelope::kReserve:
        return fromProto(in.reserve());
    case peer::Envelope::kReserveQueued:
        return PeerMessage {ReserveQueued {AdmissionId {in.reserve_queued().admission()},
                                           HolderId {in.reserve_queued().home()}}};
    case peer::Envelope::kReserved:
        return PeerMessage {
            Reserved {AdmissionId {in.reserved().admission()}, HolderId {in.reserved().home()}}};
    case peer::Envelope::kRefused:
        return decodeRefused(in.refused());
    case peer::Envelope::kSettle:
        return fromProto(in.settle());
    case peer::Envelope::kSettleAck:
        return PeerMessage {SettleAck {AdmissionId {in.settle_ack().admission()},
                                       HolderId {in.settle_ack().home()}}};
    case peer::Envelope::kBundleOffer:
        return PeerMessage {BundleOffer {BundleVersion {in.bundle_offer().version()}}};
    case peer::Envelope::kBundleFetch:
        return PeerMessage {BundleFetch {BundleVersion {in.bundle_fetch().version()}}};
    case peer::Envelope::kBundleParts:
        return fromProto(in.bundle_parts());
    case peer::Envelope::kReleaseAsked:
        return PeerMessage {ReleaseRequest {HolderId {in.release_asked().holder()},
                                            BudgetId {in.release_asked().budget()}}};
    case peer::Envelope::kLeaving:
        return PeerMessage {Leaving {HolderId {in.leaving().holder()}}};
    case peer::Envelope::kDocumentsAsked:
        return fromProto(in.documents_asked());
    case peer::Envelope::kDocumentsOffered:
        return fromProto(in.documents_offered());
    case peer::Envelope::kTokensAsked:
        return fromProto(in.tokens_asked());
    case peer::Envelope::kTokensLent:
        return decodeLoanReply(in.tokens_lent());
    case peer::Envelope::kCrashesReported:
        return decodeQuarantineReport(in.crashes_reported(), QuarantineScope::PromptParts);
    case peer::Envelope::kRequestCrashesReported:
        return decodeQuarantineReport(in.request_crashes_reported(), QuarantineScope::Requests);
    case peer::Envelope::kPermitAsked:
        return fromProto(in.permit_asked());
    case peer::Envelope::kPermitAnswered:
        return decodePermitReply(in.permit_answered());
    case peer::Envelope::kGrantsCommitted:
        return fromProto(in.grants_committed());
    case peer::Envelope::kPresenceAsked:
        return PeerMessage {PresenceRequest {in.presence_asked().reply_address()}};
    case peer::Envelope::kPresenceConfirmed:
        return PeerMessage {
            PresenceReply {in.presence_confirmed().leaving(),
                           std::min(in.presence_confirmed().daemons(), maxFleetSize),
                           in.presence_confirmed().unable()}};
    case peer::Envelope::kStreamBegan:
        return fromProto(in.stream_began());
    case peer::Envelope::kStreamOriginAsked:
        return PeerMessage {StreamOriginRequest {in.stream_origin_asked().reply_address(),
                                                 StreamKey {in.stream_origin_asked().stream()}}};
    case peer::Envelope::kStreamOriginAnswered:
        return decodeOriginReply(in.stream_origin_answered());
    case peer::Envelope::MESSAGE_NOT_SET:
        break;
    }
    return unknownCodeError(static_cast<std::uint32_t>(in.message_case()));
}

} // namespace

Result<PeerEnvelope> decodePeerMessage(std::string_view bytes)
{
    peer::Envelope in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.from().empty())
        return fail(ErrorKind::InvalidMessage, "tamarack.peers.101",
                    "a peer message is malformed; check that only daemons of this fleet connect to "
                    "the peer listener");
    BOOST_LEAF_AUTO(message, decodeMessage(in));
    return PeerEnvelope {HostId {in.from()}, std::move(message)};
}

} // namespace tamarack
