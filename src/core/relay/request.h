// A request as the decisions see it: no bytes, no protocol.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "core/tokens.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief One request of a client at this daemon, until its answer has ended.
using ExchangeId = NumericId<struct ExchangeTag>;

/// @brief A part of a prompt that other requests may share.
struct PromptPart
{
    std::string id_;
    Tokens tokens_;
};

/// @brief What a request asks of a model engine.
struct PromptUsage
{
    Tokens prompt_;
    Tokens maxOutput_;
    /// In the order of the prompt; the last one belongs to the request or its session alone.
    std::vector<PromptPart> parts_;
};

/// @brief A request that has been read whole.
struct RelayRequest
{
    ExchangeId id_;
    /// The client's id of this attempt. It is passed on unchanged.
    RequestId request_;
    std::string host_;
    std::string path_;
    /// The client's key; empty if it sent none.
    std::string key_;
    std::optional<PromptUsage> usage_;
    std::size_t bodyBytes_ = 0;
    /// When the first byte of the request arrived.
    MonoTime arrivedAt_ {};
    /// How long the client waits, from arrivedAt_ on.
    std::optional<Millis> clientTimeout_;
};

} // namespace tamarack
