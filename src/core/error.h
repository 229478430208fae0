// Typed errors. Functions that can fail return Result<T>; the error object has a stable id and a
// message that describes the problem and how to fix it.
#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace tamarack {

template <typename T>
using Result = boost::leaf::result<T>;

/// @brief Error categories that a caller can handle differently.
enum class ErrorKind {
    InvalidSettings,
    InvalidBundle,
    InvalidSignature,
    InvalidMessage,
    LedgerInvariant,
    StoreUnavailable,
    ConnectionFailed,
    /// Another process listens on the address.
    AddressInUse,
    Internal,
};

/// @brief An error with a stable id such as "tamarack.ledger.101".
struct Error
{
    ErrorKind kind_ = ErrorKind::Internal;
    std::string id_;
    /// Single-line description of the problem and of the remedy.
    std::string message_;
};

/// @brief Creates a LEAF error that carries an Error object.
/// @return an error id that is implicitly convertible to any Result<T>
inline boost::leaf::error_id fail(ErrorKind kind, std::string id, std::string message)
{
    return boost::leaf::new_error(Error {kind, std::move(id), std::move(message)});
}

} // namespace tamarack
