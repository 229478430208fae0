// Ed25519 signatures that operators put on bundle manifests.
#pragma once

#include "core/error.h"

#include <string>
#include <string_view>

namespace tamarack {

/// @brief An Ed25519 key pair; both keys are raw bytes in base64.
struct KeyPair
{
    std::string publicKey_;
    std::string privateKey_;
};

/// @brief Generates a key pair.
/// @return an error with id tamarack.crypto.112 if OpenSSL fails
Result<KeyPair> generateKeyPair();

/// @brief Signs @a message.
/// @param privateKey raw private key in base64
/// @return the raw signature, or an error with id tamarack.crypto.101 or tamarack.crypto.111 if the
/// key is malformed
Result<std::string> sign(std::string_view message, const std::string &privateKey);

/// @brief Verifies a raw signature.
/// @param publicKey raw public key in base64
/// @return an error with id tamarack.crypto.121 if the signature does not match, or with id
/// tamarack.crypto.101 or tamarack.crypto.111 if the key is malformed
Result<void> verify(std::string_view message, std::string_view signature,
                    const std::string &publicKey);

} // namespace tamarack
