// Reading of JSON objects that collects every fault with its path.
#pragma once

#include "adapters/json/fault.h"

#include "core/error.h"
#include "core/time.h"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A JSON object with its path and the list that collects faults.
struct JsonReader
{
    Poco::JSON::Object::Ptr object_;
    std::string path_;
    Faults *faults_ = nullptr;
};

enum class FieldPresence {
    Required,
    Optional,
};

/// @brief IntegerRange of an integer field, both ends included.
struct IntegerRange
{
    std::int64_t min_ = 0;
    std::int64_t max_ = std::numeric_limits<std::int64_t>::max();
};

/// Largest nesting depth of an accepted document.
inline constexpr int maxJsonDepth = 32;

/// @brief Parses a document whose root is an object.
/// @param maxBytes largest accepted size
/// @return an error with id tamarack.json.101 if it is not a JSON object or too large
Result<Poco::JSON::Object::Ptr> parseObject(const std::string &text, std::size_t maxBytes);

/// @brief Appends a fault at the reader's path extended by @a field.
void addFault(const JsonReader &reader, const std::string &field, std::string problem,
              std::string remedy);

std::string readString(const JsonReader &reader, const std::string &field, FieldPresence presence,
                       std::string fallback = {});
std::int64_t readInteger(const JsonReader &reader, const std::string &field, FieldPresence presence,
                         IntegerRange range, std::int64_t fallback = 0);
double readNumber(const JsonReader &reader, const std::string &field, FieldPresence presence,
                  double min, double fallback = 0.0);
bool readBool(const JsonReader &reader, const std::string &field, FieldPresence presence,
              bool fallback = false);
/// @brief Reads a duration in milliseconds; the field name ends in "Ms".
Millis readMillis(const JsonReader &reader, const std::string &field, FieldPresence presence,
                  IntegerRange range, Millis fallback = {});
std::vector<std::string> readStrings(const JsonReader &reader, const std::string &field,
                                     FieldPresence presence);

/// @brief Reads a nested object; an absent one reads as empty.
JsonReader readObject(const JsonReader &reader, const std::string &field, FieldPresence presence);

/// @brief Calls @a visit for each object of an array.
void readObjects(const JsonReader &reader, const std::string &field, FieldPresence presence,
                 const std::function<void(const JsonReader &)> &visit);

/// @brief Reports every field that is not in @a known, because it is probably misspelt.
void rejectUnknownFields(const JsonReader &reader, const std::vector<std::string> &known);

} // namespace tamarack
