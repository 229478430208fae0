// Names of the header fields that the relay reads and sets. Each deployment may choose its own.
#pragma once

#include <string>
#include <vector>

namespace tamarack {

/// @brief Header field names, compared case-insensitively.
struct HeaderNames
{
    /// Id of the client's attempt; forwarded unchanged, and echoed by upstreams.
    std::string requestId_ = "X-Request-Id";
    /// Time in milliseconds for which the sender waits for the response.
    std::string deadline_ = "X-Deadline-Ms";
    /// Authentication scheme that precedes the client's key in the Authorization field.
    std::string authScheme_ = "Bearer";
    std::string model_ = "X-Model";
    /// "PROMPT,MAX_OUTPUT": tokens of the prompt and maximum number of output tokens.
    std::string usage_ = "X-Tokens";
    /// Comma-separated list of "ID:TOKENS", one entry for each part of the prompt.
    std::string promptParts_ = "X-Prompt-Parts";
    std::string lastEventId_ = "Last-Event-ID";
    /// Id of the client's attempt that brought the first event of the stream that a request
    /// continues.
    std::string resumes_ = "X-Resumes";
    /// Client account, set by the relay.
    std::string account_ = "X-Account";
    /// Id of the instance that should handle the request, set by the relay.
    std::string expectInstance_ = "X-Instance";
    /// Signature of the upstream's response.
    std::string signature_ = "X-Signature";
    /// Present if the upstream did not execute the request.
    std::string notExecuted_ = "X-Not-Run";
    /// Requests per second that an instance accepts from all daemons together.
    std::string requestLimit_ = "X-Request-Limit";
    /// "1" if the instance is about to stop.
    std::string leaving_ = "X-Leaving";
    /// Refusals per second for want of room above which an instance fails.
    std::string maxRefusals_ = "X-Max-Refusals";
    /// Time in milliseconds for which an instance stays cold.
    std::string coldRemaining_ = "X-Cold-Ms";
    /// Urgency of a request at an engine, from 0 (most urgent) to 9, set by the relay.
    std::string priority_ = "X-Priority";
    /// Number of attempts of a request that may have run before another daemon took it over. Only
    /// daemons send it to each other.
    std::string attemptsUsed_ = "X-Relay-Attempts-Used";
    /// "1" in a response to another daemon if this one can serve no request now.
    std::string unable_ = "X-Relay-Unable";
    /// Further fields that only the relay may set; they are removed from client requests.
    std::vector<std::string> reserved_;
};

} // namespace tamarack
