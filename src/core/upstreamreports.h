// What upstreams report about themselves. Reports lag, have gaps and may be wrong, so routing
// corrects them by its own observations.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <vector>

namespace tamarack {

/// @brief A model that an engine holds in memory.
struct LoadedModel
{
    ModelId model_;
    ModelVersionId version_;
    std::vector<AdapterId> adapters_;
};

/// @brief An engine's answer to GET /load.
struct LoadReport
{
    UpstreamId upstream_;
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    /// Requests that the engine runs at once; 0 if it does not say.
    std::uint32_t slots_ = 0;
    double tokensPerSecond_ = 0.0;
    std::vector<LoadedModel> models_;
    /// False if the answer had no list of models; models_ is empty then.
    bool modelsKnown_ = false;
    /// When the report was asked for; the state it shows is not older.
    MonoTime requestedAt_ {};
};

/// @brief An upstream's answer to GET /health.
enum class UpstreamHealth {
    Live,
    Leaving,
    Unreachable,
};

enum class CacheEventKind {
    Stored,
    Removed,
    Cleared,
};

/// @brief One change of an engine's prefix cache.
struct CacheEvent
{
    /// Position in the engine's sequence, without gaps at the engine.
    std::uint64_t number_ = 0;
    CacheEventKind kind_ = CacheEventKind::Stored;
    /// Hash of the prompt from its start to the end of this block.
    std::uint64_t block_ = 0;
};

/// @brief An engine's answer to GET /cache-events?after=N.
struct CacheEventBatch
{
    UpstreamId upstream_;
    std::vector<CacheEvent> events_;
};

} // namespace tamarack
