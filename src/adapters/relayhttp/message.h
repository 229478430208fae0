// HTTP/1.1 messages as they arrive in pieces, parsed by Boost.Beast. Internal to the front end.
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

/// @brief A request that has arrived whole.
struct HttpRequest
{
    std::string method_;
    std::string target_;
    bool http10_ = false;
    bool keepAlive_ = true;
    std::string host_;
    /// Without the fields that concern one connection only.
    std::vector<HeaderField> headers_;
    std::string body_;
};

/// @brief The head of an answer.
struct HttpResponseHead
{
    int status_ = 0;
    std::string reason_;
    bool keepAlive_ = true;
    /// Whole seconds after which the upstream closes the connection when it is idle.
    std::optional<Seconds> keepAliveTimeout_;
    /// Without the fields that concern one connection only and those of the framing.
    std::vector<HeaderField> headers_;
};

enum class ParseStatus {
    NeedMore,
    /// The head is complete, the body is not.
    HeadDone,
    Done,
    Invalid,
};

/// @brief Returns a field's value, or nothing if it is absent.
std::optional<std::string_view> findField(const std::vector<HeaderField> &fields,
                                          std::string_view name);

/// @brief Compares field names, which ignore case.
bool sameFieldName(std::string_view a, std::string_view b);

struct RequestReaderState;

/// @brief Reads requests from one connection, one after the other.
struct RequestReader
{
    std::unique_ptr<RequestReaderState> state_;
    /// Bytes that arrived and are not parsed yet.
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
    ParseStatus parseStatus_ = ParseStatus::NeedMore;
    /// Status to refuse a bad request with.
    int status_ = 0;
    /// The client waits for permission to send the body.
    bool expectsContinue_ = false;
    std::string error_;
};

/// @brief Parses what is pending.
RequestProgress readRequest(RequestReader &reader, const RequestLimits &limits);

/// @brief Takes the request that readRequest() completed and prepares for the next one.
/// @pre readRequest() returned Done
HttpRequest takeRequest(RequestReader &reader);

struct ResponseReaderState;

/// @brief Reads one answer from a connection.
struct ResponseReader
{
    std::unique_ptr<ResponseReaderState> state_;

    ResponseReader();
    ~ResponseReader();
    ResponseReader(ResponseReader &&) noexcept;
    ResponseReader &operator=(ResponseReader &&) noexcept;
};

/// @brief Prepares for the answer to a request with this method.
void startResponse(ResponseReader &reader, std::string_view method);

/// @brief Parses bytes and removes those that it used from their front.
ParseStatus readResponse(ResponseReader &reader, std::string &bytes);

/// @brief Tells the reader that the connection was closed in order.
/// @return Done if the answer is complete with that
ParseStatus endResponse(ResponseReader &reader);

/// @brief Returns the head.
/// @pre readResponse() returned HeadDone or Done
HttpResponseHead responseHead(const ResponseReader &reader);

/// @brief Takes the bytes of the body that were read since the last call.
std::string takeBody(ResponseReader &reader);

} // namespace tamarack
