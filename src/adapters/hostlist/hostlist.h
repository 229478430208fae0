// Public header of the host list adapter: reads the platform's host list over HTTP.
#pragma once

#include "adapters/hostlist/hostlistclient.h"
