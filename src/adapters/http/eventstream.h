// Parser and reorder buffer for server-sent events. Internal to the HTTP adapter.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// @brief One event as received.
struct RawEvent
{
    std::string data_;
    /// Index of the event in its stream, from a numeric "id" field.
    std::optional<std::uint64_t> index_;
};

/// @brief Parser state that is kept between parts of a body.
struct EventParser
{
    std::string line_;
    RawEvent event_;
    bool hasData_ = false;
};

/// Maximum size of an event.
inline constexpr std::size_t maxEventBytes = 1U << 20U;

/// @brief Parses a part of a body. An event is complete when the blank line that terminates it has
/// been received.
/// @param events receives the events that were completed by this part
/// @return false if an event is larger than maxEventBytes
bool parseEvents(EventParser &parser, std::string_view bytes, std::vector<RawEvent> &events);

/// @brief Restores the order of events by their index.
///
/// Invariant: all indexes in pending_ are greater than next_.
struct ReorderBuffer
{
    /// Index of the next event to deliver.
    std::uint64_t next_ = 0;
    /// Events that arrived before one of their predecessors.
    std::map<std::uint64_t, std::string> pending_;
};

/// @brief Inserts an event; duplicates are dropped. An event without an index counts as the next
/// one.
/// @param deliverable receives the events that can be delivered now, in order
/// @return false if too many events are pending, which means that the missing one was lost
bool insertInOrder(ReorderBuffer &buffer, RawEvent event, std::vector<std::string> &deliverable);

} // namespace tamarack
