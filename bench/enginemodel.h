// Queue model of one upstream: a number of slots, first come first served, a prefix cache and
// faults.
#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace tamarack::bench {

/// Conversations whose prefix an engine keeps.
inline constexpr std::size_t maxCachedConversations = 32;
/// Part of a prompt that a conversation's prefix covers.
inline constexpr double cachedPromptShare = 0.75;

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

struct Engine
{
    std::size_t slots_ = 8;
    PreciseMicros promptToken_ {};
    PreciseMicros outputToken_ {};
    double slowdown_ = 1.0;
    bool alive_ = true;
    bool frozen_ = false;
    std::vector<Job> running_;
    std::deque<Job> waiting_;
    /// Oldest first.
    std::deque<std::uint64_t> cache_;
    std::vector<CacheEvent> unreported_;
    std::uint64_t lastCacheEvent_ = 0;
};

/// @brief Hash of a block of a conversation's prefix.
std::uint64_t prefixBlockHash(std::uint64_t conversation, std::uint64_t index);

/// @brief Time for the part of the prompt that is not cached.
PreciseMicros prefillTime(const Engine &engine, const Job &job);

/// @brief Starts waiting jobs while slots are free.
/// @return the jobs that were started
std::vector<Job> startJobs(Engine &engine, MonoTime now);

/// @brief Removes a job, running or waiting.
void removeJob(Engine &engine, std::size_t request);

/// @brief When each slot becomes free if the engine serves what it has, for the refusal check.
std::vector<MonoTime> slotFreeTimes(const Engine &engine, MonoTime now);

} // namespace tamarack::bench
