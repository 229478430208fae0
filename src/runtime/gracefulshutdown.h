// Signals of the process and the order of a planned stop.
#pragma once

#include "ports/ports.h"

#include <functional>

#include <pthread.h>

namespace tamarack {

/// @brief Blocks the signals that the main thread waits for. Called before threads are started.
void blockHandledSignals();

/// @brief Waits for SIGTERM or SIGINT; calls @a onHangup for each SIGHUP.
void awaitStopSignal(const std::function<void()> &onHangup);

/// @brief Tells the main thread that a step of the stop is complete.
void signalStopped(pthread_t mainThread);

/// @brief What a planned stop does.
struct GracefulShutdown
{
    /// The stop is forced after this time.
    Millis timeout_ {};
    std::function<void()> stopAccepting_;
    /// Blocks until the last byte of every answer is written.
    std::function<void()> drainConnections_;
    EventPort events_;
    LogPort log_;
};

/// @brief Finishes everything in flight and returns when the process may exit.
///
/// A second signal or the limit ends it early: everything that is cut off is logged and the process
/// exits with status 1.
void shutDownGracefully(const GracefulShutdown &shutdown);

} // namespace tamarack
