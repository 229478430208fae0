// Compression of large documents in messages between daemons.
#include "adapters/peers/compression.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace tamarack {

namespace {

/// The fastest level of zlib. Level 6 takes twice as long and saves 2% of the size.
constexpr int compressionLevel = 1;
constexpr std::size_t blockBytes = 16U << 10U;

} // namespace

std::string compress(const std::string &text)
{
    std::ostringstream bytes;
    Poco::DeflatingOutputStream deflater(bytes, Poco::DeflatingStreamBuf::STREAM_ZLIB,
                                         compressionLevel);
    deflater.write(text.data(), static_cast<std::streamsize>(text.size()));
    deflater.close();
    return bytes.str();
}

std::optional<std::string> decompress(const std::string &bytes, std::size_t maxBytes)
{
    try {
        std::istringstream source(bytes);
        Poco::InflatingInputStream inflater(source, Poco::InflatingStreamBuf::STREAM_ZLIB);
        inflater.exceptions(std::ios::badbit);
        std::string text;
        std::array<char, blockBytes> block {};
        while (inflater.read(block.data(), block.size()), inflater.gcount() > 0) {
            if (text.size() + static_cast<std::size_t>(inflater.gcount()) > maxBytes)
                return std::nullopt;
            text.append(block.data(), static_cast<std::size_t>(inflater.gcount()));
        }
        return text;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace tamarack
