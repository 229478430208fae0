// Public header of the ports: what the daemon needs from the outside, as plain structs of
// callables. Each adapter fills one of them; tests fill them with fakes.
#pragma once

#include "ports/exchange.h"
#include "ports/hostlist.h"
#include "ports/metrics.h"
#include "ports/peers.h"
#include "ports/store.h"

#include "core/core.h"

#include <functional>

namespace tamarack {

/// @brief Hands events to the control thread. Safe to call from any thread.
struct EventPort
{
    std::function<void(Event)> post_;
};

/// @brief Writes log lines. Safe to call from any thread.
struct LogPort
{
    std::function<void(const LogEvent &)> write_;
};

} // namespace tamarack
