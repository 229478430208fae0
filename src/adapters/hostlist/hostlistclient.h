// HTTP client for the platform's host list: GET /hosts returns a JSON array of
// {"host", "address", "zone", "state": "live" | "leaving"}.
#pragma once

#include "core/error.h"
#include "ports/hostlist.h"

#include <cstddef>
#include <string>

namespace tamarack {

struct HostListSettings
{
    /// "IP:port" of the server of the host list.
    std::string address_;
    Millis timeout_ {1000};
    std::size_t maxBytes_ = 1U << 20U;
    std::size_t maxHosts_ = 10'000;
};

/// @brief Parses a host list.
/// @return an error with id tamarack.hostlist.101 if it is malformed, or tamarack.hostlist.102 if
/// it has more than @a maxHosts entries
Result<std::vector<ListedHost>> parseHostList(const std::string &text, std::size_t maxHosts);

/// @brief Returns a port that reads the host list over HTTP.
HostListPort makeHostListPort(HostListSettings settings);

} // namespace tamarack
