// Public header of the logging adapter.
#pragma once

#include "adapters/logging/logline.h"
#include "adapters/logging/logsink.h"
