// Protobuf encoding of the messages between daemons.
#include "adapters/peers/messagecodec.h"

#include "peer.pb.h"

#include <algorithm>

namespace tamarack {

namespace {

void encodeInto(peer::Envelope &envelope, const Heartbeat &message)
{
    peer::Heartbeat &out = *envelope.mutable_heartbeat();
    out.set_holder(message.holder_.value_);
    out.set_zone(message.zone_.value_);
    out.set_peer_address(message.peerAddress_);
    out.set_bundle(message.bundle_.value_);
    out.set_leaving(message.leaving_);
    out.set_members(message.members_);
    out.set_members_digest(message.membersDigest_);
}

void encodeInto(peer::Envelope &envelope, const Reserve &message)
{
    peer::Reserve &out = *envelope.mutable_reserve();
    out.set_admission(message.admission_.value_);
    out.set_entry(message.entry_.value_);
    out.set_home(message.home_.value_);
    out.set_request(message.request_.value_);
    out.set_account(message.account_.value_);
    out.set_budget(message.budget_.value_);
    out.set_worst_case(message.worstCase_.count_);
    out.set_remaining_ms(message.remaining_.count());
}

void encodeInto(peer::Envelope &envelope, const ReserveQueued &message)
{
    peer::ReserveQueued &out = *envelope.mutable_reserve_queued();
    out.set_admission(message.admission_.value_);
    out.set_home(message.home_.value_);
}

void encodeInto(peer::Envelope &envelope, const Reserved &message)
{
    peer::Reserved &out = *envelope.mutable_reserved();
    out.set_admission(message.admission_.value_);
    out.set_home(message.home_.value_);
}

void encodeInto(peer::Envelope &envelope, const Refused &message)
{
    peer::Refused &out = *envelope.mutable_refused();
    out.set_admission(message.admission_.value_);
    out.set_home(message.home_.value_);
    out.set_bundle(message.bundle_.value_);
    out.set_reason(static_cast<std::uint32_t>(message.refusal_.reason_));
    out.set_execution(static_cast<std::uint32_t>(message.refusal_.execution_));
    out.set_message(message.refusal_.message_);
    if (message.refusal_.retryAfter_)
        out.set_retry_after_ms(message.refusal_.retryAfter_->count());
}

void encodeInto(peer::Envelope &envelope, const Settle &message)
{
    peer::Settle &out = *envelope.mutable_settle();
    out.set_admission(message.admission_.value_);
    out.set_entry(message.entry_.value_);
    out.set_home(message.home_.value_);
    out.set_charged(message.charged_.count_);
}

void encodeInto(peer::Envelope &envelope, const SettleAck &message)
{
    peer::SettleAck &out = *envelope.mutable_settle_ack();
    out.set_admission(message.admission_.value_);
    out.set_home(message.home_.value_);
}

void encodeInto(peer::Envelope &envelope, const BundleOffer &message)
{
    envelope.mutable_bundle_offer()->set_version(message.version_.value_);
}

void encodeInto(peer::Envelope &envelope, const BundleFetch &message)
{
    envelope.mutable_bundle_fetch()->set_version(message.version_.value_);
}

void encodeInto(peer::Envelope &envelope, const BundleParts &message)
{
    peer::BundleParts &out = *envelope.mutable_bundle_parts();
    out.set_version(message.version_.value_);
    out.set_manifest(message.manifest_);
    out.set_operator_id(message.operator_.value_);
    out.set_signature(message.signature_);
    for (const std::string &part : message.parts_)
        out.add_parts(part);
}

void encodeInto(peer::Envelope &envelope, const ReleaseRequest &message)
{
    peer::ReleaseAsked &out = *envelope.mutable_release_asked();
    out.set_holder(message.holder_.value_);
    out.set_budget(message.budget_.value_);
}

void encodeInto(peer::Envelope &envelope, const Leaving &message)
{
    envelope.mutable_leaving()->set_holder(message.holder_.value_);
}

void encodeLoad(peer::InstanceLoad &out, const InstanceLoad &load)
{
    out.set_instance(load.instance_.value_);
    out.set_running(load.running_);
    out.set_queued_prefill(
        static_cast<std::uint64_t>(std::max(load.queuedPrefill_, Tokens {}).count_));
    out.set_context_tokens(
        static_cast<std::uint64_t>(std::max(load.contextTokens_, Tokens {}).count_));
    out.set_prefill_per_ms(load.prefillPerMs_);
}

void encodeInto(peer::Envelope &envelope, const DocumentsRequest &message)
{
    peer::DocumentsAsked &out = *envelope.mutable_documents_asked();
    out.set_reply_address(message.replyAddress_);
    for (const FeedPosition &position : message.positions_) {
        peer::FeedPosition &entry = *out.add_positions();
        entry.set_feed(position.feed_);
        entry.set_revision(position.position_.revision_.value_);
        entry.set_era(position.position_.era_.value_);
    }
    out.set_shares_load(message.loads_.has_value());
    if (message.loads_) {
        for (const InstanceLoad &load : *message.loads_)
            encodeLoad(*out.add_loads(), load);
    }
    switch (message.largeDocuments_) {
    case LargeDocuments::Include:
        out.set_large_documents(peer::INCLUDE);
        break;
    case LargeDocuments::Announce:
        out.set_large_documents(peer::ANNOUNCE);
        break;
    case LargeDocuments::Compress:
        out.set_large_documents(peer::COMPRESS);
        break;
    }
}

void encode(peer::Document &out, const PeerDocument &document)
{
    out.set_key(document.key_.value_);
    out.set_revision(document.position_.revision_.value_);
    out.set_era(document.position_.era_.value_);
    out.set_removed(!document.value_ && document.compressed_.empty());
    if (!document.compressed_.empty())
        out.set_compressed_value(document.compressed_);
    else
        out.set_value(document.value_.value_or(""));
}

void encode(peer::ServedVersion &out, const ServedVersion &version)
{
    out.set_service(version.service_.value_);
    out.set_version(version.version_.value_);
}

void encodeInto(peer::Envelope &envelope, const DocumentsReply &message)
{
    peer::DocumentsOffered &out = *envelope.mutable_documents_offered();
    for (const FeedChanges &changes : message.changes_) {
        peer::FeedChanges &feed = *out.add_changes();
        feed.set_feed(changes.feed_);
        feed.set_after(changes.after_.value_);
        feed.set_at(changes.at_.revision_.value_);
        feed.set_era(changes.at_.era_.value_);
        for (const PeerDocument &document : changes.documents_)
            encode(*feed.add_documents(), document);
    }
    for (const AnnouncedChanges &announced : message.announced_) {
        peer::AnnouncedChanges &entry = *out.add_announced();
        entry.set_feed(announced.feed_);
        entry.set_at(announced.at_.revision_.value_);
        entry.set_era(announced.at_.era_.value_);
        entry.set_bytes(announced.bytes_);
    }
    out.set_address(message.address_);
    out.set_transfer(message.isTransfer_);
    if (message.contactAge_)
        out.set_contact_age_ms(static_cast<std::uint64_t>(message.contactAge_->count()));
    for (const InstanceLoad &load : message.loads_)
        encodeLoad(*out.add_loads(), load);
    out.set_load_reporters(message.loadReporters_);
    for (const ServedVersion &version : message.versions_.versions_)
        encode(*out.add_confirmed_versions(), version);
    out.set_confirmed_era(message.versions_.era_.value_);
}

void encodeInto(peer::Envelope &envelope, const LoanRequest &message)
{
    peer::TokensAsked &out = *envelope.mutable_tokens_asked();
    out.set_borrower(message.borrower_.value_);
    out.set_reply_address(message.replyAddress_);
    out.set_lender(message.lender_.value_);
    out.set_account(message.account_.value_);
    out.set_needed(message.needed_.count_);
    out.set_wanted(message.wanted_.count_);
    out.set_spent(message.spent_.count_);
    out.set_returned(message.returned_.count_);
    out.set_urgency(static_cast<std::uint32_t>(std::max(message.urgency_, 0)));
}

void encodeInto(peer::Envelope &envelope, const LoanReply &message)
{
    peer::TokensLent &out = *envelope.mutable_tokens_lent();
    out.set_lender(message.lender_.value_);
    out.set_account(message.account_.value_);
    out.set_lent(message.lent_.count_);
    out.set_refusal(static_cast<std::uint32_t>(message.refusal_));
    out.set_unavailable(message.unavailable_);
    out.set_recalled(message.recalled_);
    out.set_borrower(message.borrower_.value_);
}

void encodeInto(peer::Envelope &envelope, const GrantReport &message)
{
    peer::GrantsCommitted &out = *envelope.mutable_grants_committed();
    out.set_holder(message.holder_.value_);
    out.set_era(message.era_.value_);
    for (const ReportedGrant &grant : message.grants_) {
        peer::CommittedGrant &entry = *out.add_grants();
        entry.set_budget(grant.budget_.value_);
        entry.set_authorized(grant.authorized_.count_);
        entry.set_settled(grant.settled_.count_);
        entry.set_returned(grant.returned_.count_);
    }
}

std::int64_t millisSinceEpoch(WallTime time)
{
    return std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

void encodeInto(peer::Envelope &envelope, const PermitRequest &message)
{
    peer::PermitAsked &out = *envelope.mutable_permit_asked();
    out.set_reply_address(message.replyAddress_);
    out.set_instance(message.process_.instance_.value_);
    out.set_started_ms(millisSinceEpoch(message.process_.startedAt_));
    out.set_number(message.number_);
    if (message.limit_)
        out.set_limit(*message.limit_);
    out.set_stated_age_ms(
        static_cast<std::uint64_t>(std::max(message.statedAge_, Millis {}).count()));
    if (message.coldPerSecond_)
        out.set_cold_limit(*message.coldPerSecond_);
    out.set_zone(message.zone_.value_);
}

void encodeInto(peer::Envelope &envelope, const PermitReply &message)
{
    peer::PermitAnswered &out = *envelope.mutable_permit_answered();
    out.set_instance(message.process_.instance_.value_);
    out.set_started_ms(millisSinceEpoch(message.process_.startedAt_));
    out.set_number(message.number_);
    out.set_result(static_cast<std::uint32_t>(message.result_));
    out.set_retry_after_ms(
        static_cast<std::uint64_t>(std::max(message.retryAfter_, Millis {}).count()));
}

void encodeInto(peer::Envelope &envelope, const QuarantineReport &message)
{
    peer::CrashesReported &out = message.scope_ == QuarantineScope::Requests
        ? *envelope.mutable_request_crashes_reported()
        : *envelope.mutable_crashes_reported();
    out.set_reply_address(message.replyAddress_);
    out.set_purpose(static_cast<std::uint32_t>(message.purpose_));
    out.set_digest(message.digest_);
    for (const ReportedCrash &crash : message.crashes_) {
        peer::Crash &encoded = *out.add_crashes();
        encoded.set_instance(crash.id_.instance_.value_);
        encoded.set_started_ms(millisSinceEpoch(crash.id_.startedAt_));
        encoded.set_address(crash.address_);
        encoded.set_age_ms(static_cast<std::uint64_t>(crash.age_.count()));
        for (const SuspectId part : crash.suspects_)
            encoded.add_suspects(part.value_);
        for (const SuspectId part : crash.cleared_)
            encoded.add_cleared(part.value_);
        encoded.set_sampling(crash.sampling_);
        if (crash.survivedAge_)
            encoded.set_survived_age_ms(static_cast<std::uint64_t>(crash.survivedAge_->count()));
    }
}

void encodeInto(peer::Envelope &envelope, const StreamBegan &message)
{
    peer::StreamBegan &out = *envelope.mutable_stream_began();
    out.set_stream(message.stream_.value_);
    encode(*out.mutable_origin(), message.origin_);
    out.set_lifetime_ms(static_cast<std::uint64_t>(std::max(message.lifetime_, Millis {}).count()));
}

void encodeInto(peer::Envelope &envelope, const StreamOriginRequest &message)
{
    peer::StreamOriginAsked &out = *envelope.mutable_stream_origin_asked();
    out.set_reply_address(message.replyAddress_);
    out.set_stream(message.stream_.value_);
}

void encodeInto(peer::Envelope &envelope, const StreamOriginReply &message)
{
    peer::StreamOriginAnswered &out = *envelope.mutable_stream_origin_answered();
    out.set_stream(message.stream_.value_);
    out.set_knowledge(static_cast<std::uint32_t>(message.knowledge_));
    encode(*out.mutable_origin(), message.origin_);
}

void encodeInto(peer::Envelope &envelope, const PresenceRequest &message)
{
    envelope.mutable_presence_asked()->set_reply_address(message.replyAddress_);
}

void encodeInto(peer::Envelope &envelope, const PresenceReply &message)
{
    peer::PresenceConfirmed &out = *envelope.mutable_presence_confirmed();
    out.set_leaving(message.leaving_);
    out.set_daemons(message.daemons_);
    out.set_unable(message.unable_);
}

} // namespace

std::string encodePeerMessage(const PeerEnvelope &envelope)
{
    peer::Envelope out;
    out.set_from(envelope.from_.value_);
    std::visit([&out](const auto &message) { encodeInto(out, message); }, envelope.message_);
    return out.SerializeAsString();
}

} // namespace tamarack
