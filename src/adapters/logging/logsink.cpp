// The bounded log queue and its writer thread.
#include "adapters/logging/logsink.h"

#include "adapters/logging/logline.h"

#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace tamarack {

namespace {

bool isStopping(LogSink &sink)
{
    const std::lock_guard lock(sink.mutex_);
    return sink.stopping_;
}

/// Waits until standard output is writable.
/// @return false if the sink is stopping and the stop timeout has passed
bool waitUntilWritable(LogSink &sink)
{
    const MonoTime start = std::chrono::steady_clock::now();
    while (true) {
        pollfd entry {STDOUT_FILENO, POLLOUT, 0};
        const int ready = ::poll(&entry, 1, static_cast<int>(sink.settings_.stopTimeout_.count()));
        if (ready > 0)
            return true;
        const bool timedOut
            = std::chrono::steady_clock::now() - start >= sink.settings_.stopTimeout_;
        if (timedOut && isStopping(sink))
            return false;
    }
}

/// Writes the whole text to standard output.
/// @return false if the reader has closed its end or does not read before the sink stops
bool writeAll(LogSink &sink, const std::string &text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        if (!waitUntilWritable(sink))
            return false;
        // A write of up to PIPE_BUF bytes to a writable pipe does not block; a larger one may wait
        // for the reader.
        const std::size_t size = std::min(text.size() - written, std::size_t {PIPE_BUF});
        const ssize_t count = ::write(STDOUT_FILENO, text.data() + written, size);
        if (count >= 0)
            written += static_cast<std::size_t>(count);
        else if (errno != EINTR && errno != EAGAIN)
            return false;
    }
    return true;
}

std::string takeBatch(LogSink &sink)
{
    std::unique_lock lock(sink.mutex_);
    sink.linesQueued_.wait(lock, [&sink] { return sink.stopping_ || !sink.lines_.empty(); });
    sink.linesQueued_.wait_for(lock, sink.settings_.batchDelay_,
                               [&sink] { return sink.stopping_; });
    std::string text;
    text.reserve(sink.bytes_);
    // Each line is freed once it is copied, so that no batch exists twice.
    for (; !sink.lines_.empty(); sink.lines_.pop_front()) {
        text += sink.lines_.front().text_;
        text += '\n';
    }
    sink.writing_ = std::exchange(sink.bytes_, 0);
    if (const std::uint64_t dropped = std::exchange(sink.dropped_, 0)) {
        const LogEvent event {
            LogLevel::Warning, "log.dropped", {{"lines", std::to_string(dropped)}}};
        text += formatLogLine(event, std::chrono::system_clock::now()) + '\n';
    }
    return text;
}

void runWriter(LogSink &sink)
{
    while (true) {
        const std::string text = takeBatch(sink);
        const bool written = writeAll(sink, text);
        const std::lock_guard lock(sink.mutex_);
        sink.writing_ = 0;
        if (sink.stopping_ && (sink.lines_.empty() || !written))
            return;
    }
}

void countDropped(LogSink &sink)
{
    ++sink.dropped_;
    ++sink.droppedTotal_;
}

std::size_t memoryOf(const LogSink::Line &line)
{
    return sizeof(LogSink::Line) + line.text_.capacity();
}

/// Removes the oldest info line to make room for a warning or an error.
/// @return false if no info line is queued
bool evictOldestInfo(LogSink &sink)
{
    const auto info = std::find_if(sink.lines_.begin(), sink.lines_.end(),
                                   [](const auto &line) { return line.level_ == LogLevel::Info; });
    if (info == sink.lines_.end())
        return false;
    sink.bytes_ -= memoryOf(*info);
    sink.lines_.erase(info);
    return true;
}

bool hasRoom(const LogSink &sink, std::size_t bytes)
{
    return sink.lines_.size() < sink.settings_.maxLines_
        && sink.writing_ + sink.bytes_ + bytes <= sink.settings_.maxBytes_;
}

bool exceedsInfoRate(LogSink &sink, MonoTime now)
{
    if (now - sink.windowStart_ >= Seconds {1}) {
        sink.windowStart_ = now;
        sink.infoInWindow_ = 0;
    }
    return ++sink.infoInWindow_ > sink.settings_.infoPerSecond_;
}

} // namespace

void startLogSink(LogSink &sink)
{
    sink.thread_ = std::thread([&sink] { runWriter(sink); });
}

void queueLogLine(LogSink &sink, const LogEvent &event)
{
    LogSink::Line line {event.level_, formatLogLine(event, std::chrono::system_clock::now())};
    line.text_.shrink_to_fit();
    const std::size_t bytes = memoryOf(line);
    const bool info = event.level_ == LogLevel::Info;
    bool wake = false;
    {
        const std::lock_guard lock(sink.mutex_);
        if (info && exceedsInfoRate(sink, std::chrono::steady_clock::now())) {
            countDropped(sink);
            return;
        }
        while (!hasRoom(sink, bytes)) {
            countDropped(sink);
            if (info || !evictOldestInfo(sink))
                return;
        }
        wake = sink.lines_.empty();
        sink.bytes_ += bytes;
        sink.lines_.push_back(std::move(line));
    }
    if (wake)
        sink.linesQueued_.notify_one();
}

std::uint64_t queuedLogBytes(LogSink &sink)
{
    const std::lock_guard lock(sink.mutex_);
    return sink.bytes_ + sink.writing_;
}

std::uint64_t droppedLogLines(LogSink &sink)
{
    const std::lock_guard lock(sink.mutex_);
    return sink.droppedTotal_;
}

void stopLogSink(LogSink &sink)
{
    {
        const std::lock_guard lock(sink.mutex_);
        sink.stopping_ = true;
    }
    sink.linesQueued_.notify_all();
    if (sink.thread_.joinable())
        sink.thread_.join();
}

LogPort logPort(LogSink &sink)
{
    return LogPort {[&sink](const LogEvent &event) {
        queueLogLine(sink, event);
    }};
}

} // namespace tamarack
