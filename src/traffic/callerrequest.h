// A caller's request and the writer of its response, independent of the caller's protocol.
#pragma once

#include "core/core.h"
#include "ports/exchange.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A request that was decoded from the caller's protocol.
struct CallerRequest
{
    /// Lower-case hexadecimal SHA-256 of the caller's key.
    std::string keySha256_;
    /// Budget that the caller selected; empty for the default budget of the key.
    BudgetId budget_;
    std::string idempotencyKey_;
    /// The caller marked the request as non-idempotent.
    bool nonIdempotent_ = false;
    /// Time from the start of serving to the deadline of the request.
    Millis timeLimit_ {Seconds {60}};
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    ModelId model_;
    ServiceId service_;
    std::string method_;
    /// Path and query for the upstream.
    std::string path_;
    std::string contentType_;
    /// Additional header fields for the upstream.
    std::vector<HeaderField> headers_;
    std::string body_;
    bool stream_ = false;
    /// The caller requested a usage event at the end of the stream.
    bool includeUsage_ = false;
    /// Upper bound of the number of prompt tokens, computed from the size of the request in bytes
    /// because a token has at least one byte.
    Tokens promptBound_;
    /// Maximum number of output tokens; 0 for the default of the bundle.
    Tokens maxOutput_;
};

/// @brief A response that is sent as a whole, not as a stream.
struct CallerResponse
{
    int status_ = 200;
    std::string contentType_;
    std::vector<HeaderField> headers_;
    std::string body_;
};

/// @brief Writes the response to one request. The functions don't throw; a failed connection is
/// reported as a caller that disconnected.
struct CallerResponseWriter
{
    /// Sends a complete response.
    /// @return false if the caller disconnected
    std::function<bool(const CallerResponse &)> send_;
    /// Sends one stream event. The first call also sends the response header.
    /// @return false if the caller disconnected
    std::function<bool(const std::string &data)> sendEvent_;
    /// Ends a complete stream with its terminator.
    /// @return false if the caller disconnected
    std::function<bool()> endStream_;
    /// Ends an incomplete stream: sends the error as the last event and no terminator.
    std::function<void(const Refusal &)> abortStream_;
    /// Refuses the request. Called only before a response was started.
    std::function<void(const Refusal &)> refuse_;
    /// Descriptor of the connection, polled to detect a disconnect; -1 if only failed writes detect
    /// it.
    int callerSocket_ = -1;
};

} // namespace tamarack
