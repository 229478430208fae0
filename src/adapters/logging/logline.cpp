// Formatting of log lines.
#include "adapters/logging/logline.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

namespace tamarack {

namespace {

bool isUnquotedChar(char c)
{
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
}

void appendValue(std::string &line, const std::string &value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), isUnquotedChar)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
            line += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        else
            line += c;
    }
    line += '"';
}

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    case LogLevel::Info:
        break;
    }
    return "info";
}

} // namespace

std::string formatLogLine(const LogEvent &event, WallTime at)
{
    const auto millis = std::chrono::duration_cast<Millis>(at.time_since_epoch()) % Seconds {1};
    std::string line = fmt::format("time={:%FT%T}.{:03}Z level={} event={}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(at)),
                                   millis.count(), levelName(event.level_), event.name_);
    for (const LogField &field : event.fields_) {
        line += ' ';
        line += field.key_;
        line += '=';
        appendValue(line, field.value_);
    }
    return line;
}

void writeLogLine(const LogEvent &event)
{
    fmt::print(stderr, "{}\n", formatLogLine(event, std::chrono::system_clock::now()));
}

} // namespace tamarack
