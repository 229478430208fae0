// Digests, random ids and base64.
#pragma once

#include "core/error.h"

#include <string>
#include <string_view>

namespace tamarack {

/// @brief Returns the SHA-256 of @a data in lower-case hexadecimal.
std::string sha256Hex(std::string_view data);

/// @brief Returns @a bytes cryptographically random bytes in lower-case hexadecimal.
/// @throws std::runtime_error if the random number generator fails
std::string randomHex(std::size_t bytes);

/// @brief Encodes @a data as base64 with padding (RFC 4648).
std::string base64Encode(std::string_view data);

/// @brief Decodes base64 with padding (RFC 4648).
/// @return an error with id tamarack.crypto.101 if @a text is malformed
Result<std::string> base64Decode(std::string_view text);

} // namespace tamarack
