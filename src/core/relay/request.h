// A request in the form that routing decisions use, independent of the protocol.
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

/// @brief Identifies a client request at this daemon until its response has ended.
using ExchangeId = NumericId<struct ExchangeTag>;

/// @brief A part of a prompt that other requests may share.
struct PromptPart
{
    std::string id_;
    Tokens tokens_;
};

/// @brief Token use of a request to a model engine.
struct PromptUsage
{
    Tokens prompt_;
    Tokens maxOutput_;
    /// In prompt order; the last part belongs to this request or its session only.
    std::vector<PromptPart> parts_;
};

/// @brief The stream that a request continues after its connection broke off.
struct ResumedStream
{
    /// The client's attempt that brought the first event; empty if the client did not name it.
    RequestId begunBy_;
};

/// @brief A completely read request.
struct RelayRequest
{
    ExchangeId id_;
    /// The client's id of this attempt; forwarded unchanged.
    RequestId request_;
    std::string host_;
    std::string path_;
    /// The client's API key; empty if it sent none.
    std::string key_;
    std::optional<PromptUsage> usage_;
    /// Set if the client asks for the rest of a stream.
    std::optional<ResumedStream> resumed_ {};
    std::size_t bodyBytes_ = 0;
    /// Hash of the method, host, path and body; the same at all daemons.
    std::uint64_t contentHash_ = 0;
    /// Another daemon handed the request over, because it reaches no instance.
    bool handedOver_ = false;
    /// Attempts of that daemon that may have run.
    std::uint32_t attemptsUsed_ = 0;
    /// When the first byte of the request arrived.
    MonoTime arrivedAt_ {};
    /// How long the client waits, counted from arrivedAt_.
    std::optional<Millis> clientTimeout_;
};

} // namespace tamarack
