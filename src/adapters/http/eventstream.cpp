// Parser and reorder buffer for server-sent events.
#include "adapters/http/eventstream.h"

#include <charconv>

namespace tamarack {

namespace {

/// If more than this many later events arrive before a missing one, it counts as lost.
constexpr std::size_t maxPendingEvents = 64;

std::optional<std::uint64_t> parseIndex(std::string_view text)
{
    std::uint64_t index = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, index);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return index;
}

/// Returns the value of a "name: value" line, or nothing if the line has another name.
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ':')
        return std::nullopt;
    std::string_view value = line.substr(name.size() + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

void processLine(EventParser &parser, std::vector<RawEvent> &events)
{
    std::string_view line = parser.line_;
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        if (parser.hasData_)
            events.push_back(std::move(parser.event_));
        parser.event_ = RawEvent {};
        parser.hasData_ = false;
    } else if (const auto data = fieldValue(line, "data")) {
        if (parser.hasData_)
            parser.event_.data_ += '\n';
        parser.event_.data_ += *data;
        parser.hasData_ = true;
    } else if (const auto id = fieldValue(line, "id")) {
        parser.event_.index_ = parseIndex(*id);
    }
    parser.line_.clear();
}

} // namespace

bool parseEvents(EventParser &parser, std::string_view bytes, std::vector<RawEvent> &events)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        parser.line_ += bytes.substr(0, end);
        if (parser.line_.size() + parser.event_.data_.size() > maxEventBytes)
            return false;
        if (end == std::string_view::npos)
            return true;
        processLine(parser, events);
        bytes.remove_prefix(end + 1);
    }
    return true;
}

bool insertInOrder(ReorderBuffer &buffer, RawEvent event, std::vector<std::string> &deliverable)
{
    const std::uint64_t index = event.index_.value_or(buffer.next_);
    if (index < buffer.next_)
        return true;
    if (index > buffer.next_) {
        buffer.pending_.emplace(index, std::move(event.data_));
        return buffer.pending_.size() <= maxPendingEvents;
    }
    deliverable.push_back(std::move(event.data_));
    ++buffer.next_;
    for (auto next = buffer.pending_.find(buffer.next_); next != buffer.pending_.end();
         next = buffer.pending_.find(buffer.next_)) {
        deliverable.push_back(std::move(next->second));
        buffer.pending_.erase(next);
        ++buffer.next_;
    }
    return true;
}

} // namespace tamarack
