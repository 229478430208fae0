// Incremental parsers for HTTP/1.1 messages, based on Boost.Beast. Internal to the front end.
// Source: RFC 9112.
#pragma once

#include "core/time.h"
#include "ports/exchange.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// @brief A complete request.
struct HttpRequest
{
    std::string method_;
    std::string target_;
    bool http10_ = false;
    bool keepAlive_ = true;
    std::string host_;
    /// End-to-end fields; hop-by-hop and framing fields are removed.
    std::vector<HeaderField> headers_;
    std::string body_;
};

/// @brief Status line and header fields of a response.
struct HttpResponseHead
{
    int status_ = 0;
    std::string reason_;
    bool keepAlive_ = true;
    /// Timeout parameter of the Keep-Alive field: the upstream closes an idle connection after this
    /// time.
    std::optional<Seconds> keepAliveTimeout_;
    /// The Content-Length field. In the response to a HEAD request it is the length that the body
    /// of a GET request would have.
    std::optional<std::uint64_t> contentLength_;
    /// End-to-end fields; hop-by-hop and framing fields are removed.
    std::vector<HeaderField> headers_;
};

enum class ParseStatus {
    NeedMore,
    /// The head is complete; the body is not.
    HeadDone,
    Done,
    Invalid,
};

/// @brief Returns the value of the first field with this name, or nothing if it is absent. Linear
/// in the number of fields.
std::optional<std::string_view> findField(const std::vector<HeaderField> &fields,
                                          std::string_view name);

/// @brief Returns whether two ASCII strings are equal without regard to case.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

struct RequestReaderState;

/// @brief Incremental parser for the requests of one connection.
struct RequestReader
{
    std::unique_ptr<RequestReaderState> state_;
    /// Received bytes that have not been parsed.
    std::string pending_;

    RequestReader();
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;
    RequestReader &operator=(RequestReader &&) noexcept;
};

struct RequestLimits
{
    std::size_t maxHeaderBytes_ = 0;
    std::size_t maxBodyBytes_ = 0;
};

struct RequestProgress
{
    /// Size of the body if its Content-Length is known, otherwise of what was received of it.
    std::size_t bodyBytes_ = 0;
    bool bodySizeKnown_ = false;
    ParseStatus parseStatus_ = ParseStatus::NeedMore;
    /// HTTP status for an invalid request.
    int status_ = 0;
    /// The client sent "Expect: 100-continue" and waits before it sends the body.
    bool expectsContinue_ = false;
    std::string error_;
};

/// @brief Parses the reader's pending bytes up to the end of one request.
RequestProgress readRequest(RequestReader &reader, const RequestLimits &limits);

/// @brief Returns the memory of the unparsed bytes, of the head's fields and of the body so far.
std::size_t bufferedBytes(const RequestReader &reader);

/// @brief Returns the memory of header fields. Linear in the number of fields.
std::size_t memoryOf(const std::vector<HeaderField> &fields);

/// @brief Returns the request that readRequest() completed, and resets the reader for the next one.
/// @pre readRequest() returned Done
HttpRequest takeRequest(RequestReader &reader);

struct ResponseReaderState;

/// @brief Incremental parser for one response.
struct ResponseReader
{
    std::unique_ptr<ResponseReaderState> state_;

    ResponseReader();
    ~ResponseReader();
    ResponseReader(ResponseReader &&) noexcept;
    ResponseReader &operator=(ResponseReader &&) noexcept;
};

/// @brief Resets the reader for a response to a request with this method.
void startResponse(ResponseReader &reader, std::string_view method);

/// @brief Parses @a bytes and removes the parsed part. Interim responses are skipped.
///
/// A status that can't occur is invalid: one outside of 100 to 599, and 101 (Switching Protocols).
/// So is a body with another transfer coding than a single chunked one.
ParseStatus readResponse(ResponseReader &reader, std::string &bytes);

/// @brief Signals that the upstream closed the connection in an orderly way.
/// @return Done if the response is delimited by the end of the connection, else Invalid
ParseStatus endResponse(ResponseReader &reader);

/// @brief Returns the status line and the end-to-end fields of the response.
/// @pre readResponse() returned HeadDone or Done
HttpResponseHead responseHead(const ResponseReader &reader);

/// @brief Returns the memory of the response's fields, also while the head is not complete.
/// @pre startResponse() was called
std::size_t parsedHeadBytes(const ResponseReader &reader);

/// @brief Returns the body bytes parsed since the last call.
std::string takeBody(ResponseReader &reader);

} // namespace tamarack
