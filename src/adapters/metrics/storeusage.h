// Counts the calls to the store by purpose and outcome. Calls are charged, including refused ones,
// so operators need to see what they are made for.
#pragma once

#include "ports/feed.h"
#include "ports/ports.h"

#include "core/command.h"

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace tamarack {

/// @brief What a store call is made for.
enum class StorePurpose {
    ListFeed,
    WatchFeed,
    ReadLedger,
    WriteLedger,
    RenewLease,
    WriteRegistration,
    ReadMembers,
};

/// @brief Counters of the calls that succeeded and failed, by purpose. Thread-safe.
struct StoreUsage
{
    static constexpr std::size_t purposes = 7;
    std::array<prometheus::Counter *, purposes> succeeded_ {};
    std::array<prometheus::Counter *, purposes> failed_ {};
};

/// @brief Creates the counters in @a registry, which must outlive them.
StoreUsage makeStoreUsage(prometheus::Registry &registry);

/// @brief Returns a port that counts the calls of @a store.
StorePort countStoreCalls(const StorePort &store, const StoreUsage &usage);

/// @brief Returns a port that counts the calls of @a feed.
FeedPort countFeedCalls(const FeedPort &feed, const StoreUsage &usage);

/// @brief Returns the counts as fields of a log line, "succeeded/failed" by purpose.
std::vector<LogField> usageFields(const StoreUsage &usage);

} // namespace tamarack
