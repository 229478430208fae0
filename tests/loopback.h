// Addresses for the sockets of a test program. A port that was found free by binding and closing it
// can be taken by another program before it is used again: as the source port of a connection, or
// by a listener with port 0.
#pragma once

#include <unistd.h>

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief Returns an "IP:port" on loopback that no other program uses, and that differs in each
/// call. The IP is derived from the process id, and the port is below the range of ephemeral ports.
/// Source: Linux, Documentation/networking/ip-sysctl.rst, ip_local_port_range.
inline std::string reserveAddress()
{
    constexpr std::uint32_t firstPort = 20'000;
    constexpr std::uint32_t portCount = 10'000;
    static std::uint32_t reserved = 0;
    const auto process = static_cast<std::uint32_t>(::getpid());
    // Process ids have up to 22 bits. The second byte keeps clear of 127.0.0.1.
    const std::string host = "127." + std::to_string(64 + ((process >> 16U) & 0x3fU)) + '.'
        + std::to_string((process >> 8U) & 0xffU) + '.' + std::to_string(process & 0xffU);
    return host + ':' + std::to_string(firstPort + reserved++ % portCount);
}

} // namespace tamarack
