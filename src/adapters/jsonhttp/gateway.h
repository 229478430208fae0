// HTTP calls with JSON bodies to a service, on connections that are kept.
#pragma once

#include "core/store.h"
#include "core/time.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Poco::Net {
class HTTPClientSession;
}

namespace tamarack {

/// @brief A connection that waits for its next call.
struct IdleConnection
{
    std::unique_ptr<Poco::Net::HTTPClientSession> session_;
    MonoTime since_ {};
};

/// @brief The connections to the store. Safe to use from any thread.
struct JsonHttpClient
{
    std::vector<std::string> endpoints_;
    Millis timeout_ {1000};
    std::mutex mutex_;
    std::list<IdleConnection> idle_;
    /// Streams and cancellable calls in progress, so that another thread can end them.
    std::list<Poco::Net::StreamSocket> streams_;
    bool cancelled_ = false;

    JsonHttpClient(std::vector<std::string> endpoints, Millis timeout);
    ~JsonHttpClient();
    JsonHttpClient(const JsonHttpClient &) = delete;
    JsonHttpClient &operator=(const JsonHttpClient &) = delete;
};

/// @brief What a call without an answer means.
enum class Idempotency {
    /// The call changes nothing or may be made twice; it is repeated on a new connection.
    Idempotent,
    /// The call may have taken effect; it is not repeated.
    NonIdempotent,
};

/// @brief An HTTP call. The body is empty or JSON.
struct JsonRequest
{
    std::string method_ = "POST";
    std::string path_;
    std::string body_;
    Idempotency effect_ = Idempotency::NonIdempotent;
    /// Longest silence; the gateway's own limit if it is not set.
    std::optional<Millis> timeout_;
    /// cancelRequests() ends it.
    bool cancellable_ = false;
};

/// @brief What became of an HTTP call.
struct JsonResponse
{
    /// Ok: a whole answer arrived. Unavailable: the service did not receive the call.
    StoreStatus delivery_ = StoreStatus::Unavailable;
    int status_ = 0;
    /// Empty if the answer has no JSON object.
    Poco::JSON::Object::Ptr body_;
};

/// @brief The outcome of a call that has to be answered with 200.
struct PostResult
{
    /// Ok, Unknown or Unavailable.
    StoreStatus status_ = StoreStatus::Unavailable;
    Poco::JSON::Object::Ptr body_;
};

/// @brief Makes a call on a kept connection or a new one to the first endpoint that accepts it.
///
/// When a kept connection fails, the service may have received the call, so the outcome is Unknown
/// unless the call is repeatable.
JsonResponse sendJson(JsonHttpClient &client, const JsonRequest &call);

/// @brief Ends all streams and cancellable calls in progress; those that follow fail at once.
void cancelRequests(JsonHttpClient &client);

/// @brief Posts a JSON object as sendJson() does.
PostResult postJson(JsonHttpClient &client, const std::string &path, const Poco::JSON::Object &body,
                    Idempotency effect);

/// @brief Posts a JSON object and passes each line of the streamed answer to @a onLine until it
/// returns false, the stream ends, @a limit passes or streams are cancelled.
void postJsonStream(JsonHttpClient &client, const std::string &path, const Poco::JSON::Object &body,
                    Millis limit,
                    const std::function<bool(const Poco::JSON::Object::Ptr &)> &onLine);

} // namespace tamarack
