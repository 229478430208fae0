// Stable hashing. All daemons must agree on the result, so std::hash cannot be used.
#pragma once

#include <cstdint>
#include <string_view>

namespace tamarack {

/// @brief Returns the 64-bit xxHash (XXH64, seed 0) of @a text.
std::uint64_t hash64(std::string_view text);

/// @brief Returns the rendezvous weight of @a member for @a key (highest weight wins).
std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

} // namespace tamarack
