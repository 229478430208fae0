// Hash functions whose results are identical on all daemons, which std::hash does not guarantee.
#pragma once

#include <cstdint>
#include <string_view>

namespace tamarack {

/// @brief Returns the 64-bit xxHash (XXH64, seed 0) of @a text.
std::uint64_t hash64(std::string_view text);

/// @brief Returns the rendezvous hashing weight of @a member for @a key. The member with the
/// highest weight is chosen.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

} // namespace tamarack
