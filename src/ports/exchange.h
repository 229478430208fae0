// The port to upstreams: one exchange is one request and its answer.
#pragma once

#include "core/core.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief One header field that passes between caller and upstream unchanged.
struct HeaderField
{
    std::string name_;
    std::string value_;
};

/// @brief One request to an upstream.
struct ExchangeRequest
{
    std::string address_;
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    std::string method_;
    std::string path_;
    std::string contentType_;
    std::vector<HeaderField> headers_;
    std::string body_;
    RequestId request_;
    AttemptId attempt_;
    std::string idempotencyKey_;
    int priority_ = 0;
    /// The request may use a kept connection and may be sent again when that connection fails.
    bool idempotent_ = false;
    /// The answer is a stream of server-sent events.
    bool stream_ = false;
    /// Events of an interrupted stream that were received before.
    std::uint64_t resumeOffset_ = 0;
    Millis connectTimeout_ {1000};
    /// A stream is given up when the upstream stays silent for this long; other answers are given
    /// up when it also fails a probe.
    Millis silenceLimit_ {5000};
    /// The exchange is given up if no event and no whole answer has arrived by then.
    std::optional<MonoTime> deadline_;
    /// Descriptor of the caller's connection; the exchange is cancelled when the caller closes it.
    /// -1 if the exchange runs to its end regardless.
    int callerSocket_ = -1;
    /// Largest accepted size of an answer that is not a stream, in bytes.
    std::size_t maxBodyBytes_ = 8U << 20U;
};

/// @brief One event of a stream.
struct StreamEvent
{
    std::string data_;
    /// The event reports usage and carries no output.
    bool usageOnly_ = false;
};

/// @brief Receives the events of a stream in order, without the protocol terminator.
/// @return false to cancel the exchange, because the caller went away
using EventSink = std::function<bool(const StreamEvent &)>;

/// @brief What an upstream's GET /health on a new connection showed.
enum class ProbeResult {
    NotProbed,
    Live,
    Leaving,
    /// No answer, or a server error.
    Failed,
};

/// @brief The end of an exchange.
struct ExchangeResult
{
    AttemptResult result_ = AttemptResult::NotSent;
    /// HTTP status of the answer, 0 if none arrived.
    int status_ = 0;
    std::string contentType_;
    std::vector<HeaderField> headers_;
    /// The answer was a stream; its events went to the sink.
    bool streamed_ = false;
    /// Body of an answer that is not a stream.
    std::string body_;
    /// Time to the first event of a stream or to the head of another answer.
    std::optional<Micros> firstByte_;
    /// Prompt and output tokens as reported by the engine.
    std::optional<Tokens> usage_;
    /// The upstream did not confirm the resume offset, so its answer was dropped.
    bool resumeRefused_ = false;
    /// The answer named another request or attempt and was dropped.
    bool foreign_ = false;
    /// Set after a silence, or when the upstream refused because it is leaving.
    ProbeResult probe_ = ProbeResult::NotProbed;
    /// What failed, for the log.
    std::string detail_;
};

/// @brief Exchanges with upstreams. The functions block and are safe to call from any thread.
struct UpstreamPort
{
    std::function<ExchangeResult(const ExchangeRequest &, const EventSink &)> exchange_;
    /// Asks an engine to stop generating for a request.
    /// @return the usage so far, if the engine reports it
    std::function<std::optional<Tokens>(const std::string &address, const RequestId &,
                                        Millis limit)>
        cancel_;
};

} // namespace tamarack
