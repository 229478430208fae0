// Public header of the codec for stored values.
#pragma once

#include "adapters/shardcodec/storedvalue.h"
