// HTTP client for services with JSON bodies, with a pool of idle connections.
#pragma once

#include "adapters/httpclient/httpclient.h"

#include "core/store.h"
#include "core/storeposition.h"
#include "core/time.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A pooled connection.
struct IdleConnection
{
    Connection connection_;
    MonoTime idleSince_ {};
};

/// @brief Client of one service with one or more endpoints. Thread-safe.
struct JsonHttpClient
{
    std::vector<std::string> endpoints_;
    Millis timeout_ {1000};
    /// Name of a response header field that holds the era of the store; empty if there is none.
    std::string eraField_;
    std::atomic<std::uint64_t> newestEra_ = 0;
    std::mutex mutex_;
    std::list<IdleConnection> idle_;
    /// Sockets of streams and cancellable requests in progress; cancelRequests() shuts them down.
    std::list<Poco::Net::StreamSocket> cancellableSockets_;
    bool cancelled_ = false;

    JsonHttpClient(std::vector<std::string> endpoints, Millis timeout, std::string eraField = {});
    ~JsonHttpClient() = default;
    JsonHttpClient(const JsonHttpClient &) = delete;
    JsonHttpClient &operator=(const JsonHttpClient &) = delete;
};

/// @brief Whether a request may be sent again if no response arrives.
enum class Idempotency {
    /// The request has no effect or may be applied twice; it is retried on a new connection.
    Idempotent,
    /// Applying the request twice would be wrong; it is not retried once the service may have
    /// received it.
    NonIdempotent,
};

/// @brief An HTTP request whose body is empty or JSON.
struct JsonRequest
{
    std::string method_ = "POST";
    std::string path_;
    std::string body_;
    Idempotency idempotency_ = Idempotency::NonIdempotent;
    /// Socket timeout for this request; the client's timeout if not set.
    std::optional<Millis> timeout_;
    /// Whether cancelRequests() aborts the request.
    bool cancellable_ = false;
};

/// @brief Outcome of a request.
struct JsonResponse
{
    /// Ok: a whole and valid response arrived. Unavailable: the service did not receive the
    /// request. Unknown: it may have.
    StoreStatus outcome_ = StoreStatus::Unavailable;
    int httpStatus_ = 0;
    /// Null if the response contains no JSON object.
    Poco::JSON::Object::Ptr body_;
    StoreEra era_;
};

/// @brief Outcome of a request that succeeds only with status 200.
struct PostResult
{
    /// Ok, Unknown or Unavailable.
    StoreStatus outcome_ = StoreStatus::Unavailable;
    Poco::JSON::Object::Ptr body_;
};

/// @brief Sends a request on a pooled connection, or on a new one to the first endpoint that
/// accepts it. Blocks until the response or a timeout.
///
/// If a pooled connection fails, the service may have received the request, so the outcome is
/// Unknown unless the request is idempotent.
JsonResponse sendJson(JsonHttpClient &client, const JsonRequest &request);

/// @brief Returns the newest era of the store in any response; 0 if there was none.
StoreEra newestEra(const JsonHttpClient &client);

/// @brief Aborts all streams and cancellable requests in progress; later ones fail immediately.
void cancelRequests(JsonHttpClient &client);

/// @brief Posts a JSON object. Pooling and retries are those of sendJson().
PostResult postJson(JsonHttpClient &client, const std::string &path, const Poco::JSON::Object &body,
                    Idempotency idempotency);

/// @brief Posts a JSON object and passes each line of the streamed response to @a onLine, until it
/// returns false, the stream ends, @a limit passes or the request is cancelled.
void postJsonStream(JsonHttpClient &client, const std::string &path, const Poco::JSON::Object &body,
                    Millis limit,
                    const std::function<bool(const Poco::JSON::Object::Ptr &)> &onLine);

} // namespace tamarack
