// Metrics in the text format of Prometheus, by prometheus-cpp's core library.
#pragma once

#include "ports/metrics.h"

#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace tamarack {

/// @brief Returns a port that records into a registry. Safe to call from any thread.
MetricsPort makeMetricsPort(const std::shared_ptr<prometheus::Registry> &registry);

/// @brief Returns all metrics of a registry in the text format.
std::string formatMetrics(const prometheus::Registry &registry);

} // namespace tamarack
