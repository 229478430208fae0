// Public header of the core library: the decisions of a daemon, without any I/O.
#pragma once

#include "core/bundle.h"
#include "core/command.h"
#include "core/control.h"
#include "core/error.h"
#include "core/event.h"
#include "core/grants.h"
#include "core/hash.h"
#include "core/ids.h"
#include "core/ledger.h"
#include "core/refusal.h"
#include "core/requestrecords.h"
#include "core/routing.h"
#include "core/shardcommit.h"
#include "core/store.h"
#include "core/time.h"
#include "core/tokens.h"
