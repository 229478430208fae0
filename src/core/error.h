// Typed errors. Functions that can fail return Result<T>; the error object carries a stable id and
// a message that names the remedy.
#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace tamarack {

template <typename T>
using Result = boost::leaf::result<T>;

/// @brief Kinds of errors a caller can react to.
enum class ErrorKind {
    InvalidSettings,
    InvalidBundle,
    InvalidSignature,
    InvalidMessage,
    LedgerInvariant,
    StoreUnavailable,
    ConnectionFailed,
    Internal,
};

/// @brief An error with a stable id such as "tamarack.ledger.101".
struct Error
{
    ErrorKind kind_ = ErrorKind::Internal;
    std::string id_;
    /// What is wrong and what to do about it, in one line.
    std::string message_;
};

/// @brief Creates a LEAF error that carries an Error object.
/// @return an error id that converts to any Result<T>
inline boost::leaf::error_id fail(ErrorKind kind, std::string id, std::string message)
{
    return boost::leaf::new_error(Error {kind, std::move(id), std::move(message)});
}

} // namespace tamarack
