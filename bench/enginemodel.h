// Queueing model of an engine with a fixed number of slots, first-come, first-served order, faults
// and a prefix cache that evicts the least recently used conversation.
#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace tamarack::bench {

/// Capacity of an engine's prefix cache, in conversations.
inline constexpr std::size_t maxCachedConversations = 32;
/// Fraction of a prompt that needs no prefill if the conversation's prefix is cached.
inline constexpr double cachedPromptShare = 0.75;

/// @brief One attempt of a request on an engine.
struct Job
{
    std::size_t request_ = 0;
    std::uint32_t attempt_ = 0;
    double promptTokens_ = 0.0;
    double outputTokens_ = 0.0;
    std::uint64_t conversation_ = 0;
    MonoTime startedAt_ {};
    MonoTime firstTokenAt_ {};
    MonoTime endsAt_ {};
};

/// @brief State of one engine.
struct Engine
{
    std::size_t slots_ = 8;
    /// Prefill time per uncached prompt token.
    PreciseMicros promptToken_ {};
    /// Decode time per output token.
    PreciseMicros outputToken_ {};
    double slowdown_ = 1.0;
    bool alive_ = true;
    bool frozen_ = false;
    std::vector<Job> running_;
    std::deque<Job> waiting_;
    /// Cached conversations, least recently used first.
    std::deque<std::uint64_t> cache_;
    /// Cache events since the last poll.
    std::vector<CacheEvent> unreported_;
    std::uint64_t lastCacheEvent_ = 0;
};

/// @brief Returns the hash of one block of a conversation's prefix.
std::uint64_t prefixBlockHash(std::uint64_t conversation, std::uint64_t index);

/// @brief Returns the prefill time of the uncached part of a prompt.
PreciseMicros prefillTime(const Engine &engine, const Job &job);

/// @brief Starts waiting jobs while slots are free.
/// @return the jobs that were started
std::vector<Job> startJobs(Engine &engine, MonoTime now);

/// @brief Removes the running or waiting job of a request, if there is one.
void removeJob(Engine &engine, std::size_t requestIndex);

/// @brief Predicts when each slot becomes free after all running and waiting jobs.
std::vector<MonoTime> slotFreeTimes(const Engine &engine, MonoTime now);

} // namespace tamarack::bench
