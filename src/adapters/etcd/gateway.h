// One HTTP call to the JSON gateway. Internal to the store adapter.
#pragma once

#include "core/store.h"
#include "core/time.h"

#include <Poco/JSON/Object.h>

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief The outcome of an HTTP call.
struct GatewayReply
{
    /// Ok, Unknown or Unavailable.
    StoreStatus status_ = StoreStatus::Unavailable;
    Poco::JSON::Object::Ptr body_;
};

/// @brief Posts a JSON object to the first endpoint that accepts a connection.
GatewayReply postJson(const std::vector<std::string> &endpoints, const std::string &path,
                      const Poco::JSON::Object &body, Millis timeout);

/// @brief Posts a JSON object and passes each line of the streamed answer to @a onLine until it
/// returns false, the stream ends or @a limit passes.
void postJsonStream(const std::vector<std::string> &endpoints, const std::string &path,
                    const Poco::JSON::Object &body, Millis limit,
                    const std::function<bool(const Poco::JSON::Object::Ptr &)> &onLine);

} // namespace tamarack
