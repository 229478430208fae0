// The administration interface of a daemon.
#pragma once

#include "adapters/http/http.h"
#include "daemon/appliedversion.h"
#include "daemon/bundlestore.h"
#include "traffic/traffic.h"

#include <functional>
#include <string>

namespace tamarack {

/// @brief What the administration interface reads and changes.
struct AdminContext
{
    BundleStore bundles_;
    TrafficContext &traffic_;
    AppliedVersion &applied_;
    LogPort log_;
    HostId host_;
    /// Returns all metrics in the text format of Prometheus.
    std::function<std::string()> metrics_;
};

/// @brief Answers one call.
AdminResponse handleAdminRequest(const AdminContext &context, const AdminRequest &request);

} // namespace tamarack
