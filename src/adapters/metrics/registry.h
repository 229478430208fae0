// Metrics of a daemon, recorded with the core library of prometheus-cpp.
#pragma once

#include "ports/metrics.h"

#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace tamarack {

/// @brief Returns a port that records metrics in @a registry. Its functions are safe to call from
/// any thread.
MetricsPort makeMetricsPort(const std::shared_ptr<prometheus::Registry> &registry);

/// @brief Formats all metrics of a registry in the text format of Prometheus.
std::string formatMetrics(const prometheus::Registry &registry);

} // namespace tamarack
