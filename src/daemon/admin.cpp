// Requests of the administration interface.
#include "daemon/admin.h"

#include "daemon/adminbundle.h"

#include <Poco/JSON/Object.h>

#include <sstream>

namespace tamarack {

namespace {

using Poco::JSON::Object;

constexpr std::string_view budgetsPrefix = "/v1/budgets/";
/// Content type of the Prometheus text format.
constexpr const char *metricsContentType = "text/plain; version=0.0.4";
constexpr std::string_view requestsPrefix = "/v1/requests/";
/// Limits the store reads of one request. Records in older segments aren't found by this interface.
constexpr std::uint64_t maxSegmentsSearched = 100;

std::string format(const Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

std::shared_ptr<const Bundle> currentBundle(const AdminContext &context)
{
    const std::shared_ptr<const Snapshot> snapshot = context.traffic_.snapshot_.load();
    return snapshot ? snapshot->bundle_ : nullptr;
}

AdminResponse status(const AdminContext &context)
{
    const std::shared_ptr<const Snapshot> snapshot = context.traffic_.snapshot_.load();
    const bool loaded = snapshot && snapshot->bundle_;
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("host", context.host_.value_);
    object.set("bundle_version", loaded ? snapshot->bundle_->version_.value_ : 0);
    object.set("stopping", snapshot && snapshot->stopping_);
    return AdminResponse {200, "application/json", format(object)};
}

Object grantObject(const GrantId &id, const Grant &grant)
{
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("grant", id.value_);
    object.set("holder", grant.holder_.value_);
    object.set("armed", grant.authorized_.count_);
    object.set("reserve", grant.reserve_.count_);
    object.set("settled", grant.settled_.count_);
    object.set("written_off", grant.state_ == GrantState::WrittenOff);
    return object;
}

/// Reads a shard.
/// @return an empty shard if the store has none, or nothing if the store is unavailable
template <typename Shard>
std::optional<Shard> readShard(const AdminContext &context, const std::string &folder,
                               ShardNumber number, StoredKind kind)
{
    const StoreKey key {context.bundles_.prefix_ + folder + std::to_string(number.value_)};
    const StoreReply reply = context.bundles_.store_.call_(ReadCall {key, kind});
    if (reply.status_ != StoreStatus::Ok)
        return std::nullopt;
    return reply.current_.value_ ? std::get<Shard>(*reply.current_.value_) : Shard {};
}

AdminResponse budget(const AdminContext &context, const BudgetId &id)
{
    const std::shared_ptr<const Bundle> bundle = currentBundle(context);
    if (!bundle)
        return adminError(503, "no bundle is loaded yet; retry later");
    const ShardNumber shard = ledgerShardOf(id, bundle->policies_.ledgerShards_);
    const std::optional<LedgerShard> ledger
        = readShard<LedgerShard>(context, "/ledger/", shard, StoredKind::LedgerShard);
    if (!ledger)
        return adminError(503, "the store is unavailable; retry later");
    const auto found = ledger->budgets_.find(id);
    if (found == ledger->budgets_.end())
        return adminError(
            404,
            "budget " + id.value_
                + " has no ledger record because nothing was drawn from it; check its id");
    const BudgetRecord &record = found->second;
    Poco::JSON::Array grants;
    for (const auto &[grantId, grant] : record.grants_)
        grants.add(grantObject(grantId, grant));
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("budget", id.value_);
    object.set("funded", record.funded_.count_);
    object.set("funded_by_version", record.fundingVersion_.value_);
    object.set("charged", record.charged_.count_);
    object.set("lost", lostTokens(record).count_);
    object.set("outstanding", outstandingTokens(record).count_);
    object.set("unallocated", unallocatedTokens(record).count_);
    object.set("grants", grants);
    return AdminResponse {200, "application/json", format(object)};
}

std::string phaseName(RequestPhase phase)
{
    switch (phase) {
    case RequestPhase::Intent:
        return "intent";
    case RequestPhase::Withdrawn:
        return "withdrawn";
    case RequestPhase::Billed:
        break;
    }
    return "billed";
}

/// Searches the shard, then its archived segments from the newest to the oldest.
std::optional<RequestRecord> findRecord(const AdminContext &context, ShardNumber number,
                                        const RequestShard &shard, const RequestId &id)
{
    const auto current = shard.records_.find(id);
    if (current != shard.records_.end())
        return current->second;
    const StoreKey shardKey {context.bundles_.prefix_ + "/requests/"
                             + std::to_string(number.value_)};
    const std::uint64_t first
        = shard.segments_ > maxSegmentsSearched ? shard.segments_ - maxSegmentsSearched : 0;
    for (std::uint64_t segment = shard.segments_; segment > first; --segment) {
        const StoreReply reply = context.bundles_.store_.call_(
            ReadCall {requestSegmentKey(shardKey, segment - 1), StoredKind::RequestShard});
        if (reply.status_ != StoreStatus::Ok || !reply.current_.value_)
            continue;
        const auto &records = std::get<RequestShard>(*reply.current_.value_).records_;
        const auto found = records.find(id);
        if (found != records.end())
            return found->second;
    }
    return std::nullopt;
}

AdminResponse requestRecord(const AdminContext &context, const RequestId &id)
{
    const std::shared_ptr<const Bundle> bundle = currentBundle(context);
    if (!bundle)
        return adminError(503, "no bundle is loaded yet; retry later");
    const ShardNumber shard = requestShardOf(id, bundle->policies_.requestShards_);
    const std::optional<RequestShard> records
        = readShard<RequestShard>(context, "/requests/", shard, StoredKind::RequestShard);
    if (!records)
        return adminError(503, "the store is unavailable; retry later");
    const std::optional<RequestRecord> found = findRecord(context, shard, *records, id);
    if (!found)
        return adminError(404, "request " + id.value_ + " has no record; check its id");
    const RequestRecord &record = *found;
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("request", id.value_);
    object.set("phase", phaseName(record.phase_));
    object.set("account", record.account_.value_);
    object.set("budget", record.budget_.value_);
    object.set("charged", record.charged_.count_);
    object.set("estimated", record.estimated_);
    object.set("holder", record.holder_.value_);
    return AdminResponse {200, "application/json", format(object)};
}

} // namespace

AdminResponse handleAdminRequest(const AdminContext &context, const AdminRequest &request)
{
    if (std::optional<AdminResponse> response = handleBundleRequest(context, request))
        return std::move(*response);
    if (request.method_ == "GET" && request.path_ == "/metrics")
        return AdminResponse {200, metricsContentType, context.metrics_()};
    if (request.method_ == "GET" && request.path_ == "/v1/status")
        return status(context);
    if (request.method_ == "GET" && request.path_.starts_with(budgetsPrefix))
        return budget(context, BudgetId {request.path_.substr(budgetsPrefix.size())});
    if (request.method_ == "GET" && request.path_.starts_with(requestsPrefix))
        return requestRecord(context, RequestId {request.path_.substr(requestsPrefix.size())});
    return adminError(
        404, "unknown path; docs/operations.md lists the paths of the administration interface");
}

} // namespace tamarack
