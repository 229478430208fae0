// Metrics of a relay daemon, recorded with the core library of prometheus-cpp.
#pragma once

#include "ports/relay.h"

#include <prometheus/registry.h>

#include <memory>

namespace tamarack {

/// @brief Returns a port that records metrics in @a registry. Its functions are called by the
/// control thread only.
RelayMetricsPort makeRelayMetricsPort(const std::shared_ptr<prometheus::Registry> &registry);

} // namespace tamarack
