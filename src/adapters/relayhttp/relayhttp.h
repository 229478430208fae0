// Public header of the relay's HTTP front end, which forwards requests of any method and body to
// upstream instances, and their responses back, unchanged.
#pragma once

#include "adapters/relayhttp/boottime.h"
#include "adapters/relayhttp/frontend.h"
#include "adapters/relayhttp/headernames.h"
