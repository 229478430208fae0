// Reads a server's response from a connection.
//
// POCO's chunked stream reports the end of the connection as the end of the body, so body framing
// is handled here. POCO parses only the head.
#pragma once

#include "adapters/httpclient/connection.h"

#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief How the end of a body is determined.
enum class BodyFraming {
    None,
    ContentLength,
    Chunked,
    /// By the end of the connection, which is indistinguishable from a failure.
    UntilClose,
};

/// @brief Read progress of a response body.
struct BodyProgress
{
    BodyFraming framing_ = BodyFraming::None;
    /// Remaining bytes of a body with Content-Length, or of the current chunk.
    std::uint64_t remaining_ = 0;
    bool insideChunk_ = false;
    bool complete_ = false;
};

/// @brief Head of a response and the framing of its body.
struct ReceivedHead
{
    /// POCO's type for a status has no values above 511.
    int status_ = 0;
    Poco::Net::HTTPResponse response_;
    BodyProgress body_;
};

/// @brief Reads the head of the final response. Interim responses are skipped. A head is malformed
/// if a line of it is not valid, the status is 101 (Switching Protocols), or the framing of the
/// body is contradictory or unknown.
/// @param method method of the request: a response to HEAD has no body
IoStatus readHead(Connection &connection, const ReadLimits &limits, const std::string &method,
                  ReceivedHead &head);

/// @brief Reads the next bytes of the body. Sets BodyProgress::complete_ only if the framing proves
/// the end of the body, or the connection ends a body without framing.
/// @param bytes receives the data; empty at the end of the body
IoStatus readBodyBytes(Connection &connection, const ReadLimits &limits, BodyProgress &body,
                       std::string &bytes);

/// @brief A response with its body.
struct WholeResponse
{
    int status_ = 0;
    Poco::Net::HTTPResponse head_;
    BodyFraming framing_ = BodyFraming::None;
    std::string body_;
};

/// @brief Reads a response with its body.
/// @param method method of the request
/// @param response valid only if the result is Ok
/// @return Malformed also if the body has more than @a maxBytes bytes
IoStatus readWholeResponse(Connection &connection, const ReadLimits &limits,
                           const std::string &method, std::size_t maxBytes,
                           WholeResponse &response);

} // namespace tamarack
