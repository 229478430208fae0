// Parsing of chat-completion requests and responses.
#pragma once

#include "adapters/json/validationerror.h"

#include "core/core.h"

#include <optional>
#include <string>

namespace tamarack {

/// @brief The fields of a chat-completion request that the daemon uses.
struct ChatRequest
{
    ModelId model_;
    bool stream_ = false;
    /// The caller set stream_options.include_usage.
    bool includeUsage_ = false;
    /// Output limit of each choice.
    Tokens maxOutputPerChoice_;
    /// Output limit of all choices together.
    Tokens maxOutput_;
    /// Upper bound of the prompt's tokens: the size of the body in bytes and an allowance for the
    /// chat template.
    Tokens promptBound_;
    /// Body of the upstream request, with the output limit set and usage reporting enabled.
    std::string upstreamBody_;
};

/// @brief Parses a chat-completion request.
/// @param defaultMaxOutput output limit of requests that set none
/// @param maxBytes maximum size of the body without its messages
/// @param errors receives all validation errors; the result is valid only if it stays empty
ChatRequest parseChatRequest(const std::string &body, Tokens defaultMaxOutput, std::size_t maxBytes,
                             ValidationErrors &errors);

/// @brief Usage reported by a response or by an event of a stream.
struct ChatUsage
{
    /// Prompt and output tokens; empty if not reported.
    std::optional<Tokens> tokens_;
    /// The event reports usage and has no choices.
    bool usageOnly_ = false;
};

/// @brief Returns the usage reported by a response or by an event of a stream.
ChatUsage parseChatUsage(const std::string &text);

/// @brief Returns the total tokens reported by a response or by an event of a stream, if any.
std::optional<Tokens> parseUsage(const std::string &text);

/// @brief Returns whether the response of an upstream reports the state "leaving".
bool reportsLeaving(const std::string &text);

} // namespace tamarack
