// Splits a stream of server-sent events into complete events. Internal to the front end.
// Source: WHATWG HTML standard, section 9.2.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief Received bytes of a stream that do not form a complete event yet.
struct EventSplitter
{
    std::string partial_;
};

/// @brief A complete event; its bytes are kept exactly as received.
struct CompleteEvent
{
    std::string bytes_;
    std::optional<std::string> id_;
};

/// @brief Appends received bytes to the splitter's buffer.
void feedEvents(EventSplitter &splitter, std::string_view bytes);

/// @brief Removes the next complete event from the buffer.
/// @return nothing if the buffer holds no complete event
std::optional<CompleteEvent> takeEvent(EventSplitter &splitter);

} // namespace tamarack
