// Requests of the administration interface of a daemon.
#pragma once

#include "adapters/http/http.h"
#include "daemon/appliedversion.h"
#include "daemon/bundlestore.h"
#include "traffic/traffic.h"

#include <functional>
#include <string>

namespace tamarack {

/// @brief Data that the administration interface reads and changes.
struct AdminContext
{
    BundleStore bundles_;
    TrafficContext &traffic_;
    AppliedVersion &applied_;
    LogPort log_;
    HostId host_;
    /// Returns all metrics in the Prometheus text format.
    std::function<std::string()> metrics_;
};

/// @brief Handles one request. Blocks while it reads or writes the store.
/// @return status 404 if the path is unknown
AdminResponse handleAdminRequest(const AdminContext &context, const AdminRequest &request);

} // namespace tamarack
