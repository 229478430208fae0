// The store port over the v3 JSON gateway of etcd.
#include "adapters/etcd/etcdclient.h"

#include "adapters/crypto/crypto.h"
#include "adapters/jsonhttp/jsonhttp.h"
#include "adapters/shardcodec/shardcodec.h"

#include <Poco/JSON/Array.h>

#include <memory>
#include <utility>

namespace tamarack {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::uint64_t numberField(const Object::Ptr &object, const std::string &field)
{
    // The gateway encodes 64-bit integers as strings and omits zeros.
    return object && object->has(field) ? object->getValue<std::uint64_t>(field) : 0;
}

VersionedValue decodeRange(const Object::Ptr &range, StoredKind kind)
{
    VersionedValue result;
    const Array::Ptr entries = range ? range->getArray("kvs") : nullptr;
    if (!entries || entries->empty())
        return result;
    const Object::Ptr entry = entries->getObject(0);
    result.revision_ = Revision {numberField(entry, "mod_revision")};
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(bytes, base64Decode(entry->optValue<std::string>("value", "")));
            BOOST_LEAF_AUTO(value, decodeStoredValue(kind, bytes));
            result.value_ = std::move(value);
            return {};
        },
        [] {});
    return result;
}

StoredKind storedKind(const StoredValue &value)
{
    return static_cast<StoredKind>(value.index());
}

/// Returns false for a value that exists but cannot be decoded; it must not be treated as absent.
bool isDecodable(const VersionedValue &value)
{
    return value.revision_ == Revision {} || value.value_.has_value();
}

StoreReply execute(JsonHttpClient &client, const ReadCall &call)
{
    Object body;
    body.set("key", base64Encode(call.key_.value_));
    const PostResult reply = postJson(client, "/v3/kv/range", body, Idempotency::Idempotent);
    if (reply.outcome_ != StoreStatus::Ok)
        return StoreReply {{}, reply.outcome_, {}};
    VersionedValue value = decodeRange(reply.body_, call.kind_);
    const StoreStatus status = isDecodable(value) ? StoreStatus::Ok : StoreStatus::Unavailable;
    return StoreReply {{}, status, std::move(value)};
}

Object transactionBody(const CompareAndSwapCall &call)
{
    const std::string key = base64Encode(call.key_.value_);
    Object compare;
    compare.set("key", key);
    compare.set("target", "MOD");
    compare.set("result", "EQUAL");
    compare.set("mod_revision", std::to_string(call.expected_.value_));
    Object put;
    put.set("key", key);
    put.set("value", base64Encode(encodeStoredValue(call.value_)));
    if (call.lease_)
        put.set("lease", std::to_string(call.lease_->value_));
    Object range;
    range.set("key", key);
    Object success;
    success.set("request_put", put);
    Object failure;
    failure.set("request_range", range);
    Object body;
    body.set("compare", Array().add(compare));
    body.set("success", Array().add(success));
    body.set("failure", Array().add(failure));
    return body;
}

StoreReply execute(JsonHttpClient &client, const CompareAndSwapCall &call)
{
    const PostResult reply
        = postJson(client, "/v3/kv/txn", transactionBody(call), Idempotency::NonIdempotent);
    if (reply.outcome_ != StoreStatus::Ok)
        return StoreReply {{}, reply.outcome_, {}};
    const Poco::Dynamic::Var succeeded = reply.body_->get("succeeded");
    // The gateway omits a false value. A value of another type means that the response is invalid.
    if (!succeeded.isEmpty() && !succeeded.isBoolean())
        return StoreReply {{}, StoreStatus::Unknown, {}};
    if (!succeeded.isEmpty() && succeeded.convert<bool>()) {
        const Revision revision {numberField(reply.body_->getObject("header"), "revision")};
        if (revision == Revision {})
            return StoreReply {{}, StoreStatus::Unknown, {}};
        return StoreReply {{}, StoreStatus::Ok, VersionedValue {revision, std::nullopt}};
    }
    const Array::Ptr responses = reply.body_->getArray("responses");
    const Object::Ptr first = responses && !responses->empty() ? responses->getObject(0) : nullptr;
    if (!first || !first->isObject("response_range"))
        return StoreReply {{}, StoreStatus::Unknown, {}};
    VersionedValue value = decodeRange(first->getObject("response_range"), storedKind(call.value_));
    const StoreStatus status
        = isDecodable(value) ? StoreStatus::Conflict : StoreStatus::Unavailable;
    return StoreReply {{}, status, std::move(value)};
}

LeaseId grantLease(JsonHttpClient &client, Seconds timeToLive)
{
    Object body;
    body.set("TTL", std::to_string(timeToLive.count()));
    const PostResult reply = postJson(client, "/v3/lease/grant", body, Idempotency::NonIdempotent);
    return reply.outcome_ == StoreStatus::Ok ? LeaseId {numberField(reply.body_, "ID")}
                                             : LeaseId {};
}

LeaseRenewal renewLease(JsonHttpClient &client, LeaseId lease)
{
    Object body;
    body.set("ID", std::to_string(lease.value_));
    const PostResult reply = postJson(client, "/v3/lease/keepalive", body, Idempotency::Idempotent);
    if (reply.outcome_ != StoreStatus::Ok)
        return LeaseRenewal::Unconfirmed;
    // The gateway reports a lease that has ended by a reply without a time to live.
    return numberField(reply.body_->getObject("result"), "TTL") > 0 ? LeaseRenewal::Renewed
                                                                    : LeaseRenewal::Ended;
}

