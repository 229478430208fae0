// The newest known version of each document of the store.
#include "relayd/documentcache.h"

#include <algorithm>

namespace tamarack {

bool storeIfNewer(DocumentCache &cache, const PeerDocument &document)
{
    const std::lock_guard lock(cache.mutex_);
    const auto [known, inserted] = cache.documents_.try_emplace(document.key_, document);
    if (inserted)
        return true;
    if (known->second.position_ >= document.position_)
        return false;
    known->second = document;
    return true;
}

bool recordConfigVersion(DocumentCache &cache, const PeerDocument &document, ConfigVersion version)
{
    const std::lock_guard lock(cache.mutex_);
    if (version >= cache.newestConfigVersion_) {
        cache.newestConfigVersion_ = version;
        cache.newestConfig_ = document.value_;
        return true;
    }
    const auto cached = cache.documents_.find(document.key_);
    if (cached != cache.documents_.end() && cached->second.position_ == document.position_) {
        cached->second.value_ = cache.newestConfig_;
        cached->second.compressed_.clear();
    }
    return false;
}

void markUnlistedRemoved(DocumentCache &cache, const std::string &prefix,
                         const std::set<StoreKey> &listed, StorePosition position)
{
    const std::lock_guard lock(cache.mutex_);
    for (auto &[key, document] : cache.documents_) {
        const bool removed = key.value_.starts_with(prefix) && !listed.contains(key)
            && document.value_ && document.position_ <= position;
        if (removed)
            document = PeerDocument {key, position, std::nullopt};
    }
}

void markUnlistedUnconfirmed(DocumentCache &cache, const std::string &prefix,
                             const std::set<StoreKey> &listed, StorePosition position,
                             MonoTime until)
{
    std::set<StoreKey> kept = listed;
    {
        const std::lock_guard lock(cache.mutex_);
        for (const auto &[key, document] : cache.documents_) {
            const bool fromEarlierEra = key.value_.starts_with(prefix) && document.value_
                && document.position_.era_ < position.era_;
            if (!fromEarlierEra)
                continue;
            kept.insert(key);
            const auto known = cache.unconfirmed_.find(key);
            if (known == cache.unconfirmed_.end() || known->second.position_.era_ < position.era_)
                cache.unconfirmed_[key] = UnconfirmedDocument {position, until};
        }
    }
    markUnlistedRemoved(cache, prefix, kept, position);
}

void removeUnconfirmed(DocumentCache &cache, MonoTime now)
{
    for (auto entry = cache.unconfirmed_.begin(); entry != cache.unconfirmed_.end();) {
        const auto &[key, unconfirmed] = *entry;
        PeerDocument &document = cache.documents_.at(key);
        const bool confirmed = document.position_.era_ >= unconfirmed.position_.era_;
        if (!confirmed && unconfirmed.until_ > now) {
            ++entry;
            continue;
        }
        if (!confirmed)
            document = PeerDocument {key, unconfirmed.position_, std::nullopt};
        entry = cache.unconfirmed_.erase(entry);
    }
}

std::optional<Millis> contactAge(const DocumentCache &cache, Millis maxAge, MonoTime now)
{
    std::optional<Millis> newest;
    for (const auto &[name, feed] : cache.feeds_) {
        if (!feed.contactAt_)
            return std::nullopt;
        const auto age = std::chrono::duration_cast<Millis>(now - *feed.contactAt_);
        if (age > maxAge)
            return std::nullopt;
        newest = std::min(newest.value_or(age), age);
    }
    return newest;
}

} // namespace tamarack
