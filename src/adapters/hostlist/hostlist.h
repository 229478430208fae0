// Public header of the host list adapter: the platform's list of hosts by HTTP.
#pragma once

#include "adapters/hostlist/hostlistclient.h"
