// Typed access to the fields of JSON objects. Invalid fields are collected as validation errors
// with their paths.
#pragma once

#include "adapters/json/validationerror.h"

#include "core/error.h"
#include "core/time.h"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A JSON object, its path in the document and the list that collects validation errors.
struct JsonReader
{
    Poco::JSON::Object::Ptr object_;
    std::string path_;
    ValidationErrors *errors_ = nullptr;
};

enum class FieldPresence {
    Required,
    Optional,
};

/// @brief Valid range of an integer field, inclusive.
struct IntegerRange
{
    std::int64_t min_ = 0;
    std::int64_t max_ = std::numeric_limits<std::int64_t>::max();
};

/// Maximum nesting depth of a document.
inline constexpr int maxJsonDepth = 32;

/// @brief Parses a document whose root is an object.
/// @param maxBytes maximum size of the document
/// @return an error with id tamarack.json.101 if the text is not valid JSON, tamarack.json.102 if
/// it is too large, or tamarack.json.103 if its root is not an object
Result<Poco::JSON::Object::Ptr> parseObject(const std::string &text, std::size_t maxBytes);

/// @brief Reports a validation error of a field.
void addError(const JsonReader &reader, const std::string &field, std::string problem,
              std::string remedy);

/// @brief Reads a string. A required string must not be empty.
/// @return @a fallback if the field is absent or invalid
std::string readString(const JsonReader &reader, const std::string &field, FieldPresence presence,
                       std::string fallback = {});
/// @brief Reads an integer within @a range.
/// @return @a fallback if the field is absent or invalid
std::int64_t readInteger(const JsonReader &reader, const std::string &field, FieldPresence presence,
                         IntegerRange range, std::int64_t fallback = 0);
/// @brief Reads a number of at least @a min, which may have a fraction.
/// @return @a fallback if the field is absent or invalid
double readNumber(const JsonReader &reader, const std::string &field, FieldPresence presence,
                  double min, double fallback = 0.0);
/// @brief Reads a boolean.
/// @return @a fallback if the field is absent or invalid
bool readBool(const JsonReader &reader, const std::string &field, FieldPresence presence,
              bool fallback = false);
/// @brief Reads a duration given as an integer number of milliseconds; the field name ends in "Ms".
/// @return @a fallback if the field is absent or invalid
Millis readMillis(const JsonReader &reader, const std::string &field, FieldPresence presence,
                  IntegerRange range, Millis fallback = {});
/// @brief Reads an array of strings.
/// @return the valid elements; empty if the field is absent or not an array
std::vector<std::string> readStrings(const JsonReader &reader, const std::string &field,
                                     FieldPresence presence);

/// @brief Returns a reader of a nested object; an absent or invalid one reads as empty.
JsonReader readObject(const JsonReader &reader, const std::string &field, FieldPresence presence);

/// @brief Calls @a visit for each object of an array and reports elements that are not objects.
void readObjects(const JsonReader &reader, const std::string &field, FieldPresence presence,
                 const std::function<void(const JsonReader &)> &visit);

/// @brief Reports each field that is not in @a known, because it is probably misspelled.
void rejectUnknownFields(const JsonReader &reader, const std::vector<std::string> &known);

} // namespace tamarack
