// Asynchronous log: callers add lines to a bounded queue without waiting for output, and one thread
// writes them to standard output.
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
    /// Maximum number of queued lines. If the queue is full, a warning or an error replaces the
    /// oldest info lines.
    std::size_t maxLines_ = 4000;
    /// Maximum number of bytes of queued lines and of those being written. Lines carry ids that
    /// clients choose, up to the size of a head each.
    std::size_t maxBytes_ = 4U << 20U;
    /// Maximum number of info lines per second; the lines of requests would fill the log under
    /// load.
    std::uint32_t infoPerSecond_ = 400;
    /// Delay before queued lines are written as one batch, because each write costs a wake-up.
    Millis batchDelay_ {50};
    /// Maximum time to wait, after a stop, for a reader that does not read.
    Millis stopTimeout_ {200};
};

/// @brief The queue and its writer thread. The mutex guards all members after it except thread_.
///
/// Invariant: lines_.size() <= settings_.maxLines_ and bytes_ + writing_ <= settings_.maxBytes_.
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
    /// Bytes of lines_, and of the batch that is being written.
    std::size_t bytes_ = 0;
    std::size_t writing_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t droppedTotal_ = 0;
    MonoTime windowStart_ {};
    std::uint32_t infoInWindow_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

/// @brief Starts the writer thread.
void startLogSink(LogSink &sink);

/// @brief Queues a line. Drops it if the queue is full or the rate of info lines exceeds its limit.
void queueLogLine(LogSink &sink, const LogEvent &event);

/// @brief Returns the memory of the lines that wait for output.
std::uint64_t queuedLogBytes(LogSink &sink);

/// @brief Returns the number of lines dropped since the start.
std::uint64_t droppedLogLines(LogSink &sink);

/// @brief Writes the queued lines that the reader accepts within the stop timeout, then stops the
/// thread.
void stopLogSink(LogSink &sink);

/// @brief Returns a port that queues lines in @a sink, which must outlive it.
LogPort logPort(LogSink &sink);

} // namespace tamarack
