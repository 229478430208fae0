// Splits a stream of server-sent events into whole events. Internal to the front end.
// Source: WHATWG HTML standard, section 9.2.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief The bytes of a stream that do not form a whole event yet.
struct EventSplitter
{
    std::string partial_;
};

/// @brief A whole event with its bytes as they came.
struct CompleteEvent
{
    std::string bytes_;
    std::optional<std::string> id_;
};

/// @brief Appends bytes of the stream.
void feedEvents(EventSplitter &splitter, std::string_view bytes);

/// @brief Takes the next whole event, or nothing if it is not complete.
std::optional<CompleteEvent> takeEvent(EventSplitter &splitter);

} // namespace tamarack
