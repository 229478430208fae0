// Public header of the traffic library, which serves a request on a traffic thread independently of
// the caller's protocol.
#pragma once

#include "traffic/callerrequest.h"
#include "traffic/replyslots.h"
#include "traffic/serve.h"
