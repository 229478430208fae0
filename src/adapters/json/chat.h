// Chat-completion requests and answers.
#pragma once

#include "adapters/json/fault.h"

#include "core/core.h"

#include <optional>
#include <string>

namespace tamarack {

/// @brief What the daemon needs to know of a chat-completion request.
struct ChatRequest
{
    ModelId model_;
    bool stream_ = false;
    /// 0 if the caller sets no limit.
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
                             Faults &faults);

/// @brief Returns usage.total_tokens of an answer or of a stream's event, if it has one.
std::optional<Tokens> parseUsage(const std::string &text);

} // namespace tamarack
