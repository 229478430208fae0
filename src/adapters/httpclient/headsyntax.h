// Syntax of the head of a response. Source: RFC 9112 sections 4 and 5, RFC 9110 section 5. Internal
// to the HTTP client.
#pragma once

#include <optional>
#include <string_view>

namespace tamarack {

/// @brief Returns the status of a status line of HTTP/1, which is without its ending. The reason
/// phrase may be missing.
/// @return nothing if the line is invalid or the status is not from 100 to 599
std::optional<int> parseStatusLine(std::string_view line);

/// @brief Returns whether a line, without its ending, is a header or trailer field.
bool isFieldLine(std::string_view line);

/// @brief Returns whether a line continues the value of the field before it.
bool isFoldedLine(std::string_view line);

} // namespace tamarack
