// Calls to the administration interface of a daemon.
#pragma once

#include <string>

namespace tamarack {

/// @brief Where the administration interface is and the operators' token.
struct AdminTarget
{
    /// "IP:port".
    std::string address_;
    std::string token_;
};

/// @brief The answer of the daemon; status 0 if it could not be reached.
struct AdminCallResult
{
    int status_ = 0;
    std::string body_;
};

AdminCallResult callAdmin(const AdminTarget &target, const std::string &method,
                          const std::string &path, const std::string &body);

} // namespace tamarack
