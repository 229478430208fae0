// The log's queue. Guards against a full pipe that holds up those who log, keeps the process from
// ending, or costs an error line while info lines stay.
#include "adapters/logging/logging.h"

#include <catch2/catch.hpp>

#include <string>

#include <fcntl.h>
#include <unistd.h>

namespace tamarack {

namespace {

/// Takes the place of standard output while it lives.
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

/// Far more than a pipe holds.
constexpr int manyLines = 5000;

} // namespace

TEST_CASE("a pipe that nobody reads holds up neither writers nor the end")
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
    SECTION("an error takes the place of an info line")
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
    SECTION("info lines beyond the rate, and their number is written")
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
