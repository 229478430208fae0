// Public header of the runtime library: threads and queues that both daemons use.
#pragma once

#include "runtime/blockingqueue.h"
#include "runtime/gracefulshutdown.h"
#include "runtime/registration.h"
#include "runtime/stopflag.h"
#include "runtime/storeworkers.h"
