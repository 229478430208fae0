// Server-sent events: parsing, and order by index. Internal to the HTTP adapter.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// @brief One event as it was received.
struct RawEvent
{
    std::string data_;
    /// Position in the whole stream, from a numeric "id:" line.
    std::optional<std::uint64_t> index_;
};

/// @brief State of the parser between pieces of a body.
struct EventParser
{
    std::string line_;
    RawEvent event_;
    bool hasData_ = false;
};

/// Largest accepted event in bytes.
inline constexpr std::size_t maxEventBytes = 1U << 20U;

/// @brief Parses a piece of the body. An event counts only with the blank line that ends it.
/// @param events receives the events that ended in this piece
/// @return false if an event is larger than maxEventBytes
bool parseEvents(EventParser &parser, std::string_view bytes, std::vector<RawEvent> &events);

/// @brief Order of a stream whose events carry indexes.
///
/// Invariant: all indexes in pending_ are greater than next_.
struct ReorderBuffer
{
    /// Index of the next event to deliver.
    std::uint64_t next_ = 0;
    /// Events that arrived before their predecessors.
    std::map<std::uint64_t, std::string> pending_;
};

/// @brief Takes one event.
/// @param deliverable receives what can be delivered now, in order; duplicates are dropped
/// @return false if too many events are held back, so that the gap will not be filled
bool insertInOrder(ReorderBuffer &order, RawEvent event, std::vector<std::string> &deliverable);

} // namespace tamarack
