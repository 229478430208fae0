// Public header of the HTTP client: connections to servers, and the reader of their responses.
#pragma once

#include "adapters/httpclient/connection.h"
#include "adapters/httpclient/responsereader.h"
#include "adapters/httpclient/timespan.h"
