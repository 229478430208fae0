// Public header of the metrics adapter.
#pragma once

#include "adapters/metrics/registry.h"
#include "adapters/metrics/relaymetrics.h"
