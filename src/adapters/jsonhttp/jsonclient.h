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
struct IdleSession
{
    std::unique_ptr<Poco::Net::HTTPClientSession> session_;
    MonoTime idleSince_ {};
};

/// @brief The connections to the store. Safe to use from any thread.
struct Gateway
{
    std::vector<std::string> endpoints_;
    Millis timeout_ {1000};
    std::mutex mutex_;
    std::list<IdleSession> idle_;
    /// Streams and cancellable calls in progress, so that another thread can end them.
    std::list<Poco::Net::StreamSocket> cancellableSockets_;
    bool cancelled_ = false;

    Gateway(std::vector<std::string> endpoints, Millis timeout);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
};

/// @brief What a call without an answer means.
enum class Effect {
    /// The call changes nothing or may be made twice; it is repeated on a new connection.
    Repeatable,
    /// The call may have taken effect; it is not repeated.
    Once,
};

/// @brief An HTTP call. The body is empty or JSON.
struct GatewayCall
{
    std::string method_ = "POST";
    std::string path_;
    std::string body_;
    Effect effect_ = Effect::Once;
    /// Longest silence; the gateway's own limit if it is not set.
    std::optional<Millis> timeout_;
    /// cancelCalls() ends it.
    bool cancellable_ = false;
};

/// @brief What became of an HTTP call.
struct HttpReply
{
    /// Ok: a whole answer arrived. Unavailable: the service did not receive the call.
    StoreStatus delivery_ = StoreStatus::Unavailable;
    int status_ = 0;
    /// Empty if the answer has no JSON object.
    Poco::JSON::Object::Ptr body_;
};

/// @brief The outcome of a call that has to be answered with 200.
struct GatewayReply
{
    /// Ok, Unknown or Unavailable.
    StoreStatus status_ = StoreStatus::Unavailable;
    Poco::JSON::Object::Ptr body_;
};

/// @brief Makes a call on a kept connection or a new one to the first endpoint that accepts it.
///
/// When a kept connection fails, the service may have received the call, so the outcome is Unknown
/// unless the call is repeatable.
HttpReply callJson(Gateway &gateway, const GatewayCall &call);

/// @brief Ends all streams and cancellable calls in progress; those that follow fail at once.
void cancelCalls(Gateway &gateway);

/// @brief Posts a JSON object as callJson() does.
GatewayReply postJson(Gateway &gateway, const std::string &path, const Poco::JSON::Object &body,
                      Effect effect);

/// @brief Posts a JSON object and passes each line of the streamed answer to @a onLine until it
/// returns false, the stream ends, @a limit passes or streams are cancelled.
void postJsonStream(Gateway &gateway, const std::string &path, const Poco::JSON::Object &body,
                    Millis limit,
                    const std::function<bool(const Poco::JSON::Object::Ptr &)> &onLine);

} // namespace tamarack
