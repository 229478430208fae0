// HTTP calls to the JSON gateway. Internal to the store adapter.
#pragma once

#include "core/store.h"
#include "core/time.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <list>
#include <memory>
#include <mutex>
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
struct Gateway
{
    std::vector<std::string> endpoints_;
    Millis timeout_ {1000};
    std::mutex mutex_;
    std::list<IdleConnection> idle_;
    /// Streams in progress, so that another thread can end them.
    std::list<Poco::Net::StreamSocket> streams_;
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

/// @brief The outcome of an HTTP call.
struct GatewayReply
{
    /// Ok, Unknown or Unavailable.
    StoreStatus status_ = StoreStatus::Unavailable;
    Poco::JSON::Object::Ptr body_;
};

/// @brief Posts a JSON object to the first endpoint that accepts a connection.
///
/// A kept connection is used if there is one. When it fails, the store may have received the call,
/// so the outcome is Unknown unless the call is repeatable.
GatewayReply postJson(Gateway &gateway, const std::string &path, const Poco::JSON::Object &body,
                      Effect effect);

/// @brief Posts a JSON object and passes each line of the streamed answer to @a onLine until it
/// returns false, the stream ends, @a limit passes or streams are cancelled.
void postJsonStream(Gateway &gateway, const std::string &path, const Poco::JSON::Object &body,
                    Millis limit,
                    const std::function<bool(const Poco::JSON::Object::Ptr &)> &onLine);

/// @brief Ends all streams in progress; those that follow end at once.
void cancelStreams(Gateway &gateway);

} // namespace tamarack
