// Public header of the relay's HTTP front end: it passes requests of any method and body to
// upstream instances and their answers back, unchanged.
#pragma once

#include "adapters/relayhttp/frontend.h"
#include "adapters/relayhttp/headernames.h"