bool revokeLease(JsonHttpClient &client, LeaseId lease)
{
    Object body;
    body.set("ID", std::to_string(lease.value_));
    return postJson(client, "/v3/lease/revoke", body, Idempotency::Idempotent).outcome_
        == StoreStatus::Ok;
}

/// Returns the end of the key range that contains all keys with a prefix (exclusive).
/// @pre the prefix is not empty and ends in an ASCII character
std::string prefixRangeEnd(std::string prefix)
{
    ++prefix.back();
    return prefix;
}

bool watchUntilEvent(JsonHttpClient &client, const Object &create, Millis limit)
{
    Object body;
    body.set("create_request", create);
    bool changed = false;
    postJsonStream(client, "/v3/watch", body, limit, [&changed](const Object::Ptr &message) {
        const Object::Ptr result = message->getObject("result");
        const Array::Ptr events = result ? result->getArray("events") : nullptr;
        changed = events && !events->empty();
        return !changed;
    });
    return changed;
}

bool waitForChange(JsonHttpClient &client, const StoreKey &key, Revision seen, Millis limit)
{
    Object create;
    create.set("key", base64Encode(key.value_));
    create.set("start_revision", std::to_string(seen.value_ + 1));
    return watchUntilEvent(client, create, limit);
}

bool waitForPrefixChange(JsonHttpClient &client, const StoreKey &prefix, Revision seen,
                         Millis limit)
{
    Object create;
    create.set("key", base64Encode(prefix.value_));
    create.set("range_end", base64Encode(prefixRangeEnd(prefix.value_)));
    create.set("start_revision", std::to_string(seen.value_ + 1));
    return watchUntilEvent(client, create, limit);
}

Result<StoredEntry> decodeEntry(const Object::Ptr &entry, StoredKind kind)
{
    BOOST_LEAF_AUTO(key, base64Decode(entry->getValue<std::string>("key")));
    BOOST_LEAF_AUTO(bytes, base64Decode(entry->optValue<std::string>("value", "")));
    BOOST_LEAF_AUTO(value, decodeStoredValue(kind, bytes));
    return StoredEntry {StoreKey {key}, Revision {numberField(entry, "create_revision")},
                        std::move(value)};
}

PrefixReply readPrefix(JsonHttpClient &client, const StoreKey &prefix, StoredKind kind)
{
    Object body;
    body.set("key", base64Encode(prefix.value_));
    body.set("range_end", base64Encode(prefixRangeEnd(prefix.value_)));
    const PostResult reply = postJson(client, "/v3/kv/range", body, Idempotency::Idempotent);
    if (reply.outcome_ != StoreStatus::Ok)
        return PrefixReply {reply.outcome_, {}, {}};
    PrefixReply result;
    result.revision_ = Revision {numberField(reply.body_->getObject("header"), "revision")};
    const Array::Ptr entries = reply.body_->getArray("kvs");
    return boost::leaf::try_handle_all(
        [&]() -> Result<PrefixReply> {
            for (unsigned i = 0; entries && i < entries->size(); ++i) {
                BOOST_LEAF_AUTO(entry, decodeEntry(entries->getObject(i), kind));
                result.entries_.push_back(std::move(entry));
            }
            result.status_ = StoreStatus::Ok;
            return result;
        },
        [] { return PrefixReply {}; });
}

/// Makes a call and returns @a fallback if the response does not have the expected form.
template <typename Call>
auto callOrDefault(decltype(std::declval<Call>()()) fallback, const Call &call)
{
    try {
        return call();
    } catch (const Poco::Exception &) {
        return fallback;
    }
}

template <typename Call>
StoreReply executeOrUnknown(JsonHttpClient &client, const Call &call)
{
    return callOrDefault(StoreReply {{}, StoreStatus::Unknown, {}},
                         [&] { return execute(client, call); });
}

} // namespace

StorePort makeEtcdStorePort(EtcdSettings settings)
{
    const auto client
        = std::make_shared<JsonHttpClient>(std::move(settings.endpoints_), settings.timeout_);
    StorePort port;
    port.call_ = [client](const StoreCall &call) {
        return std::visit(
            [&client](const auto &concrete) { return executeOrUnknown(*client, concrete); }, call);
    };
    port.grantLease_ = [client](Seconds time) {
        return callOrDefault(LeaseId {}, [&] { return grantLease(*client, time); });
    };
    port.renewLease_ = [client](LeaseId lease) {
        return callOrDefault(LeaseRenewal::Unconfirmed, [&] { return renewLease(*client, lease); });
    };
    port.revokeLease_ = [client](LeaseId lease) {
        return callOrDefault(false, [&] { return revokeLease(*client, lease); });
    };
    port.waitForChange_ = [client](const StoreKey &key, Revision seen, Millis limit) {
        return callOrDefault(false, [&] { return waitForChange(*client, key, seen, limit); });
    };
    port.cancelWaits_ = [client] {
        cancelRequests(*client);
    };
    port.readPrefix_ = [client](const StoreKey &prefix, StoredKind kind) {
        return callOrDefault(PrefixReply {StoreStatus::Unknown, {}, {}},
                             [&] { return readPrefix(*client, prefix, kind); });
    };
    port.waitForPrefixChange_ = [client](const StoreKey &prefix, Revision seen, Millis limit) {
        return callOrDefault(false,
                             [&] { return waitForPrefixChange(*client, prefix, seen, limit); });
    };
    return port;
}

} // namespace tamarack
