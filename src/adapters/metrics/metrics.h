// Public header of the metrics adapter: metrics in the text format of Prometheus.
#pragma once

#include "adapters/metrics/registry.h"
#include "adapters/metrics/relaymetrics.h"
#include "adapters/metrics/storeusage.h"
