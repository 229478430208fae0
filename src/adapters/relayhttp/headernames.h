// Names of the header fields that a deployment gives to the relay's concepts.
#pragma once

#include <string>
#include <vector>

namespace tamarack {

/// @brief Field names; comparison ignores case.
struct HeaderNames
{
    /// Id of the client's attempt, passed on unchanged and echoed by upstreams.
    std::string requestId_ = "X-Request-Id";
    /// Milliseconds that the sender waits for the answer.
    std::string deadline_ = "X-Deadline-Ms";
    /// Scheme of the Authorization field that a client's key follows.
    std::string authScheme_ = "Bearer";
    std::string model_ = "X-Model";
    /// "PROMPT,MAX_OUTPUT" in tokens.
    std::string usage_ = "X-Tokens";
    /// "ID:TOKENS" for each part of the prompt, separated by commas.
    std::string promptParts_ = "X-Prompt-Parts";
    std::string lastEventId_ = "Last-Event-ID";
    /// Client account, set by the relay.
    std::string account_ = "X-Account";
    /// Instance that the request is meant for, set by the relay.
    std::string expectInstance_ = "X-Instance";
    /// Signature of an upstream's answer.
    std::string signature_ = "X-Signature";
    /// Present if the upstream did not run the request.
    std::string notExecuted_ = "X-Not-Run";
    /// Further fields that only the relay may set; a client's are dropped.
    std::vector<std::string> reserved_;
};

} // namespace tamarack
