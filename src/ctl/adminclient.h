// HTTP client of the administration interface of a daemon.
#pragma once

#include <string>

namespace tamarack {

/// @brief Address of an administration interface and the operators' token.
struct AdminTarget
{
    /// "IP:port".
    std::string address_;
    std::string token_;
};

/// @brief HTTP status and body of a response. With status 0 no whole and valid response arrived,
/// and the body is the error message.
struct AdminCallResult
{
    int status_ = 0;
    std::string body_;
};

/// @brief Sends one request and waits for the response. Doesn't throw if the connection fails.
AdminCallResult callAdmin(const AdminTarget &target, const std::string &method,
                          const std::string &path, const std::string &body);

} // namespace tamarack
