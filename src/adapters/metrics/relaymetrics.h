// Metrics of a relay daemon, by prometheus-cpp's core library.
#pragma once

#include "ports/relay.h"

#include <prometheus/registry.h>

#include <memory>

namespace tamarack {

/// @brief Returns a port that records into a registry. Safe to call from any thread.
RelayMetricsPort makeRelayMetricsPort(const std::shared_ptr<prometheus::Registry> &registry);

} // namespace tamarack
