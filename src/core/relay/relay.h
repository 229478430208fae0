// Public header of the relay core, which decides about requests that are forwarded unchanged.
#pragma once

#include "core/relay/config.h"
#include "core/relay/documentsync.h"
#include "core/relay/events.h"
#include "core/relay/fleet.h"
#include "core/relay/instancechoice.h"
#include "core/relay/instancelimits.h"
#include "core/relay/instancenotice.h"
#include "core/relay/instances.h"
#include "core/relay/lenders.h"
#include "core/relay/loans.h"
#include "core/relay/overload.h"
#include "core/relay/prepaid.h"
#include "core/relay/quarantine.h"
#include "core/relay/relaycontrol.h"
#include "core/relay/request.h"
#include "core/relay/responseclass.h"
