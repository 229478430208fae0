// Public header of the ports, which are the external dependencies of the daemon as plain structs of
// callables. Adapters implement them; tests use fakes.
#pragma once

#include "ports/exchange.h"
#include "ports/hostlist.h"
#include "ports/metrics.h"
#include "ports/peers.h"
#include "ports/store.h"

#include "core/core.h"

#include <functional>

namespace tamarack {

/// @brief Posts events to the control thread. Safe to call from any thread.
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
