// Queueing model of an engine with a prefix cache that evicts the least recently used conversation.
#include "enginemodel.h"

#include <algorithm>

namespace tamarack::bench {

namespace {

constexpr std::uint64_t blocksPerConversation = 3;

MonoTime addDuration(MonoTime time, PreciseMicros duration)
{
    return time + std::chrono::duration_cast<MonoTime::duration>(duration);
}

/// Marks a conversation as most recently used. Inserts it if needed and evicts the least recently
/// used one from a full cache. Appends the resulting cache events to the next report.
void touchCache(Engine &engine, std::uint64_t conversation)
{
    const auto it = std::find(engine.cache_.begin(), engine.cache_.end(), conversation);
    if (it != engine.cache_.end()) {
        engine.cache_.erase(it);
        engine.cache_.push_back(conversation);
        return;
    }
    engine.cache_.push_back(conversation);
    const auto report = [&engine](CacheEventKind kind, std::uint64_t cachedConversation) {
        for (std::uint64_t i = 0; i < blocksPerConversation; ++i)
            engine.unreported_.push_back(CacheEvent {++engine.lastCacheEvent_, kind,
                                                     prefixBlockHash(cachedConversation, i)});
    };
    report(CacheEventKind::Stored, conversation);
    if (engine.cache_.size() <= maxCachedConversations)
        return;
    report(CacheEventKind::Removed, engine.cache_.front());
    engine.cache_.pop_front();
}

PreciseMicros outputTime(const Engine &engine, const Job &job)
{
    return engine.outputToken_ * (job.outputTokens_ * engine.slowdown_);
}

} // namespace

std::uint64_t prefixBlockHash(std::uint64_t conversation, std::uint64_t index)
{
    return conversation * blocksPerConversation + index + 1;
}

PreciseMicros prefillTime(const Engine &engine, const Job &job)
{
    const bool cached = std::find(engine.cache_.begin(), engine.cache_.end(), job.conversation_)
        != engine.cache_.end();
    const double share = cached ? 1.0 - cachedPromptShare : 1.0;
    return engine.promptToken_ * (job.promptTokens_ * share * engine.slowdown_);
}

std::vector<Job> startJobs(Engine &engine, MonoTime now)
{
    std::vector<Job> started;
    while (engine.alive_ && !engine.frozen_ && !engine.waiting_.empty()
           && engine.running_.size() < engine.slots_) {
        Job job = engine.waiting_.front();
        engine.waiting_.pop_front();
        job.startedAt_ = now;
        job.firstTokenAt_ = addDuration(now, prefillTime(engine, job));
        job.endsAt_ = addDuration(job.firstTokenAt_, outputTime(engine, job));
        touchCache(engine, job.conversation_);
        engine.running_.push_back(job);
        started.push_back(job);
    }
    return started;
}

void removeJob(Engine &engine, std::size_t requestIndex)
{
    const auto matchesRequest = [requestIndex](const Job &job) {
        return job.request_ == requestIndex;
    };
    std::erase_if(engine.running_, matchesRequest);
    std::erase_if(engine.waiting_, matchesRequest);
}

std::vector<MonoTime> slotFreeTimes(const Engine &engine, MonoTime now)
{
    std::vector<MonoTime> times(engine.slots_, now);
    for (std::size_t i = 0; i < engine.running_.size() && i < times.size(); ++i)
        times[i] = std::max(engine.running_[i].endsAt_, now);
    for (const Job &job : engine.waiting_) {
        const auto earliest = std::min_element(times.begin(), times.end());
        *earliest = addDuration(*earliest, prefillTime(engine, job) + outputTime(engine, job));
    }
    return times;
}

} // namespace tamarack::bench
