// Index of prompt prefixes in the caches of engines.
#include "core/prefixcache.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

void dropHolder(CacheIndex &index, std::uint64_t block, UpstreamIndex upstream)
{
    const auto it = index.blocks_.find(block);
    if (it == index.blocks_.end())
        return;
    std::erase_if(it->second,
                  [&](const BlockHolder &holder) { return holder.upstream_ == upstream; });
    if (it->second.empty())
        index.blocks_.erase(it);
}

void addHolder(CacheIndex &index, std::uint64_t block, UpstreamIndex upstream, MonoTime now)
{
    const std::uint32_t epoch = index.sources_[upstream].epoch_;
    std::vector<BlockHolder> &holders = index.blocks_[block];
    const auto known = std::find_if(holders.begin(), holders.end(), [&](const BlockHolder &holder) {
        return holder.upstream_ == upstream;
    });
    if (known != holders.end()) {
        *known = BlockHolder {upstream, epoch, now};
        return;
    }
    if (holders.size() >= index.settings_.maxHoldersPerBlock_)
        holders.erase(holders.begin());
    holders.push_back(BlockHolder {upstream, epoch, now});
    index.order_.push_back(CacheIndex::Entry {block, upstream});
    while (index.order_.size() > index.settings_.maxEntries_) {
        const CacheIndex::Entry oldest = index.order_.front();
        index.order_.pop_front();
        dropHolder(index, oldest.block_, oldest.upstream_);
    }
}

void noteGap(CacheSource &source, MonoTime now)
{
    source.hadGap_ = true;
    source.lastGapAt_ = now;
    ++source.gaps_;
}

double weightOf(const CacheIndex &index, const BlockHolder &holder, const CacheSource &source,
                MonoTime now)
{
    const PreciseMicros age = now - holder.storedAt_;
    const double halves = age / PreciseMicros {index.settings_.halfLife_};
    const double weight = std::exp2(-std::max(halves, 0.0));
    const bool beforeGap = source.hadGap_ && holder.storedAt_ <= source.lastGapAt_;
    return beforeGap ? weight * index.settings_.weightAfterGap_ : weight;
}

/// An engine whose prefix is matched without interruption up to the current block.
struct Run
{
    UpstreamIndex upstream_;
    std::size_t blocks_ = 0;
    double weight_ = 0.0;
};

void extendRuns(const CacheIndex &index, const std::vector<BlockHolder> &holders,
                std::size_t position, MonoTime now, std::vector<Run> &runs)
{
    for (const BlockHolder &holder : holders) {
        const CacheSource &source = index.sources_.at(holder.upstream_);
        if (holder.epoch_ != source.epoch_)
            continue;
        auto run = std::find_if(runs.begin(), runs.end(), [&](const Run &candidate) {
            return candidate.upstream_ == holder.upstream_;
        });
        if (run == runs.end()) {
            if (position > 0)
                continue;
            run = runs.insert(runs.end(), Run {holder.upstream_, 0, 0.0});
        }
        if (run->blocks_ != position)
            continue;
        ++run->blocks_;
        run->weight_ += weightOf(index, holder, source, now);
    }
}

} // namespace

void applyCacheEvents(CacheIndex &index, UpstreamIndex upstream, const CacheEventBatch &batch,
                      MonoTime now)
{
    for (const CacheEvent &event : batch.events_) {
        CacheSource &source = index.sources_[upstream];
        if (event.number_ <= source.lastEvent_ && event.kind_ != CacheEventKind::Cleared)
            continue;
        if (event.kind_ == CacheEventKind::Cleared) {
            forgetCache(index, upstream);
            index.sources_[upstream].lastEvent_ = event.number_;
            continue;
        }
        if (source.lastEvent_ != 0 && event.number_ != source.lastEvent_ + 1)
            noteGap(source, now);
        source.lastEvent_ = event.number_;
        if (event.kind_ == CacheEventKind::Stored)
            addHolder(index, event.block_, upstream, now);
        else
            dropHolder(index, event.block_, upstream);
    }
}

void recordCachedPrefix(CacheIndex &index, UpstreamIndex upstream,
                        const std::vector<std::uint64_t> &blocks, MonoTime now)
{
    const std::size_t count = std::min(blocks.size(), index.settings_.maxBlocksPerPrompt_);
    for (std::size_t i = 0; i < count; ++i)
        addHolder(index, blocks[i], upstream, now);
}

void forgetCache(CacheIndex &index, UpstreamIndex upstream)
{
    CacheSource &source = index.sources_[upstream];
    ++source.epoch_;
    source.hadGap_ = false;
    source.lastEvent_ = 0;
}

std::vector<CacheMatch> matchCache(const CacheIndex &index,
                                   const std::vector<std::uint64_t> &blocks, MonoTime now)
{
    std::vector<Run> runs;
    const std::size_t count = std::min(blocks.size(), index.settings_.maxBlocksPerPrompt_);
    for (std::size_t i = 0; i < count; ++i) {
        const auto holders = index.blocks_.find(blocks[i]);
        if (holders == index.blocks_.end())
            break;
        extendRuns(index, holders->second, i, now, runs);
    }
    std::vector<CacheMatch> matches;
    matches.reserve(runs.size());
    for (const Run &run : runs)
        matches.push_back(
            CacheMatch {run.upstream_, run.weight_ / static_cast<double>(blocks.size())});
    return matches;
}

} // namespace tamarack
