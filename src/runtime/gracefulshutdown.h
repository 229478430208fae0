// Signal handling and graceful shutdown of the process.
#pragma once

#include "ports/ports.h"

#include <functional>

#include <pthread.h>

namespace tamarack {

/// @brief Blocks the signals that the main thread waits for. Must be called before other threads
/// are started, because they inherit the signal mask.
void blockHandledSignals();

/// @brief Blocks until SIGTERM or SIGINT arrives. Calls @a onHangup for each SIGHUP.
void awaitStopSignal(const std::function<void()> &onHangup);

/// @brief Blocks until SIGTERM or SIGINT arrives or @a time has passed. The signal is consumed.
/// @return true if a signal arrived
bool awaitStopSignalFor(Millis time);

/// @brief Signals the main thread that a step of the shutdown is complete.
void signalStopped(pthread_t mainThread);

/// @brief Timeout and steps of a graceful shutdown.
struct GracefulShutdown
{
    /// The shutdown is forced after this time.
    Millis timeout_ {};
    std::function<void()> stopAccepting_;
    /// Blocks until all responses are written completely.
    std::function<void()> drainConnections_;
    EventPort events_;
    LogPort log_;
};

/// @brief Finishes all requests in flight and returns when the process may exit.
///
/// After a second signal or the timeout, the aborted requests are logged and the process exits with
/// status 1.
void shutDownGracefully(const GracefulShutdown &shutdown);

} // namespace tamarack
