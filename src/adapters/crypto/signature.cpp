// Ed25519 signatures with OpenSSL.
#include "adapters/crypto/signature.h"

#include "adapters/crypto/digest.h"

#include <openssl/evp.h>

#include <memory>

namespace tamarack {

namespace {

constexpr std::size_t rawKeyBytes = 32;
constexpr std::size_t signatureBytes = 64;

using KeyHandle = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using DigestHandle = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

const unsigned char *bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

boost::leaf::error_id malformedKey()
{
    return fail(ErrorKind::InvalidSignature, "tamarack.crypto.111",
                "the key is not a raw Ed25519 key in base64; create one with tamarackctl keygen");
}

boost::leaf::error_id signatureMismatch()
{
    return fail(ErrorKind::InvalidSignature, "tamarack.crypto.121",
                "the signature does not match the manifest; sign it again with a trusted key");
}

} // namespace

Result<KeyPair> generateKeyPair()
{
    const KeyHandle key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"), &EVP_PKEY_free);
    std::string publicKey(rawKeyBytes, '\0');
    std::string privateKey(rawKeyBytes, '\0');
    std::size_t size = rawKeyBytes;
    const bool ok = key
        && EVP_PKEY_get_raw_public_key(key.get(),
                                       reinterpret_cast<unsigned char *>(publicKey.data()), &size)
            == 1
        && EVP_PKEY_get_raw_private_key(key.get(),
                                        reinterpret_cast<unsigned char *>(privateKey.data()), &size)
            == 1;
    if (!ok)
        return fail(ErrorKind::Internal, "tamarack.crypto.112",
                    "OpenSSL could not create an Ed25519 key; check its installation");
    return KeyPair {base64Encode(publicKey), base64Encode(privateKey)};
}

Result<std::string> sign(std::string_view message, const std::string &privateKey)
{
    BOOST_LEAF_AUTO(raw, base64Decode(privateKey));
    const KeyHandle key(
        EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytes(raw), raw.size()),
        &EVP_PKEY_free);
    if (!key)
        return malformedKey();
    const DigestHandle context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    std::string signature(signatureBytes, '\0');
    std::size_t size = signature.size();
    const bool ok = EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1
        && EVP_DigestSign(context.get(), reinterpret_cast<unsigned char *>(signature.data()), &size,
                          bytes(message), message.size())
            == 1;
    if (!ok)
        return malformedKey();
    return signature;
}

Result<void> verify(std::string_view message, std::string_view signature,
                    const std::string &publicKey)
{
    BOOST_LEAF_AUTO(raw, base64Decode(publicKey));
    const KeyHandle key(
        EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytes(raw), raw.size()),
        &EVP_PKEY_free);
    if (!key)
        return malformedKey();
    const DigestHandle context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    const bool ok = EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1
        && EVP_DigestVerify(context.get(), bytes(signature), signature.size(), bytes(message),
                            message.size())
            == 1;
    if (!ok)
        return signatureMismatch();
    return {};
}

} // namespace tamarack
