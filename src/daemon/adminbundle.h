// Bundles in the administration interface.
#pragma once

#include "daemon/admin.h"

#include <optional>

namespace tamarack {

/// @brief Answers calls below /v1/bundle and /v1/rollout.
/// @return nothing for all other calls
std::optional<AdminResponse> handleBundleRequest(const AdminContext &context,
                                                 const AdminRequest &request);

/// @brief An answer that says what is wrong and what to do about it.
AdminResponse adminError(int status, const std::string &message);

} // namespace tamarack
