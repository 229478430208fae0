// Hash functions based on xxHash.
#include "core/hash.h"

#include <xxhash.h>

namespace tamarack {

std::uint64_t hash64(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    return XXH64(member.data(), member.size(), hash64(key));
}

} // namespace tamarack
