// The operators' listener: HTTP for the administration interface and metrics.
#pragma once

#include "adapters/http/callerserver.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A call to the administration interface.
struct AdminRequest
{
    std::string method_;
    std::string path_;
    std::string body_;
};

/// @brief The answer to a call.
struct AdminResponse
{
    int status_ = 200;
    std::string contentType_ = "application/json";
    std::string body_;
};

/// @brief How the operators' listener is set up.
struct AdminServerSettings
{
    std::string address_;
    /// Returns the SHA-256 of each token that is accepted now; all calls but GET /metrics need one.
    std::function<std::vector<std::string>()> tokens_;
    std::size_t maxRequestBytes_ = 64U << 20U;
};

/// @brief Starts the listener; @a handle is called on its threads.
HttpListener startAdminServer(const AdminServerSettings &settings,
                              std::function<AdminResponse(const AdminRequest &)> handle);

} // namespace tamarack
