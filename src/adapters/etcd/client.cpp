// Calls to the key-value store by the v3 JSON gateway.
#include "adapters/etcd/client.h"

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
    // The gateway writes 64-bit integers as strings and leaves out zeros.
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

StoredKind kindOf(const StoredValue &value)
{
    return static_cast<StoredKind>(value.index());
}

/// A present value that cannot be decoded must not be taken for an absent one.
bool isReadable(const VersionedValue &value)
{
    return value.revision_ == Revision {} || value.value_.has_value();
}

StoreReply carryOut(JsonHttpClient &client, const ReadCall &call)
{
    Object body;
    body.set("key", base64Encode(call.key_.value_));
    const PostResult reply = postJson(client, "/v3/kv/range", body, Idempotency::Idempotent);
    if (reply.status_ != StoreStatus::Ok)
        return StoreReply {{}, reply.status_, {}};
    VersionedValue value = decodeRange(reply.body_, call.kind_);
    const StoreStatus status = isReadable(value) ? StoreStatus::Ok : StoreStatus::Unavailable;
    return StoreReply {{}, status, std::move(value)};
}

Object swapBody(const CompareAndSwapCall &call)
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

StoreReply carryOut(JsonHttpClient &client, const CompareAndSwapCall &call)
{
    const PostResult reply
        = postJson(client, "/v3/kv/txn", swapBody(call), Idempotency::NonIdempotent);
    if (reply.status_ != StoreStatus::Ok)
        return StoreReply {{}, reply.status_, {}};
    const Poco::Dynamic::Var succeeded = reply.body_->get("succeeded");
    // The gateway leaves out a false value; anything but a boolean is not an answer.
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
    VersionedValue value = decodeRange(first->getObject("response_range"), kindOf(call.value_));
    const StoreStatus status = isReadable(value) ? StoreStatus::Conflict : StoreStatus::Unavailable;
    return StoreReply {{}, status, std::move(value)};
}

LeaseId grantLease(JsonHttpClient &client, Seconds timeToLive)
{
    Object body;
    body.set("TTL", std::to_string(timeToLive.count()));
    const PostResult reply = postJson(client, "/v3/lease/grant", body, Idempotency::NonIdempotent);
    return reply.status_ == StoreStatus::Ok ? LeaseId {numberField(reply.body_, "ID")} : LeaseId {};
}

bool renewLease(JsonHttpClient &client, LeaseId lease)
{
    Object body;
    body.set("ID", std::to_string(lease.value_));
    const PostResult reply = postJson(client, "/v3/lease/keepalive", body, Idempotency::Idempotent);
    if (reply.status_ != StoreStatus::Ok)
        return false;
    return numberField(reply.body_->getObject("result"), "TTL") > 0;
}

bool revokeLease(JsonHttpClient &client, LeaseId lease)
{
    Object body;
    body.set("ID", std::to_string(lease.value_));
    return postJson(client, "/v3/lease/revoke", body, Idempotency::Idempotent).status_
        == StoreStatus::Ok;
}

/// Returns the first key after all keys with a prefix.
/// @pre the prefix ends in an ASCII character
std::string endOfPrefix(std::string prefix)
{
    ++prefix.back();
    return prefix;
}

bool watchOnce(JsonHttpClient &client, const Object &create, Millis limit)
{
    Object body;
    body.set("create_request", create);
    bool changed = false;
    postJsonStream(client, "/v3/watch", body, limit, [&changed](const Object::Ptr &line) {
        const Object::Ptr result = line->getObject("result");
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
    return watchOnce(client, create, limit);
}

bool waitForPrefixChange(JsonHttpClient &client, const StoreKey &prefix, Revision seen,
                         Millis limit)
{
    Object create;
    create.set("key", base64Encode(prefix.value_));
    create.set("range_end", base64Encode(endOfPrefix(prefix.value_)));
    create.set("start_revision", std::to_string(seen.value_ + 1));
    return watchOnce(client, create, limit);
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
    body.set("range_end", base64Encode(endOfPrefix(prefix.value_)));
    const PostResult reply = postJson(client, "/v3/kv/range", body, Idempotency::Idempotent);
    if (reply.status_ != StoreStatus::Ok)
        return PrefixReply {reply.status_, {}, {}};
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

/// Carries out a call; an answer that is not of the expected form counts as none.
template <typename Call>
auto answerOr(decltype(std::declval<Call>()()) fallback, const Call &call)
{
    try {
        return call();
    } catch (const Poco::Exception &) {
        return fallback;
    }
}

template <typename Call>
StoreReply answerOrUnknown(JsonHttpClient &client, const Call &call)
{
    return answerOr(StoreReply {{}, StoreStatus::Unknown, {}},
                    [&] { return carryOut(client, call); });
}

} // namespace

StorePort makeEtcdStorePort(EtcdSettings settings)
{
    const auto client
        = std::make_shared<JsonHttpClient>(std::move(settings.endpoints_), settings.timeout_);
    StorePort port;
    port.call_ = [client](const StoreCall &call) {
        return std::visit(
            [&client](const auto &concrete) { return answerOrUnknown(*client, concrete); }, call);
    };
    port.grantLease_ = [client](Seconds time) {
        return answerOr(LeaseId {}, [&] { return grantLease(*client, time); });
    };
    port.renewLease_ = [client](LeaseId lease) {
        return answerOr(false, [&] { return renewLease(*client, lease); });
    };
    port.revokeLease_ = [client](LeaseId lease) {
        return answerOr(false, [&] { return revokeLease(*client, lease); });
    };
    port.waitForChange_ = [client](const StoreKey &key, Revision seen, Millis limit) {
        return answerOr(false, [&] { return waitForChange(*client, key, seen, limit); });
    };
    port.cancelWaits_ = [client] {
        cancelRequests(*client);
    };
    port.readPrefix_ = [client](const StoreKey &prefix, StoredKind kind) {
        return answerOr(PrefixReply {StoreStatus::Unknown, {}, {}},
                        [&] { return readPrefix(*client, prefix, kind); });
    };
    port.waitForPrefixChange_ = [client](const StoreKey &prefix, Revision seen, Millis limit) {
        return answerOr(false, [&] { return waitForPrefixChange(*client, prefix, seen, limit); });
    };
    return port;
}

} // namespace tamarack
