// Splits a stream of server-sent events into complete events.
#include "adapters/relayhttp/eventstream.h"

namespace tamarack {

namespace {

/// Returns the offset just past the blank line that terminates the first event, or npos.
std::size_t findEventEnd(std::string_view text)
{
    std::size_t line = 0;
    while (line < text.size()) {
        const std::size_t feed = text.find('\n', line);
        if (feed == std::string_view::npos)
            return feed;
        const std::size_t length = feed - line;
        const bool blank = length == 0 || (length == 1 && text[line] == '\r');
        if (blank)
            return feed + 1;
        line = feed + 1;
    }
    return std::string_view::npos;
}

std::optional<std::string> findEventId(std::string_view event)
{
    std::optional<std::string> id;
    std::size_t line = 0;
    while (line < event.size()) {
        const std::size_t feed = event.find('\n', line);
        std::string_view text = event.substr(line, feed - line);
        line = feed == std::string_view::npos ? event.size() : feed + 1;
        if (!text.starts_with("id:"))
            continue;
        text.remove_prefix(3);
        if (text.starts_with(' '))
            text.remove_prefix(1);
        if (text.ends_with('\r'))
            text.remove_suffix(1);
        id = std::string(text);
    }
    return id;
}

} // namespace

void feedEvents(EventSplitter &splitter, std::string_view bytes)
{
    splitter.partial_ += bytes;
}

std::optional<CompleteEvent> takeEvent(EventSplitter &splitter)
{
    const std::size_t end = findEventEnd(splitter.partial_);
    if (end == std::string::npos)
        return std::nullopt;
    CompleteEvent event;
    event.bytes_ = splitter.partial_.substr(0, end);
    event.id_ = findEventId(event.bytes_);
    splitter.partial_.erase(0, end);
    return event;
}

} // namespace tamarack
