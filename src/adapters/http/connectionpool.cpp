// Pool of idle connections to upstreams.
#include "adapters/http/connectionpool.h"

#include <algorithm>
#include <vector>

namespace tamarack {

namespace {

std::optional<PooledConnection> popMostRecent(ConnectionPool &pool, const std::string &address)
{
    const std::lock_guard lock(pool.mutex_);
    const auto entry = pool.idle_.find(address);
    if (entry == pool.idle_.end() || entry->second.empty())
        return std::nullopt;
    std::optional<PooledConnection> pooled = std::move(entry->second.back());
    entry->second.pop_back();
    return pooled;
}

/// Reads the rest of the last body without blocking, then checks that the connection is not
/// readable. Extra bytes would belong to no request; a closed connection is readable as well.
bool isUsable(PooledConnection &pooled)
{
    const ReadLimits noWait;
    std::string bytes;
    while (!pooled.body_.complete_) {
        if (readBodyBytes(pooled.connection_, noWait, pooled.body_, bytes) != IoStatus::Ok)
            return false;
    }
    return availableBytes(pooled.connection_) == 0
        && receiveMore(pooled.connection_, noWait) == IoStatus::IdleTimeout;
}

/// Moves connections that were idle too long, of all upstreams, to @a closed.
void removeExpired(ConnectionPool &pool, MonoTime now, std::vector<PooledConnection> &closed)
{
    for (auto entry = pool.idle_.begin(); entry != pool.idle_.end();) {
        std::deque<PooledConnection> &pooled = entry->second;
        while (!pooled.empty() && pooled.front().idleSince_ + pool.idleTimeout_ <= now) {
            closed.push_back(std::move(pooled.front()));
            pooled.pop_front();
        }
        entry = pooled.empty() ? pool.idle_.erase(entry) : std::next(entry);
    }
}

} // namespace

std::optional<Connection> takeConnection(ConnectionPool &pool, const std::string &address)
{
    while (std::optional<PooledConnection> pooled = popMostRecent(pool, address)) {
        const MonoTime now = std::chrono::steady_clock::now();
        if (pooled->idleSince_ + pool.idleTimeout_ > now && isUsable(*pooled)) {
            pooled->connection_.reused_ = true;
            return std::move(pooled->connection_);
        }
    }
    return std::nullopt;
}

void returnConnection(ConnectionPool &pool, const std::string &address, PooledConnection pooled)
{
    // Declared before the lock, so that sockets are closed after it is released.
    std::vector<PooledConnection> closed;
    const std::lock_guard lock(pool.mutex_);
    removeExpired(pool, pooled.idleSince_, closed);
    std::deque<PooledConnection> &list = pool.idle_[address];
    list.push_back(std::move(pooled));
    if (list.size() > pool.maxIdlePerUpstream_) {
        closed.push_back(std::move(list.front()));
        list.pop_front();
    }
}

void closeConnections(ConnectionPool &pool, const std::string &address)
{
    std::deque<PooledConnection> closed;
    const std::lock_guard lock(pool.mutex_);
    const auto entry = pool.idle_.find(address);
    if (entry != pool.idle_.end())
        closed.swap(entry->second);
}

} // namespace tamarack
