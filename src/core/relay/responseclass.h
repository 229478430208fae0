// What an upstream's answer means: which ones go to the client, which ones call for a verdict.
#pragma once

#include "core/ids.h"

#include <optional>
#include <string>

namespace tamarack {

/// @brief The head of an answer, without the protocol it came by.
struct ResponseHead
{
    int status_ = 0;
    /// The id of the request that the answer names, if it names one.
    std::optional<RequestId> echoedRequest_;
    /// The upstream signed the answer.
    bool signed_ = false;
    /// The upstream says that it did not run the request.
    bool notExecuted_ = false;
    /// The body is encoded, though no client asks for that.
    bool contentEncoded_ = false;
};

enum class ResponseClass {
    /// Goes to the client unchanged.
    Deliver,
    /// The upstream failed; the answer is held back until it is clear that nothing better follows.
    UpstreamFailure,
    NotExecuted,
    WrongInstance,
    /// Belongs to another request; the one that is waited for may follow.
    OtherRequest,
    Malformed,
};

/// @brief Judges the head of an answer to @a request.
ResponseClass classifyResponse(const ResponseHead &facts, const RequestId &request);

} // namespace tamarack
