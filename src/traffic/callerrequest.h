// A caller's request and the answer to it, decoded from the caller's protocol.
#pragma once

#include "core/core.h"
#include "ports/exchange.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A caller's request.
struct CallerRequest
{
    /// Lower-case hexadecimal SHA-256 of the caller's key.
    std::string keySha256_;
    /// Budget the caller names; empty for the key's default.
    BudgetId budget_;
    std::string idempotencyKey_;
    /// The caller marked the request as non-idempotent.
    bool nonIdempotent_ = false;
    /// Time in which the caller wants an answer.
    Millis timeLimit_ {Seconds {60}};
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    ModelId model_;
    ServiceId service_;
    std::string method_;
    /// Path and query at the upstream.
    std::string path_;
    std::string contentType_;
    /// Further header fields for the upstream.
    std::vector<HeaderField> headers_;
    std::string body_;
    bool stream_ = false;
    /// The caller asked for the usage event of the stream.
    bool includeUsage_ = false;
    /// Upper bound of the prompt's tokens: a token has at least one byte.
    Tokens promptBound_;
    /// Largest number of output tokens; 0 for the bundle's default.
    Tokens maxOutput_;
};

/// @brief A complete answer.
struct CallerResponse
{
    int status_ = 200;
    std::string contentType_;
    std::vector<HeaderField> headers_;
    std::string body_;
};

/// @brief Where the answer to one request goes. The functions do not throw: a connection that fails
/// counts as a caller that went away.
struct CallerResponseWriter
{
    /// Sends a complete answer.
    /// @return false if the caller went away
    std::function<bool(const CallerResponse &)> send_;
    /// Sends one event of a stream and starts the stream with the first one.
    /// @return false if the caller went away
    std::function<bool(const std::string &data)> sendEvent_;
    /// Ends a stream with its terminator.
    /// @return false if the caller went away
    std::function<bool()> endStream_;
    /// Ends a stream that is not whole: sends the error as last event and no terminator.
    std::function<void(const Refusal &)> abortStream_;
    /// Refuses the request before an answer was started.
    std::function<void(const Refusal &)> refuse_;
    /// Descriptor that is hung up when the caller goes away; -1 if that is noticed only by writes.
    int callerSocket_ = -1;
};

} // namespace tamarack
