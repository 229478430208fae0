// Log lines: one line of key=value pairs (logfmt) per event.
#pragma once

#include "core/command.h"
#include "core/time.h"

#include <string>

namespace tamarack {

/// @brief Formats an event as one line without a line feed.
///
/// Values with spaces, quotes or control characters are quoted and escaped, so that untrusted input
/// cannot inject fields or lines.
std::string formatLogLine(const LogEvent &event, WallTime at);

/// @brief Writes an event to standard error in one call.
void writeLogLine(const LogEvent &event);

} // namespace tamarack
