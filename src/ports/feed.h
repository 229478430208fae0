// The port for following store keys that the platform writes: list them once, then watch for
// changes. Values are text in the writer's format and aren't decoded here.
#pragma once

#include "core/ids.h"
#include "core/storeposition.h"
#include "core/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A write or a removal of a key.
struct FeedEntry
{
    StoreKey key_;
    /// Revision of the write or the removal.
    Revision revision_;
    /// Nothing if the key was removed.
    std::optional<std::string> value_;
};

enum class FeedStatus {
    Ok,
    /// The store has discarded the changes after the requested revision; the keys must be listed
    /// again.
    HistoryCompacted,
    /// The store didn't reply or refused the call.
    Unavailable,
};

struct FeedReply
{
    FeedStatus status_ = FeedStatus::Unavailable;
    /// Revision after which the next watch starts.
    Revision revision_;
    std::vector<FeedEntry> entries_;
    /// Description of the error for the log.
    std::string detail_;
    /// Era of the store that replied. Entries of a watch are of no use if it is not the era of the
    /// revision that the watch started from.
    StoreEra era_ {};
};

/// @brief Lists and watches store keys. The functions block and are safe to call from any thread.
struct FeedPort
{
    /// Lists all keys that start with a prefix. revision_ is the revision of the first page because
    /// the pages aren't read from one snapshot.
    std::function<FeedReply(const std::string &prefix)> list_;
    /// Watches a prefix for changes after a revision. The reply has no entries if there were none
    /// within the limit.
    std::function<FeedReply(const std::string &prefix, Revision after, Millis limit)> watch_;
    /// Cancels all watches. Later watches return Unavailable immediately.
    std::function<void()> cancel_;
};

} // namespace tamarack
