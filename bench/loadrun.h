// Load generator for a chat-completions endpoint: parameters and results.
#pragma once

#include "ports/exchange.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::load {

/// @brief Parameters of the load.
struct LoadPlan
{
    std::string address_;
    std::vector<std::string> keys_;
    std::string model_ = "small";
    bool stream_ = false;
    std::size_t promptBytes_ = 200;
    std::int64_t maxTokens_ = 16;
    /// Number of concurrent requests; the maximum in an open loop.
    std::uint32_t concurrency_ = 8;
    /// Arrivals per second of an open loop; 0 for a closed loop.
    double rate_ = 0.0;
    /// Number of requests to send; 0 to stop after the duration.
    std::uint64_t count_ = 0;
    Millis duration_ {Seconds {10}};
    std::uint64_t seed_ = 1;
    Millis silenceLimit_ {Seconds {30}};
};

/// @brief Result of one request.
struct Sample
{
    /// "ok", "truncated" or an error code.
    std::string outcome_;
    /// Measured from the planned arrival, so that time spent waiting for a free worker counts.
    Micros timeToFirstByte_ {};
    Micros total_ {};
    /// Events of a stream, or the reported usage of an unstreamed response.
    std::uint64_t tokens_ = 0;
};

/// @brief Results of all requests.
struct LoadResult
{
    std::vector<Sample> samples_;
    Micros elapsed_ {};
};

/// @brief Sends the load; blocks until the last response.
LoadResult runLoad(const LoadPlan &plan);

} // namespace tamarack::load
