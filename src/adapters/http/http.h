// Public header of the HTTP adapter: the listeners for callers and operators, and the upstream
// client.
#pragma once

#include "adapters/http/adminserver.h"
#include "adapters/http/callerserver.h"
#include "adapters/http/upstreamclient.h"
