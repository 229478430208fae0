// Tests the log queue. Guards against a full pipe that blocks callers or the stop of the process,
// and against dropping an error line while info lines are kept.
#include "adapters/logging/logging.h"

#include <catch2/catch.hpp>

#include <string>

#include <fcntl.h>
#include <unistd.h>

namespace tamarack {

namespace {

/// Redirects standard output to a pipe during its lifetime.
struct StdoutPipe
{
    int saved_ = -1;
    int reader_ = -1;

    StdoutPipe()
    {
        int ends[2] = {-1, -1};
        REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
        reader_ = ends[0];
        saved_ = ::fcntl(STDOUT_FILENO, F_DUPFD_CLOEXEC, 0);
        REQUIRE(::dup2(ends[1], STDOUT_FILENO) == STDOUT_FILENO);
        ::close(ends[1]);
    }
    ~StdoutPipe()
    {
        ::dup2(saved_, STDOUT_FILENO);
        ::close(saved_);
        ::close(reader_);
    }
    StdoutPipe(const StdoutPipe &) = delete;
    StdoutPipe &operator=(const StdoutPipe &) = delete;
};

std::string readAvailable(const StdoutPipe &pipe)
{
    ::fcntl(pipe.reader_, F_SETFL, O_NONBLOCK);
    std::string text;
    char buffer[4096];
    for (ssize_t count = 0; (count = ::read(pipe.reader_, buffer, sizeof buffer)) > 0;)
        text.append(buffer, static_cast<std::size_t>(count));
    return text;
}

LogEvent makeEvent(LogLevel level, const std::string &name)
{
    return LogEvent {level, name, {{"detail", std::string(200, 'x')}}};
}

/// Number of lines that exceeds the capacity of a pipe.
constexpr int manyLines = 5000;

} // namespace

TEST_CASE("a pipe without a reader blocks neither callers nor the stop")
{
    std::uint64_t dropped = 0;
    {
        StdoutPipe pipe;
        LogSink sink;
        sink.settings_.maxLines_ = 1000;
        sink.settings_.infoPerSecond_ = manyLines;
        startLogSink(sink);
        for (int i = 0; i < manyLines; ++i)
            queueLogLine(sink, makeEvent(LogLevel::Info, "request.end"));
        dropped = droppedLogLines(sink);
        stopLogSink(sink);
    }
    CHECK(dropped > 0);
}

TEST_CASE("which lines are dropped")
{
    LogSink sink;
    sink.settings_.maxLines_ = 10;
    sink.settings_.infoPerSecond_ = 100;
    std::string text;
    SECTION("an error replaces an info line")
    {
        for (int i = 0; i < 20; ++i)
            queueLogLine(sink, makeEvent(LogLevel::Info, "request.end"));
        queueLogLine(sink, makeEvent(LogLevel::Error, "daemon.not_started"));
        CHECK(droppedLogLines(sink) == 11);
        StdoutPipe pipe;
        startLogSink(sink);
        stopLogSink(sink);
        text = readAvailable(pipe);
        CHECK(text.find("daemon.not_started") != std::string::npos);
    }
    SECTION("long lines exceed the memory before their number exceeds the limit")
    {
        // Lines carry ids that clients choose.
        sink.settings_.maxBytes_ = 4000;
        LogEvent event = makeEvent(LogLevel::Info, "request.end");
        event.fields_.push_back({"request", std::string(1000, 'a')});
        for (int i = 0; i < 9; ++i)
            queueLogLine(sink, event);
        CHECK(droppedLogLines(sink) == 6);
        CHECK(queuedLogBytes(sink) <= 4000);
        event.level_ = LogLevel::Error;
        queueLogLine(sink, event);
        CHECK(queuedLogBytes(sink) <= 4000);
        StdoutPipe pipe;
        startLogSink(sink);
        stopLogSink(sink);
        text = readAvailable(pipe);
        CHECK(text.find("level=error") != std::string::npos);
        CHECK(queuedLogBytes(sink) == 0);
    }
    SECTION("info lines above the rate limit are dropped and counted")
    {
        sink.settings_.maxLines_ = 1000;
        sink.settings_.infoPerSecond_ = 5;
        for (int i = 0; i < 8; ++i)
            queueLogLine(sink, makeEvent(LogLevel::Info, "request.end"));
        StdoutPipe pipe;
        startLogSink(sink);
        stopLogSink(sink);
        text = readAvailable(pipe);
        CHECK(text.find("event=log.dropped lines=") != std::string::npos);
    }
}

} // namespace tamarack
