// Bundle requests of the administration interface.
#pragma once

#include "daemon/admin.h"

#include <optional>

namespace tamarack {

/// @brief Handles requests for /v1/bundle, the paths below it and /v1/rollout.
/// @return nothing for all other requests
std::optional<AdminResponse> handleBundleRequest(const AdminContext &context,
                                                 const AdminRequest &request);

/// @brief Returns an error response with a JSON body.
/// @param message the cause and what the operator can do
AdminResponse adminError(int status, const std::string &message);

} // namespace tamarack
