// Index of prompt prefixes that engines hold in their caches. Memory is bounded; the oldest entries
// are dropped first.
#pragma once

#include "core/time.h"
#include "core/upstreamreports.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// Position of an upstream in RoutingState::upstreams_.
using UpstreamIndex = NumericId<struct UpstreamSlotTag>;

/// @brief Limits of the cache index.
struct CacheIndexSettings
{
    std::size_t maxEntries_ = 131'072;
    /// Later holders of a block replace the oldest one.
    std::size_t maxHoldersPerBlock_ = 16;
    /// Blocks of a prompt that are looked up.
    std::size_t maxBlocksPerPrompt_ = 64;
    /// The weight of an entry halves in this time, because evictions are reported late or never.
    Millis halfLife_ {Seconds {120}};
    /// Weight of what was known before a gap in the events.
    double weightAfterGap_ = 0.5;
};

/// @brief An engine that stored a block.
struct BlockHolder
{
    UpstreamIndex upstream_;
    /// CacheSource::epoch_ at the time of storing; an older epoch is void.
    std::uint32_t epoch_ = 0;
    MonoTime storedAt_ {};
};

/// @brief What is known about the events of one engine.
struct CacheSource
{
    std::uint64_t lastEvent_ = 0;
    std::uint32_t epoch_ = 0;
    MonoTime lastGapAt_ {};
    bool hadGap_ = false;
    std::uint64_t gaps_ = 0;
};

/// @brief The index.
///
/// Invariant: each holder in blocks_ has an element in order_, oldest first; the size of order_ is
/// at most maxEntries_.
struct CacheIndex
{
    struct Entry
    {
        std::uint64_t block_ = 0;
        UpstreamIndex upstream_;
    };

    CacheIndexSettings settings_;
    std::unordered_map<std::uint64_t, std::vector<BlockHolder>> blocks_;
    std::deque<Entry> order_;
    std::unordered_map<UpstreamIndex, CacheSource> sources_;
};

/// @brief The part of a prompt that an engine probably has in its cache.
struct CacheMatch
{
    UpstreamIndex upstream_;
    /// 0 to 1, discounted by age and gaps.
    double share_ = 0.0;
};

/// @brief Applies events in the order of their numbers; repeated events are ignored.
void applyCacheEvents(CacheIndex &index, UpstreamIndex upstream, const CacheEventBatch &batch,
                      MonoTime now);

/// @brief Records that an engine has just computed a prompt.
void recordCachedPrefix(CacheIndex &index, UpstreamIndex upstream,
                        const std::vector<std::uint64_t> &blocks, MonoTime now);

/// @brief Forgets everything about the cache of an engine, for example after its restart.
void forgetCache(CacheIndex &index, UpstreamIndex upstream);

/// @brief Returns the engines that hold a prefix of @a blocks.
/// @note O(blocks looked up * holders per block), both bounded by settings
std::vector<CacheMatch> matchCache(const CacheIndex &index,
                                   const std::vector<std::uint64_t> &blocks, MonoTime now);

} // namespace tamarack
