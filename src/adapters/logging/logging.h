// Public header of the logging adapter: log lines and the queue that writes them.
#pragma once

#include "adapters/logging/logline.h"
#include "adapters/logging/logsink.h"
