// In-memory implementation of the part of etcd's v3 JSON gateway that the daemon uses.
#include "fakes/fakestorecore.h"

#include "fakes/fakehttp.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <fmt/format.h>

#include <iterator>
#include <ostream>
#include <sstream>
#include <thread>
#include <vector>

namespace tamarack::fakes {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Interval at which a watch without events expires leases and checks for shutdown.
constexpr std::chrono::milliseconds watchPollInterval {200};

Object header(const Store &store)
{
    Object object;
    object.set("revision", std::to_string(store.revision_));
    return object;
}

Object entryObject(const std::string &key, const StoreEntry &entry)
{
    Object object;
    object.set("key", key);
    object.set("value", entry.value_);
    object.set("mod_revision", std::to_string(entry.modRevision_));
    object.set("create_revision", std::to_string(entry.createRevision_));
    return object;
}

std::string decode(const std::string &base64)
{
    std::istringstream in(base64);
    Poco::Base64Decoder decoder(in);
    return {std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>()};
}

/// Returns true if a range request covers a key. Without range_end the range is a single key.
bool isInRange(const Object::Ptr &request, const std::string &key)
{
    const auto first = request->getValue<std::string>("key");
    if (!request->has("range_end"))
        return key == first;
    const std::string decodedKey = decode(key);
    return decodedKey >= decode(first)
        && decodedKey < decode(request->getValue<std::string>("range_end"));
}

void deleteLease(Store &store, const std::string &lease)
{
    store.leases_.erase(lease);
    ++store.revision_;
    for (const auto &[key, entry] : store.entries_) {
        if (entry.lease_ == lease)
            store.deletions_.push_back(StoreDeletion {key, store.revision_});
    }
    std::erase_if(store.entries_, [&](const auto &item) { return item.second.lease_ == lease; });
    store.changed_.notify_all();
}

void expireLeases(Store &store)
{
    std::vector<std::string> expired;
    for (const auto &[id, lease] : store.leases_) {
        if (lease.expiresAt_ <= std::chrono::steady_clock::now())
            expired.push_back(id);
    }
    for (const std::string &id : expired)
        deleteLease(store, id);
}

Object range(const Store &store, const Object::Ptr &request)
{
    Object result;
    result.set("header", header(store));
    Array entries;
    for (const auto &[key, entry] : store.entries_) {
        if (isInRange(request, key))
            entries.add(entryObject(key, entry));
    }
    if (!entries.empty())
        result.set("kvs", entries);
    return result;
}

void put(Store &store, const Object::Ptr &request)
{
    StoreEntry &entry = store.entries_[request->getValue<std::string>("key")];
    entry.value_ = request->getValue<std::string>("value");
    entry.modRevision_ = ++store.revision_;
    if (entry.createRevision_ == 0)
        entry.createRevision_ = entry.modRevision_;
    entry.lease_ = request->optValue<std::string>("lease", "");
    store.changed_.notify_all();
}

bool compareMatches(const Store &store, const Object::Ptr &compare)
{
    const auto it = store.entries_.find(compare->getValue<std::string>("key"));
    const std::uint64_t revision = it == store.entries_.end() ? 0 : it->second.modRevision_;
    return revision == compare->getValue<std::uint64_t>("mod_revision");
}

Object txn(Store &store, const Object::Ptr &request)
{
    const Array::Ptr compares = request->getArray("compare");
    bool allMatch = true;
    for (std::size_t i = 0; i < compares->size(); ++i)
        allMatch = allMatch && compareMatches(store, compares->getObject(static_cast<unsigned>(i)));
    Array responses;
    const Array::Ptr ops = request->getArray(allMatch ? "success" : "failure");
    for (std::size_t i = 0; ops && i < ops->size(); ++i) {
        const Object::Ptr op = ops->getObject(static_cast<unsigned>(i));
        Object response;
        if (op->has("request_put")) {
            put(store, op->getObject("request_put"));
            response.set("response_put", Object());
        } else {
            response.set("response_range", range(store, op->getObject("request_range")));
        }
        responses.add(response);
    }
    Object result;
    result.set("header", header(store));
    if (allMatch)
        result.set("succeeded", true);
    result.set("responses", responses);
    return result;
}

Object lease(Store &store, const std::string &path, const Object::Ptr &request)
{
    const auto now = std::chrono::steady_clock::now();
    Object result;
    if (path == "/v3/lease/grant") {
        const std::chrono::seconds timeToLive {request->getValue<std::int64_t>("TTL")};
        const std::string id = std::to_string(++store.lastLeaseId_);
        store.leases_[id] = StoreLease {timeToLive, now + timeToLive};
        result.set("ID", id);
        result.set("TTL", std::to_string(timeToLive.count()));
    } else if (path == "/v3/lease/keepalive") {
        const auto id = request->getValue<std::string>("ID");
        Object keepAlive;
        keepAlive.set("ID", id);
        const auto it = store.leases_.find(id);
        // etcd omits the TTL of a lease that does not exist.
        if (it != store.leases_.end()) {
            it->second.expiresAt_ = now + it->second.timeToLive_;
            keepAlive.set("TTL", std::to_string(it->second.timeToLive_.count()));
        }
        result.set("result", keepAlive);
    } else {
        deleteLease(store, request->getValue<std::string>("ID"));
    }
    return result;
}

/// Returns the events of a range at or after revision @a start.
Array eventsSince(const Store &store, const Object::Ptr &createRequest, std::uint64_t start)
{
    Array events;
    for (const auto &[key, entry] : store.entries_) {
        if (entry.modRevision_ < start || !isInRange(createRequest, key))
            continue;
        Object event;
        event.set("kv", entryObject(key, entry));
        events.add(event);
    }
    for (const StoreDeletion &deletion : store.deletions_) {
        if (deletion.revision_ < start || !isInRange(createRequest, deletion.key_))
            continue;
        Object kv;
        kv.set("key", deletion.key_);
        kv.set("mod_revision", std::to_string(deletion.revision_));
        Object event;
        event.set("type", "DELETE");
        event.set("kv", kv);
        events.add(event);
    }
    return events;
}

void watch(Store &store, const Object::Ptr &request, HTTPServerResponse &response)
{
    const Object::Ptr createRequest = request->getObject("create_request");
    const auto start = createRequest->getValue<std::uint64_t>("start_revision");
    response.setChunkedTransferEncoding(true);
    std::ostream &out = response.send();
    out << R"({"result":{"created":true}})" << std::endl;
    while (out.good()) {
        std::unique_lock lock(store.mutex_);
        store.changed_.wait_for(lock, watchPollInterval);
        if (store.stopping_)
            return;
        expireLeases(store);
        if (store.mode_ == "silent-watch")
            continue;
        const Array events = eventsSince(store, createRequest, start);
        if (events.empty())
            continue;
        Object result;
        result.set("events", events);
        Object message;
        message.set("result", result);
        lock.unlock();
        out << serializeJson(message) << std::endl;
        return;
    }
}

Object executeRequest(Store &store, const std::string &path, const Object::Ptr &request)
{
    if (path == "/v3/kv/range")
        return range(store, request);
    if (path == "/v3/kv/txn")
        return txn(store, request);
    return lease(store, path, request);
}

void closeConnection(HTTPServerRequest &request)
{
    dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().shutdown();
}

void setFaultMode(Store &store, const Object::Ptr &body)
{
    const std::lock_guard lock(store.mutex_);
    store.mode_ = body->getValue<std::string>("mode");
    store.delay_ = std::chrono::milliseconds {body->optValue<std::int64_t>("delay_ms", 0)};
}

Object callCounts(const Store &store)
{
    Object counts;
    for (const auto &[name, count] : store.calls_)
        counts.set(name, count);
    return counts;
}

} // namespace

