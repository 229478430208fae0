// Public header of the traffic library: the work of a traffic thread for one request, independent
// of the protocol that callers speak.
#pragma once

#include "traffic/callerrequest.h"
#include "traffic/replyslots.h"
#include "traffic/serve.h"
