// Public header of the JSON-over-HTTP client that the store adapters share.
#pragma once

#include "adapters/jsonhttp/jsonclient.h"
