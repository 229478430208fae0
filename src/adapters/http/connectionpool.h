// Kept connections to upstreams. Internal to the HTTP adapter.
#pragma once

#include "adapters/http/responsereader.h"

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace tamarack {

/// @brief A connection whose last answer was whole.
struct PooledConnection
{
    Connection connection_;
    /// A stream's terminator arrives before the end of its body, which is read before reuse.
    BodyProgress body_;
    MonoTime idleSince_;
};

/// @brief Kept connections by address. All functions are safe to call from any thread.
struct ConnectionPool
{
    std::mutex mutex_;
    std::map<std::string, std::deque<PooledConnection>> idle_;
    /// Connections kept for each upstream.
    std::size_t maxIdlePerUpstream_ = 16;
    /// Below the idle limits of common servers, so that the upstream seldom closes first.
    Millis idleLimit_ {Seconds {4}};
};

/// @brief Takes the connection that was used last, if one is usable.
std::optional<Connection> takeConnection(ConnectionPool &pool, const std::string &address);

/// @brief Keeps a connection for later exchanges.
void returnConnection(ConnectionPool &pool, const std::string &address, PooledConnection pooled);

/// @brief Closes all kept connections to an upstream, because one of them failed.
void closeConnections(ConnectionPool &pool, const std::string &address);

} // namespace tamarack
