// ValidationErrors of a JSON document. A check reports all of them at once.
#pragma once

#include <string>
#include <vector>

namespace tamarack {

/// @brief One fault of a document.
struct ValidationError
{
    /// Where it is, such as "accounts[2].priority".
    std::string path_;
    /// What is wrong.
    std::string problem_;
    /// What to do about it.
    std::string remedy_;
};

using ValidationErrors = std::vector<ValidationError>;

/// @brief Formats one fault as "path: problem; remedy".
std::string formatValidationError(const ValidationError &error);

/// @brief Formats faults, one a line.
std::string formatValidationErrors(const ValidationErrors &errors);

} // namespace tamarack
