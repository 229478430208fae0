// Reading of an upstream's answer from a connection. Internal to the HTTP adapter.
//
// POCO's chunked stream reports the end of the connection as the end of the body, so the framing of
// the body is read here; POCO parses the head.
#pragma once

#include "adapters/http/connection.h"

#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief What marks the end of a body.
enum class BodyFraming {
    None,
    ContentLength,
    Chunked,
    /// The end of the connection, which a failure cannot be told from.
    UntilClose,
};

/// @brief How far the body of an answer has been read.
struct BodyProgress
{
    BodyFraming framing_ = BodyFraming::None;
    /// Bytes left of the sized body or of the current chunk.
    std::uint64_t remaining_ = 0;
    bool insideChunk_ = false;
    bool complete_ = false;
};

/// @brief The head of an answer.
struct ReceivedHead
{
    Poco::Net::HTTPResponse response_;
    BodyProgress body_;
};

/// @brief Reads the head of the final answer; interim answers (1xx) are skipped.
/// @param method method of the request, because an answer to HEAD has no body
IoStatus readHead(Connection &connection, const ReadLimits &limits, const std::string &method,
                  ReceivedHead &head);

/// @brief Reads the next bytes of the body. Sets BodyProgress::complete_ at the proven end of the
/// body.
/// @param piece receives the bytes; empty if the body ended
IoStatus readBodyBytes(Connection &connection, const ReadLimits &limits, BodyProgress &body,
                       std::string &bytes);

} // namespace tamarack
