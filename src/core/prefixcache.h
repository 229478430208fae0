// Index of the prompt prefixes in the prefix caches of engines. Its memory is bounded; the oldest
// entries are evicted first.
#pragma once

#include "core/time.h"
#include "core/upstreamreports.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// Index of an upstream in RoutingState::upstreams_.
using UpstreamIndex = NumericId<struct UpstreamSlotTag>;

/// @brief Limits of the cache index.
struct CacheIndexSettings
{
    std::size_t maxEntries_ = 131'072;
    /// A further holder of a block replaces the oldest one.
    std::size_t maxHoldersPerBlock_ = 16;
    /// Blocks of a prompt that are looked up.
    std::size_t maxBlocksPerPrompt_ = 64;
    /// Half-life of an entry's weight, because engines report evictions late or never.
    Millis halfLife_ {Seconds {120}};
    /// Weight factor of entries from before a gap in the events.
    double weightAfterGap_ = 0.5;
};

/// @brief An engine that holds a block.
struct BlockHolder
{
    UpstreamIndex upstream_;
    /// Value of CacheSource::epoch_ when the block was stored; entries of earlier epochs are
    /// invalid.
    std::uint32_t epoch_ = 0;
    MonoTime storedAt_ {};
};

/// @brief State of the event sequence of one engine.
struct CacheSource
{
    std::uint64_t lastEvent_ = 0;
    std::uint32_t epoch_ = 0;
    MonoTime lastGapAt_ {};
    bool hadGap_ = false;
    std::uint64_t gaps_ = 0;
};

/// @brief The prefix cache index.
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
    /// From 0 to 1, discounted for age and gaps.
    double share_ = 0.0;
};

/// @brief Applies events in sequence order and ignores duplicates.
void applyCacheEvents(CacheIndex &index, UpstreamIndex upstream, const CacheEventBatch &batch,
                      MonoTime now);

/// @brief Records that an engine has just computed a prompt.
void recordCachedPrefix(CacheIndex &index, UpstreamIndex upstream,
                        const std::vector<std::uint64_t> &blocks, MonoTime now);

/// @brief Invalidates all entries of an engine, for example after its restart.
void invalidateCache(CacheIndex &index, UpstreamIndex upstream);

/// @brief Returns the engines that hold a prefix of @a blocks.
/// @note O(blocks looked up * holders per block), both bounded by the settings
std::vector<CacheMatch> matchPrefix(const CacheIndex &index,
                                    const std::vector<std::uint64_t> &blocks, MonoTime now);

} // namespace tamarack
