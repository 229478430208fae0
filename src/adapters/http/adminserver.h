// The operators' HTTP listener, which serves the administration interface and metrics.
#pragma once

#include "adapters/http/callerserver.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A request to the administration interface.
struct AdminRequest
{
    std::string method_;
    std::string path_;
    std::string body_;
};

/// @brief A response of the administration interface.
struct AdminResponse
{
    int status_ = 200;
    std::string contentType_ = "application/json";
    std::string body_;
};

/// @brief Settings of the operators' listener.
struct AdminServerSettings
{
    std::string address_;
    /// Returns the SHA-256 of each currently valid token. All requests except GET /metrics need
    /// one.
    std::function<std::vector<std::string>()> tokens_;
    std::size_t maxRequestBytes_ = 64U << 20U;
};

/// @brief Starts the listener.
/// @param handle called on the listener's threads for each authorized request
HttpListener startAdminServer(const AdminServerSettings &settings,
                              std::function<AdminResponse(const AdminRequest &)> handle);

} // namespace tamarack
