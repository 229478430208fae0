// The port to upstreams: one exchange is one request and its answer.
#pragma once

#include "core/core.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace tamarack {

/// @brief One request to an upstream.
struct ExchangeRequest
{
    std::string address_;
    std::string method_;
    std::string path_;
    std::string contentType_;
    std::string body_;
    RequestId request_;
    AttemptId attempt_;
    std::string idempotencyKey_;
    int priority_ = 0;
    /// The answer is a stream of server-sent events.
    bool stream_ = false;
    /// Events of an interrupted stream that were received before.
    std::uint64_t resumeOffset_ = 0;
    Millis connectLimit_ {1000};
    /// The exchange is given up when the upstream stays silent for this long.
    Millis silenceLimit_ {5000};
    /// Largest accepted size of an answer that is not a stream, in bytes.
    std::size_t maxBodyBytes_ = 8U << 20U;
};

/// @brief Receives the events of a stream, without the protocol terminator.
/// @return false to cancel the exchange, because the caller went away
using EventSink = std::function<bool(const std::string &data)>;

/// @brief The end of an exchange.
struct ExchangeResult
{
    AttemptResult result_ = AttemptResult::NotSent;
    /// HTTP status of the answer, 0 if none arrived.
    int status_ = 0;
    std::string contentType_;
    /// Body of an answer that is not a stream.
    std::string body_;
    std::optional<Micros> firstByte_;
    /// Prompt and output tokens as reported by the engine.
    std::optional<Tokens> usage_;
    /// What failed, for the log.
    std::string detail_;
};

/// @brief Exchanges with upstreams. Blocks; safe to call from any thread.
struct UpstreamPort
{
    std::function<ExchangeResult(const ExchangeRequest &, const EventSink &)> exchange_;
};

} // namespace tamarack
