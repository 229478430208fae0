// Validation errors of a JSON document. Validation reports all errors of a document, not only the
// first.
#pragma once

#include <string>
#include <vector>

namespace tamarack {

/// @brief One validation error.
struct ValidationError
{
    /// Path of the field, such as "accounts[2].priority".
    std::string path_;
    /// What is wrong.
    std::string problem_;
    /// How to fix it.
    std::string remedy_;
};

using ValidationErrors = std::vector<ValidationError>;

/// @brief Formats an error as "path: problem; remedy".
std::string formatValidationError(const ValidationError &error);

/// @brief Formats errors, one per line.
std::string formatValidationErrors(const ValidationErrors &errors);

} // namespace tamarack
