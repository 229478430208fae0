// Chat-completion requests and answers.
#pragma once

#include "adapters/json/validationerror.h"

#include "core/core.h"

#include <optional>
#include <string>

namespace tamarack {

/// @brief What the daemon needs to know of a chat-completion request.
struct ChatRequest
{
    ModelId model_;
    bool stream_ = false;
    /// The caller asked for the usage event of a stream.
    bool includeUsage_ = false;
    /// Output limit of each choice.
    Tokens choiceLimit_;
    /// Output limit of all choices together.
    Tokens maxOutput_;
    /// Bytes of all message contents, an upper bound of the prompt's tokens.
    Tokens promptBound_;
    /// The body to send upstream: the output limit is set and usage is asked for.
    std::string upstreamBody_;
};

/// @brief Reads a chat-completion request.
/// @param defaultMaxOutput output limit of requests that set none
/// @param maxBytes largest accepted size of the body
/// @param faults receives every fault; the result is usable only if it stays empty
ChatRequest parseChatRequest(const std::string &body, Tokens defaultMaxOutput, std::size_t maxBytes,
                             ValidationErrors &errors);

/// @brief Usage in an answer or in a stream's event.
struct ChatUsage
{
    /// Prompt and output tokens; nothing if none are reported.
    std::optional<Tokens> tokens_;
    /// The event carries no choices beside the usage.
    bool usageOnly_ = false;
};

/// @brief Reads the usage of an answer or of a stream's event.
ChatUsage parseChatUsage(const std::string &text);

/// @brief Returns the total tokens of an answer or of a stream's event, if it has them.
std::optional<Tokens> parseUsage(const std::string &text);

/// @brief Whether an upstream's answer states that it is leaving.
bool reportsLeaving(const std::string &text);

} // namespace tamarack
