// Protobuf encoding of stored values.
#pragma once

#include "core/error.h"
#include "core/store.h"

#include <string>

namespace tamarack {

/// @brief Encodes a value as serialized protobuf.
/// @note O(size of the value)
std::string encodeStoredValue(const StoredValue &value);

/// @brief Decodes a value of the given kind.
/// @return an error with id tamarack.stored.101 if the bytes are malformed, or tamarack.stored.102
/// if the kind is unknown
/// @note O(size of the value)
Result<StoredValue> decodeStoredValue(StoredKind kind, const std::string &bytes);

} // namespace tamarack
