// Pool of idle connections to upstreams. Internal to the HTTP adapter.
#pragma once

#include "adapters/httpclient/httpclient.h"

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace tamarack {

/// @brief An idle connection whose last response was received completely.
struct PooledConnection
{
    Connection connection_;
    /// The terminator event of a stream arrives before the end of its HTTP body; the rest of the
    /// body is read before reuse.
    BodyProgress body_;
    MonoTime idleSince_;
};

/// @brief Idle connections by address. All functions are thread-safe.
struct ConnectionPool
{
    std::mutex mutex_;
    std::map<std::string, std::deque<PooledConnection>> idle_;
    /// Maximum number of idle connections per upstream.
    std::size_t maxIdlePerUpstream_ = 16;
    /// Shorter than the keep-alive timeouts of common servers, so that the upstream rarely closes
    /// first.
    Millis idleTimeout_ {Seconds {4}};
};

/// @brief Takes the most recently used usable connection to an upstream.
/// @return nothing if there is none
std::optional<Connection> takeConnection(ConnectionPool &pool, const std::string &address);

/// @brief Returns a connection to the pool. Closes expired connections, and the oldest one if the
/// upstream has too many.
void returnConnection(ConnectionPool &pool, const std::string &address, PooledConnection pooled);

/// @brief Closes all idle connections to an upstream. Called after one of them failed.
void closeConnections(ConnectionPool &pool, const std::string &address);

} // namespace tamarack
