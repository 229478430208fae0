// Validation of "IP:port" addresses.
#include "adapters/json/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace tamarack {

namespace {

constexpr unsigned maxPort = 65'535;

bool isPort(const std::string &text)
{
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, port);
    return error == std::errc {} && parsed == end && port >= 1 && port <= maxPort;
}

bool isIp(const std::string &text)
{
    in6_addr ignored {};
    if (text.size() > 2 && text.front() == '[' && text.back() == ']')
        return inet_pton(AF_INET6, text.substr(1, text.size() - 2).c_str(), &ignored) == 1;
    return inet_pton(AF_INET, text.c_str(), &ignored) == 1;
}

} // namespace

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return colon != std::string::npos && isIp(text.substr(0, colon))
        && isPort(text.substr(colon + 1));
}

std::string readAddress(const JsonReader &reader, const std::string &field, FieldPresence presence)
{
    std::string text = readString(reader, field, presence);
    if (!text.empty() && !isAddress(text))
        addError(reader, field, "is not an address: " + text,
                 "use an IP address and a port, such as 10.0.3.7:8000");
    return text;
}

} // namespace tamarack
