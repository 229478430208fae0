// The administration interface of a daemon.
#pragma once

#include "adapters/http/http.h"
#include "daemon/appliedversion.h"
#include "daemon/bundlestore.h"
#include "traffic/traffic.h"

namespace tamarack {

/// @brief What the administration interface reads and changes.
struct AdminContext
{
    BundleStore bundles_;
    TrafficContext &traffic_;
    AppliedVersion &applied_;
    LogPort log_;
    HostId host_;
};

/// @brief Answers one call.
AdminReply handleAdmin(const AdminContext &context, const AdminCall &call);

} // namespace tamarack
