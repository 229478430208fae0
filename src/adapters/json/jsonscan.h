// Finding the members of a JSON object without building a tree. Internal to the JSON adapter.
//
// The parser needs about 50 ns for each byte, which is 56 ms for a prompt of 1 MB. Long values that
// are passed on unchanged are therefore only skipped, with their brackets and strings checked.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace tamarack {

/// @brief One member of an object, as text.
struct JsonMember
{
    /// Between the quotes; escapes are not decoded.
    std::string_view key_;
    std::string_view value_;
};

/// @brief Returns the members of the object that @a text consists of.
/// @return nothing if brackets or strings do not match or the nesting is deeper than maxJsonDepth
std::optional<std::vector<JsonMember>> scanObject(std::string_view text);

/// @brief Returns the elements of the array that @a text consists of.
/// @return nothing as with scanObject()
std::optional<std::vector<std::string_view>> scanArray(std::string_view text);

/// @brief Returns the value of the last member named @a key; empty if there is none.
std::string_view findMember(const std::vector<JsonMember> &members, std::string_view key);

} // namespace tamarack
