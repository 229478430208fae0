// Kept connections to upstreams.
#include "adapters/http/connectionpool.h"

#include <algorithm>
#include <vector>

namespace tamarack {

namespace {

std::optional<KeptConnection> popNewest(ConnectionPool &pool, const std::string &address)
{
    const std::lock_guard lock(pool.mutex_);
    const auto entry = pool.kept_.find(address);
    if (entry == pool.kept_.end() || entry->second.empty())
        return std::nullopt;
    std::optional<KeptConnection> kept = std::move(entry->second.back());
    entry->second.pop_back();
    return kept;
}

/// Reads the rest of the last body without waiting, then checks that nothing else has arrived:
/// bytes would belong to no request, and an end of the connection makes it readable too.
bool isUsable(KeptConnection &kept)
{
    const WaitLimits noWait;
    std::string piece;
    while (!kept.body_.ended_) {
        if (readPiece(kept.connection_, noWait, kept.body_, piece) != Receipt::Data)
            return false;
    }
    return available(kept.connection_) == 0
        && receiveMore(kept.connection_, noWait) == Receipt::Silent;
}

/// Removes connections that were idle too long, of all upstreams.
void removeIdle(ConnectionPool &pool, MonoTime now, std::vector<KeptConnection> &closed)
{
    for (auto entry = pool.kept_.begin(); entry != pool.kept_.end();) {
        std::deque<KeptConnection> &kept = entry->second;
        while (!kept.empty() && kept.front().idleSince_ + pool.idleLimit_ <= now) {
            closed.push_back(std::move(kept.front()));
            kept.pop_front();
        }
        entry = kept.empty() ? pool.kept_.erase(entry) : std::next(entry);
    }
}

} // namespace

std::optional<Connection> takeKept(ConnectionPool &pool, const std::string &address)
{
    while (std::optional<KeptConnection> kept = popNewest(pool, address)) {
        const MonoTime now = std::chrono::steady_clock::now();
        if (kept->idleSince_ + pool.idleLimit_ > now && isUsable(*kept)) {
            kept->connection_.kept_ = true;
            return std::move(kept->connection_);
        }
    }
    return std::nullopt;
}

void keep(ConnectionPool &pool, const std::string &address, KeptConnection kept)
{
    // Sockets are closed after the lock is released.
    std::vector<KeptConnection> closed;
    const std::lock_guard lock(pool.mutex_);
    removeIdle(pool, kept.idleSince_, closed);
    std::deque<KeptConnection> &list = pool.kept_[address];
    list.push_back(std::move(kept));
    if (list.size() > pool.maxKept_) {
        closed.push_back(std::move(list.front()));
        list.pop_front();
    }
}

void dropKept(ConnectionPool &pool, const std::string &address)
{
    std::deque<KeptConnection> closed;
    const std::lock_guard lock(pool.mutex_);
    const auto entry = pool.kept_.find(address);
    if (entry != pool.kept_.end())
        closed.swap(entry->second);
}

} // namespace tamarack
