// Load on a chat-completions address: what to send and what came back.
#pragma once

#include "ports/exchange.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::load {

/// @brief What load to make.
struct LoadPlan
{
    std::string address_;
    std::vector<std::string> keys_;
    std::string model_ = "small";
    bool stream_ = false;
    std::size_t promptBytes_ = 200;
    std::int64_t maxTokens_ = 16;
    /// Requests at a time; in an open loop the largest number.
    std::uint32_t concurrency_ = 8;
    /// Arrivals per second of an open loop; 0 for a closed loop.
    double rate_ = 0.0;
    /// Requests to send; 0 for no limit.
    std::uint64_t count_ = 0;
    Millis duration_ {Seconds {10}};
    std::uint64_t seed_ = 1;
    Millis silenceLimit_ {Seconds {30}};
};

/// @brief One finished request.
struct Sample
{
    /// "ok", "truncated" or the code of the error.
    std::string outcome_;
    /// From the planned arrival, so that waiting for a free connection counts.
    Micros firstByte_ {};
    Micros total_ {};
    /// Events of a stream, or the reported usage of a plain answer.
    std::uint64_t tokens_ = 0;
};

/// @brief Everything that came back.
struct LoadResult
{
    std::vector<Sample> samples_;
    Micros elapsed_ {};
};

/// @brief Makes the load; blocks until the last answer.
LoadResult runLoad(const LoadPlan &plan);

} // namespace tamarack::load
