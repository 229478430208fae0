// Public header of the codec of stored values.
#pragma once

#include "adapters/shardcodec/storedvalue.h"
