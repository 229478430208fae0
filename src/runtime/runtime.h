// Public header of the runtime: threads and queues that the daemons share.
#pragma once

#include "runtime/gracefulshutdown.h"
#include "runtime/registration.h"
#include "runtime/stopflag.h"
#include "runtime/storeworkers.h"
#include "runtime/waitqueue.h"
