// A log that never holds up its writers: lines wait in a bounded queue for one thread that writes
// them to standard output.
#pragma once

#include "core/command.h"
#include "core/time.h"
#include "ports/ports.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace tamarack {

struct LogSinkSettings
{
    /// Lines that wait to be written. An info line gives way to a warning or an error.
    std::size_t maxLines_ = 4000;
    /// Info lines in one second; requests under load would fill the log otherwise.
    std::uint32_t infoPerSecond_ = 400;
    /// Lines are collected for this long, because each write costs a wake-up.
    Millis batchDelay_ {50};
    /// At the end, how long a reader that does not read is waited for.
    Millis stopTimeout_ {200};
};

/// @brief The queue and its thread. The mutex guards all members after it.
///
/// Invariant: lines_.size() <= settings_.maxLines_.
struct LogSink
{
    LogSinkSettings settings_;
    std::mutex mutex_;
    std::condition_variable linesQueued_;
    struct Line
    {
        LogLevel level_ = LogLevel::Info;
        std::string text_;
    };
    std::deque<Line> lines_;
    std::uint64_t dropped_ = 0;
    std::uint64_t droppedTotal_ = 0;
    MonoTime windowStart_ {};
    std::uint32_t infoInWindow_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

/// @brief Starts the thread that writes.
void startLogSink(LogSink &sink);

/// @brief Queues a line; drops it if there is no room or too many info lines come in one second.
void queueLogLine(LogSink &sink, const LogEvent &event);

/// @brief Returns how many lines were dropped since the start.
std::uint64_t droppedLogLines(LogSink &sink);

/// @brief Writes what is queued as far as the reader takes it in time, then ends the thread.
void stopLogSink(LogSink &sink);

/// @brief Returns the port of a sink.
LogPort logPort(LogSink &sink);

} // namespace tamarack
