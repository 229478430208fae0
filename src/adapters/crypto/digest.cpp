// Digests, random ids and base64 with OpenSSL.
#include "adapters/crypto/digest.h"

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <fmt/format.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace tamarack {

namespace {

std::string toHex(const unsigned char *data, std::size_t size)
{
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i)
        fmt::format_to(std::back_inserter(text), "{:02x}", data[i]);
    return text;
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> data(bytes);
    if (RAND_bytes(data.data(), static_cast<int>(bytes)) != 1)
        throw std::runtime_error(
            "RAND_bytes() of OpenSSL failed; check the random number source of the host");
    return toHex(data.data(), data.size());
}

std::string base64Encode(std::string_view data)
{
    std::string text(4 * ((data.size() + 2) / 3), '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                    reinterpret_cast<const unsigned char *>(data.data()),
                    static_cast<int>(data.size()));
    return text;
}

Result<std::string> base64Decode(std::string_view text)
{
    std::string data(text.size() / 4 * 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0 || text.size() % 4 != 0)
        return fail(ErrorKind::InvalidMessage, "tamarack.crypto.101",
                    "the text is not base64; encode it with padding as in RFC 4648");
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    data.resize(static_cast<std::size_t>(size) - padding);
    return data;
}

} // namespace tamarack
