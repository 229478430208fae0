// Classification of upstream responses: which are delivered, and which need a decision about a
// retry.
#pragma once

#include "core/ids.h"

#include <optional>
#include <string>

namespace tamarack {

/// @brief Properties of a response head, independent of the protocol.
struct AnswerFacts
{
    int status_ = 0;
    /// Request id in the response, if there is one.
    std::optional<RequestId> echoed_;
    /// The upstream signed the response.
    bool signed_ = false;
    /// The upstream reported that it did not run the request.
    bool notExecuted_ = false;
    /// The body has a content encoding, although no client requests one.
    bool encoded_ = false;
};

enum class AnswerMeaning {
    /// Sent to the client unchanged.
    Deliver,
    /// The upstream failed; the response is held back until a retry is ruled out.
    HoldFailure,
    NotExecuted,
    WrongInstance,
    /// Belongs to another request; the expected response may follow.
    Foreign,
    Malformed,
};

/// @brief Classifies the head of a response to @a request.
AnswerMeaning judgeAnswer(const AnswerFacts &facts, const RequestId &request);

} // namespace tamarack
