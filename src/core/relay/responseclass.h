// Classification of upstream responses: which are delivered, and which need a decision about a
// retry.
#pragma once

#include "core/ids.h"

#include <optional>
#include <string>

namespace tamarack {

/// @brief Properties of a response head, independent of the protocol.
struct ResponseHead
{
    int status_ = 0;
    /// Request id in the response, if there is one.
    std::optional<RequestId> echoedRequest_;
    /// The upstream signed the response.
    bool signed_ = false;
    /// The upstream reported that it did not run the request.
    bool notExecuted_ = false;
    /// The body has a content encoding, although no client requests one.
    bool contentEncoded_ = false;
    /// The connection has served an earlier request. Without a request id, the response may be a
    /// repetition of the one to that request.
    bool connectionReused_ = false;
};

enum class ResponseClass {
    /// Sent to the client unchanged.
    Deliver,
    /// The upstream failed; the response is held back until a retry is ruled out.
    UpstreamFailure,
    NotExecuted,
    WrongInstance,
    /// Belongs to another request; the expected response may follow.
    OtherRequest,
    Malformed,
};

/// @brief Classifies the head of a response to @a request.
ResponseClass classifyResponse(const ResponseHead &head, const RequestId &request);

/// @brief Classifies the head of another daemon's response to a request that it was handed. What it
/// says to a client is passed on, its own refusals only if no other daemon takes the request over.
/// @return UpstreamFailure for a refusal by which the request has not run and never will
ResponseClass classifyPeerResponse(const ResponseHead &head, const RequestId &request);

} // namespace tamarack
