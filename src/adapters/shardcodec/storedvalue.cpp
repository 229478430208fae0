// Protobuf encoding of stored values.
#include "adapters/shardcodec/storedvalue.h"

#include "stored.pb.h"

namespace tamarack {

namespace {

std::string encode(const LedgerShard &shard)
{
    stored::LedgerShard message;
    message.set_written_era(shard.writtenEra_.value_);
    for (const auto &[id, record] : shard.budgets_) {
        stored::Budget &budget = *message.add_budgets();
        budget.set_id(id.value_);
        budget.set_funded(record.funded_.count_);
        budget.set_funded_by(record.fundingVersion_.value_);
        budget.set_charged(record.charged_.count_);
        for (const auto &[grantId, held] : record.grants_) {
            stored::Grant &grant = *budget.add_grants();
            grant.set_id(grantId.value_);
            grant.set_holder(held.holder_.value_);
            grant.set_armed(held.authorized_.count_);
            grant.set_reserve(held.reserve_.count_);
            grant.set_settled(held.settled_.count_);
            grant.set_written_off(held.state_ == GrantState::WrittenOff);
            grant.set_returned(held.returned_.count_);
        }
    }
    return message.SerializeAsString();
}

std::string encode(const RequestShard &shard)
{
    stored::RequestShard message;
    message.set_segments(shard.segments_);
    for (const auto &[id, record] : shard.records_) {
        stored::RequestRecord &out = *message.add_records();
        out.set_id(id.value_);
        out.set_phase(static_cast<stored::RequestRecord::Phase>(record.phase_));
        out.set_holder(record.holder_.value_);
        out.set_admission(record.admission_.value_);
        out.set_account(record.account_.value_);
        out.set_budget(record.budget_.value_);
        out.set_charged(record.charged_.count_);
        out.set_completeness(
            static_cast<stored::RequestRecord::Completeness>(record.completeness_));
        out.set_estimated(record.estimated_);
        out.set_keyed(record.hasIdempotencyKey_);
        out.set_updated_ms(
            std::chrono::duration_cast<Millis>(record.updated_.time_since_epoch()).count());
    }
    return message.SerializeAsString();
}

std::string encode(const BundleHead &head)
{
    stored::BundleHead message;
    message.set_version(head.version_.value_);
    message.set_manifest(head.manifest_);
    message.set_operator_id(head.operator_.value_);
    message.set_signature(head.signature_);
    return message.SerializeAsString();
}

std::string encode(const BundlePart &part)
{
    stored::BundlePart message;
    message.set_content(part.content_);
    return message.SerializeAsString();
}

std::string encode(const Registration &registration)
{
    stored::Registration message;
    message.set_host(registration.host_.value_);
    message.set_holder(registration.holder_.value_);
    message.set_zone(registration.zone_.value_);
    message.set_peer_address(registration.peerAddress_);
    message.set_leaving(registration.leaving_);
    message.set_capacity(registration.capacity_);
    message.set_handover_address(registration.handoverAddress_);
    return message.SerializeAsString();
}

std::string encode(const PlacementLease &lease)
{
    stored::PlacementLease message;
    message.set_holder(lease.holder_.value_);
    return message.SerializeAsString();
}

std::string encode(const VersionRecord &record)
{
    stored::VersionRecord message;
    for (const ServedVersion &version : record.versions_) {
        stored::ServedVersion &out = *message.add_versions();
        out.set_service(version.service_.value_);
        out.set_version(version.version_.value_);
    }
    return message.SerializeAsString();
}

LedgerShard fromProto(const stored::LedgerShard &message)
{
    LedgerShard shard;
    shard.writtenEra_ = StoreEra {message.written_era()};
    for (const stored::Budget &budget : message.budgets()) {
        BudgetRecord &record = shard.budgets_[BudgetId {budget.id()}];
        record.funded_ = Tokens {budget.funded()};
        record.fundingVersion_ = BundleVersion {budget.funded_by()};
        record.charged_ = Tokens {budget.charged()};
        for (const stored::Grant &grant : budget.grants()) {
            const GrantState state
                = grant.written_off() ? GrantState::WrittenOff : GrantState::Active;
            record.grants_[GrantId {grant.id()}] = Grant {HolderId {grant.holder()},
                                                          Tokens {grant.armed()},
                                                          Tokens {grant.reserve()},
                                                          Tokens {grant.settled()},
                                                          state,
                                                          Tokens {grant.returned()}};
        }
    }
    return shard;
}

RequestShard fromProto(const stored::RequestShard &message)
{
    RequestShard shard;
    shard.segments_ = message.segments();
    for (const stored::RequestRecord &in : message.records()) {
        RequestRecord &record = shard.records_[RequestId {in.id()}];
        record.phase_ = static_cast<RequestPhase>(in.phase());
        record.holder_ = HolderId {in.holder()};
        record.admission_ = AdmissionId {in.admission()};
        record.account_ = AccountId {in.account()};
        record.budget_ = BudgetId {in.budget()};
        record.charged_ = Tokens {in.charged()};
        record.completeness_ = static_cast<Completeness>(in.completeness());
        record.estimated_ = in.estimated();
        record.hasIdempotencyKey_ = in.keyed();
        record.updated_ = WallTime {Millis {in.updated_ms()}};
    }
    return shard;
}

BundleHead fromProto(const stored::BundleHead &message)
{
    return BundleHead {BundleVersion {message.version()}, message.manifest(),
                       OperatorId {message.operator_id()}, message.signature()};
}

BundlePart fromProto(const stored::BundlePart &message)
{
    return BundlePart {message.content()};
}

Registration fromProto(const stored::Registration &message)
{
    return Registration {HostId {message.host()},   HolderId {message.holder()},
                         ZoneId {message.zone()},   message.peer_address(),
                         message.leaving(),         message.capacity(),
                         message.handover_address()};
}

PlacementLease fromProto(const stored::PlacementLease &message)
{
    return PlacementLease {HolderId {message.holder()}};
}

VersionRecord fromProto(const stored::VersionRecord &message)
{
    VersionRecord record;
    for (const stored::ServedVersion &in : message.versions())
        record.versions_.insert(
            ServedVersion {ServiceId {in.service()}, SoftwareVersion {in.version()}});
    return record;
}

template <typename Message>
Result<StoredValue> decode(const std::string &bytes)
{
    Message message;
    if (!message.ParseFromString(bytes))
        return fail(ErrorKind::InvalidMessage, "tamarack.stored.101",
                    "a stored value is malformed; check that only this fleet writes below its "
                    "store prefix");
    return StoredValue {fromProto(message)};
}

} // namespace

std::string encodeStoredValue(const StoredValue &value)
{
    return std::visit([](const auto &concrete) { return encode(concrete); }, value);
}

Result<StoredValue> decodeStoredValue(StoredKind kind, const std::string &bytes)
{
    switch (kind) {
    case StoredKind::LedgerShard:
        return decode<stored::LedgerShard>(bytes);
    case StoredKind::RequestShard:
        return decode<stored::RequestShard>(bytes);
    case StoredKind::BundleHead:
        return decode<stored::BundleHead>(bytes);
    case StoredKind::BundlePart:
        return decode<stored::BundlePart>(bytes);
    case StoredKind::Registration:
        return decode<stored::Registration>(bytes);
    case StoredKind::PlacementLease:
        return decode<stored::PlacementLease>(bytes);
    case StoredKind::VersionRecord:
        return decode<stored::VersionRecord>(bytes);
    }
    return fail(ErrorKind::InvalidMessage, "tamarack.stored.102",
                "the kind of stored value is unknown");
}

} // namespace tamarack
