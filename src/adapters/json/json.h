// Public header of the JSON adapter: parsing of settings, bundles, manifests and chat messages.
#pragma once

#include "adapters/json/address.h"
#include "adapters/json/bundlejson.h"
#include "adapters/json/bundleparts.h"
#include "adapters/json/chat.h"
#include "adapters/json/jsonreader.h"
#include "adapters/json/jsonscan.h"
#include "adapters/json/manifest.h"
#include "adapters/json/relaysettings.h"
#include "adapters/json/settings.h"
#include "adapters/json/validationerror.h"
