// Serves one request of a caller: authentication, admission, exchanges with upstreams, response.
#pragma once

#include "ports/ports.h"
#include "traffic/callerrequest.h"
#include "traffic/replyslots.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief Data that all traffic threads share.
struct TrafficContext
{
    EventPort events_;
    UpstreamPort upstreams_;
    LogPort log_;
    ReplySlots slots_;
    std::atomic<std::shared_ptr<const Snapshot>> snapshot_;
    /// Additional time after the caller's deadline in which a traffic thread waits for a decision.
    Millis decisionGrace_ {1000};
    /// Returns an id that is unique across daemons and restarts.
    std::function<RequestId()> newRequestId_;
    /// Collision-resistant digest, so that no client account can forge another's request id.
    std::function<std::string(std::string_view)> digest_;
};

/// @brief Returns the id of a request: derived from client account and idempotency key, or random
/// if the key is empty.
RequestId requestIdFor(const TrafficContext &context, const AccountId &account,
                       const std::string &idempotencyKey);

/// @brief Serves one request. Blocks until the response is sent or the caller has disconnected.
/// @param onRequestId called with the request id before the response starts
void serve(TrafficContext &context, const CallerRequest &request,
           const CallerResponseWriter &response,
           const std::function<void(const RequestId &)> &onRequestId);

} // namespace tamarack
