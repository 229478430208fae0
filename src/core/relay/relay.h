// Public header of the relay's decisions: requests that are passed through unchanged.
#pragma once

#include "core/relay/choice.h"
#include "core/relay/config.h"
#include "core/relay/documentsync.h"
#include "core/relay/events.h"
#include "core/relay/fleet.h"
#include "core/relay/instances.h"
#include "core/relay/lenders.h"
#include "core/relay/loans.h"
#include "core/relay/prepaid.h"
#include "core/relay/relaycontrol.h"
#include "core/relay/request.h"
#include "core/relay/responseclass.h"
