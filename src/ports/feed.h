// The port to keys of the store that others write: they are listed once and followed by watches.
// Values are text in the writer's format, which the composition decodes.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A key as it was written, or its removal.
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
    /// The store has dropped the changes after the revision asked for; the keys must be listed.
    HistoryCompacted,
    /// No answer, or a refusal.
    Unavailable,
};

struct FeedReply
{
    FeedStatus status_ = FeedStatus::Unavailable;
    /// Where the next wait goes on.
    Revision revision_;
    std::vector<FeedEntry> entries_;
    /// What failed, for the log.
    std::string detail_;
};

/// @brief The functions block and are safe to call from any thread.
struct FeedPort
{
    /// Lists all keys that start with a prefix. revision_ is the revision of the first page,
    /// because pages are not one snapshot.
    std::function<FeedReply(const std::string &prefix)> list_;
    /// Waits for changes after a revision; an empty reply if there were none within the limit.
    std::function<FeedReply(const std::string &prefix, Revision after, Millis limit)> wait_;
    /// Ends all waits; those that follow are Unavailable at once.
    std::function<void()> cancel_;
};

} // namespace tamarack