void handleStoreRequest(Store &store, HTTPServerRequest &request, HTTPServerResponse &response)
{
    const std::string path = request.getURI();
    const std::string text = readBody(request);
    if (path == "/faults") {
        setFaultMode(store, parseJson(text));
        sendText(response, 200, "application/json", "{}");
        return;
    }
    std::unique_lock lock(store.mutex_);
    if (path == "/calls") {
        const Object counts = callCounts(store);
        lock.unlock();
        sendJson(response, counts);
        return;
    }
    ++store.calls_[path];
    const std::string mode = store.mode_;
    if (mode == "down") {
        lock.unlock();
        sendText(response, 503, "text/plain", "unavailable");
        return;
    }
    if (path == "/v3/watch") {
        lock.unlock();
        watch(store, parseJson(text), response);
        return;
    }
    expireLeases(store);
    const Object result = executeRequest(store, path, parseJson(text));
    const auto delay = store.delay_;
    lock.unlock();
    if (mode == "slow")
        std::this_thread::sleep_for(delay);
    if (mode == "lose-answer")
        closeConnection(request);
    else if (mode == "malformed")
        sendText(response, 200, "application/json", "{\"kvs\": [");
    else if (mode == "wrong-types")
        sendText(response, 200, "application/json",
                 R"({"succeeded":"?","kvs":[{"mod_revision":"x","value":"?"}],"header":5})");
    else
        sendJson(response, result);
}

} // namespace tamarack::fakes
