// Signal handling and graceful shutdown of the process.
#include "runtime/gracefulshutdown.h"

#include <csignal>
#include <cstdlib>
#include <optional>
#include <thread>

namespace tamarack {

namespace {

constexpr int stoppedSignal = SIGUSR1;
/// Maximum time to wait for the control thread to log the aborted requests. This is
/// enough, because the control thread never blocks.
constexpr Millis reportTimeout {2000};

sigset_t signalSet(std::initializer_list<int> numbers)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : numbers)
        sigaddset(&signals, number);
    return signals;
}

timespec toTimespec(Millis time)
{
    const Millis wait = std::max(time, Millis {0});
    const auto seconds = std::chrono::duration_cast<Seconds>(wait);
    const auto rest = std::chrono::duration_cast<std::chrono::nanoseconds>(wait - seconds);
    return timespec {static_cast<time_t>(seconds.count()), static_cast<long>(rest.count())};
}

/// Waits for one of the signals.
/// @return nothing if @a deadline passed
std::optional<int> awaitSignal(const sigset_t &signals, MonoTime deadline)
{
    while (true) {
        const auto remaining
            = std::chrono::ceil<Millis>(deadline - std::chrono::steady_clock::now());
        const timespec timeout = toTimespec(remaining);
        const int signal = sigtimedwait(&signals, nullptr, &timeout);
        if (signal >= 0)
            return signal;
        if (errno != EINTR)
            return std::nullopt;
    }
}

/// Waits until a step of the shutdown is complete.
/// @return nothing if it is, else the cause that forces the shutdown
std::optional<std::string> awaitShutdownStep(MonoTime deadline)
{
    const sigset_t signals = signalSet({SIGTERM, SIGINT, stoppedSignal});
    const std::optional<int> signal = awaitSignal(signals, deadline);
    if (!signal)
        return "limits.stopLimitMs has passed";
    if (*signal == stoppedSignal)
        return std::nullopt;
    return "second signal";
}

/// Lets the control thread log the aborted requests, then ends the process with status 1.
[[noreturn]] void forceShutdown(const GracefulShutdown &shutdown, const std::string &cause)
{
    shutdown.events_.post_(StopForced {cause});
    awaitSignal(signalSet({stoppedSignal}), std::chrono::steady_clock::now() + reportTimeout);
    std::_Exit(EXIT_FAILURE);
}

} // namespace

void blockHandledSignals()
{
    const sigset_t signals = signalSet({SIGTERM, SIGINT, SIGHUP, stoppedSignal});
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void awaitStopSignal(const std::function<void()> &onHangup)
{
    const sigset_t signals = signalSet({SIGTERM, SIGINT, SIGHUP});
    int signal = 0;
    while (sigwait(&signals, &signal) != 0 || signal == SIGHUP) {
        if (signal == SIGHUP)
            onHangup();
    }
}

bool awaitStopSignalFor(Millis time)
{
    return awaitSignal(signalSet({SIGTERM, SIGINT}), std::chrono::steady_clock::now() + time)
        .has_value();
}

void signalStopped(pthread_t mainThread)
{
    pthread_kill(mainThread, stoppedSignal);
}

void shutDownGracefully(const GracefulShutdown &shutdown)
{
    const MonoTime deadline = std::chrono::steady_clock::now() + shutdown.timeout_;
    shutdown.stopAccepting_();
    shutdown.events_.post_(StopRequested {});
    if (const std::optional<std::string> cause = awaitShutdownStep(deadline))
        forceShutdown(shutdown, *cause);
    // The control thread counts a request as finished before the last bytes of its response are
    // written, so the connections must be drained as well.
    const pthread_t mainThread = pthread_self();
    std::thread draining([&shutdown, mainThread] {
        shutdown.drainConnections_();
        signalStopped(mainThread);
    });
    if (const std::optional<std::string> cause = awaitShutdownStep(deadline)) {
        shutdown.log_.write_(LogEvent {
            LogLevel::Error, "daemon.stop_forced", {{"cause", *cause}, {"left", "connections"}}});
        std::_Exit(EXIT_FAILURE);
    }
    draining.join();
}

} // namespace tamarack
