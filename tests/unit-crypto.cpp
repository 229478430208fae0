// Tests base64 and signatures. Guards against accepting a forged manifest.
#include "adapters/crypto/crypto.h"

#include <catch2/catch.hpp>

namespace tamarack {

TEST_CASE("crypto")
{
    SECTION("base64 round trips with every length of padding")
    {
        for (const std::string text : {"", "a", "ab", "abc", "abcd"})
            CHECK(base64Decode(base64Encode(text)).value() == text);
    }
    SECTION("a signature verifies only for its message and key")
    {
        const KeyPair keys = generateKeyPair().value();
        const KeyPair other = generateKeyPair().value();
        const std::string signature = sign("message", keys.privateKey_).value();
        CHECK(verify("message", signature, keys.publicKey_));
        CHECK_FALSE(verify("other", signature, keys.publicKey_));
        CHECK_FALSE(verify("message", signature, other.publicKey_));
    }
}

} // namespace tamarack
