// The port to upstreams. An exchange is one attempt: one request sent to one upstream, and its
// response.
#pragma once

#include "core/core.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A header field that is forwarded unchanged between caller and upstream.
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
    /// The request may use a pooled connection and may be sent again if that connection fails.
    bool idempotent_ = false;
    /// The response is a stream of server-sent events.
    bool stream_ = false;
    /// Number of events of an interrupted stream that were already received.
    std::uint64_t resumeOffset_ = 0;
    Millis connectTimeout_ {1000};
    /// A stream is aborted when the upstream sends nothing for this long. Other exchanges are
    /// aborted only if the upstream then also fails a health probe.
    Millis silenceLimit_ {5000};
    /// The exchange is aborted if neither a stream event nor a complete response has arrived by
    /// then.
    std::optional<MonoTime> deadline_;
    /// Descriptor of the caller's connection. The exchange is cancelled when the caller closes it;
    /// with -1 it always runs to completion.
    int callerSocket_ = -1;
    /// Maximum size of a response that isn't a stream, in bytes.
    std::size_t maxBodyBytes_ = 8U << 20U;
};

/// @brief One event of a stream.
struct StreamEvent
{
    std::string data_;
    /// The event reports usage and contains no output.
    bool usageOnly_ = false;
};

/// @brief Receives the events of a stream in order, without the protocol terminator.
/// @return false to cancel the exchange because the caller disconnected
using EventSink = std::function<bool(const StreamEvent &)>;

/// @brief Result of a health probe, which sends GET /health on a new connection.
enum class ProbeResult {
    NotProbed,
    Live,
    Leaving,
    /// No response, or a server error.
    Failed,
};

/// @brief Result of an exchange.
struct ExchangeResult
{
    AttemptResult result_ = AttemptResult::NotSent;
    /// HTTP status of the response, 0 if none arrived.
    int status_ = 0;
    std::string contentType_;
    std::vector<HeaderField> headers_;
    /// The response was a stream, whose events were passed to the sink.
    bool streamed_ = false;
    /// Body of a response that isn't a stream.
    std::string body_;
    /// Time to the first event of a stream or to the header of another response.
    std::optional<Micros> timeToFirstByte_;
    /// Prompt and output tokens as reported by the engine.
    std::optional<Tokens> usage_;
    /// The upstream didn't confirm the resume offset, so its response was discarded.
    bool resumeRefused_ = false;
    /// The response was not valid HTTP, so the upstream may have run the request.
    bool malformed_ = false;
    /// The response contained the id of another request or attempt and was discarded.
    bool forOtherRequest_ = false;
    /// Set after a silent period, or if the upstream refused the request because it is leaving.
    ProbeResult probe_ = ProbeResult::NotProbed;
    /// Description of the error for the log.
    std::string detail_;
};

/// @brief Sends requests to upstreams. The functions block and are safe to call from any thread.
struct UpstreamPort
{
    std::function<ExchangeResult(const ExchangeRequest &, const EventSink &)> exchange_;
    /// Requests an engine to stop generating for a request.
    /// @return the tokens used so far, if the engine reports them
    std::function<std::optional<Tokens>(const std::string &address, const RequestId &,
                                        Millis limit)>
        cancel_;
};

} // namespace tamarack
