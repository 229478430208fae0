// Serving one caller's request: authentication, admission, exchanges with upstreams, answer.
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

/// @brief What traffic threads share.
struct TrafficContext
{
    EventPort events_;
    UpstreamPort upstreams_;
    LogPort log_;
    ReplySlots slots_;
    std::atomic<std::shared_ptr<const Snapshot>> snapshot_;
    /// How long a traffic thread waits beyond the caller's deadline for the control thread.
    Millis decisionGrace_ {1000};
    /// Returns an id that no other daemon or run uses.
    std::function<RequestId()> newRequestId_;
    /// Collision-resistant digest, so that no client account can forge another's request id.
    std::function<std::string(std::string_view)> digest_;
};

/// @brief Returns the id of a request: random, or derived from account and idempotency key.
RequestId requestIdFor(const TrafficContext &context, const AccountId &account,
                       const std::string &idempotencyKey);

/// @brief Serves one request; blocks until the caller is answered.
/// @param requestIdKnown is called with the request id before anything is sent to the caller
void serve(TrafficContext &context, const CallerRequest &request,
           const CallerResponseWriter &response,
           const std::function<void(const RequestId &)> &requestIdKnown);

} // namespace tamarack
