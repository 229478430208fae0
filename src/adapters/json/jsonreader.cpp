// Typed access to the fields of JSON objects parsed by POCO.
#include "adapters/json/jsonreader.h"

#include <Poco/JSON/Parser.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

using Poco::Dynamic::Var;

std::string joinPath(const std::string &path, const std::string &field)
{
    return path.empty() ? field : path + '.' + field;
}

/// Returns the field, or an empty value if it is absent or null. Reports a missing required field.
Var find(const JsonReader &reader, const std::string &field, FieldPresence presence)
{
    if (reader.object_ && reader.object_->has(field) && !reader.object_->isNull(field))
        return reader.object_->get(field);
    if (presence == FieldPresence::Required)
        addError(reader, field, "is missing", "add it");
    return {};
}

/// Returns true for integers, and for whole numbers that are written with decimals, such as 3000.0.
bool isWholeNumber(const Var &value)
{
    if (value.isInteger())
        return true;
    if (!value.isNumeric() || value.isBoolean())
        return false;
    /// Above this, not every integer has a representation as a double.
    constexpr double maxExactInteger = 9'007'199'254'740'992.0;
    const auto number = value.convert<double>();
    return std::abs(number) <= maxExactInteger && std::trunc(number) == number;
}

} // namespace

std::string formatValidationError(const ValidationError &error)
{
    return fmt::format("{}: {}; {}", error.path_, error.problem_, error.remedy_);
}

std::string formatValidationErrors(const ValidationErrors &errors)
{
    std::string text;
    for (const ValidationError &error : errors)
        text += formatValidationError(error) + '\n';
    return text;
}

Result<Poco::JSON::Object::Ptr> parseObject(const std::string &text, std::size_t maxBytes)
{
    if (text.size() > maxBytes)
        return fail(
            ErrorKind::InvalidMessage, "tamarack.json.102",
            fmt::format("the document has {} bytes; the limit is {}", text.size(), maxBytes));
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(maxJsonDepth);
        const Var root = parser.parse(text);
        if (root.type() == typeid(Poco::JSON::Object::Ptr))
            return root.extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &error) {
        return fail(ErrorKind::InvalidMessage, "tamarack.json.101",
                    fmt::format("the document is not valid JSON ({}); correct its syntax",
                                error.displayText()));
    }
    return fail(ErrorKind::InvalidMessage, "tamarack.json.103",
                "the document is not a JSON object; put the fields in one object");
}

void addError(const JsonReader &reader, const std::string &field, std::string problem,
              std::string remedy)
{
    reader.errors_->push_back(
        ValidationError {joinPath(reader.path_, field), std::move(problem), std::move(remedy)});
}

std::string readString(const JsonReader &reader, const std::string &field, FieldPresence presence,
                       std::string fallback)
{
    const Var value = find(reader, field, presence);
    if (value.isEmpty())
        return fallback;
    if (!value.isString()) {
        addError(reader, field, "is not a string", "write it in double quotes");
        return fallback;
    }
    std::string text = value.extract<std::string>();
    if (text.empty() && presence == FieldPresence::Required)
        addError(reader, field, "is empty", "set a value");
    return text;
}

std::int64_t readInteger(const JsonReader &reader, const std::string &field, FieldPresence presence,
                         IntegerRange range, std::int64_t fallback)
{
    const Var value = find(reader, field, presence);
    if (value.isEmpty())
        return fallback;
    if (!isWholeNumber(value)) {
        addError(reader, field, "is not an integer", "write a whole number without quotes");
        return fallback;
    }
    const auto number = value.convert<std::int64_t>();
    if (number < range.min_ || number > range.max_) {
        addError(reader, field, fmt::format("is out of range: {}", number),
                 fmt::format("use a value from {} to {}", range.min_, range.max_));
        return fallback;
    }
    return number;
}

double readNumber(const JsonReader &reader, const std::string &field, FieldPresence presence,
                  double min, double fallback)
{
    const Var value = find(reader, field, presence);
    if (value.isEmpty())
        return fallback;
    if (!value.isNumeric() || value.isBoolean() || value.convert<double>() < min) {
        addError(reader, field, "is not a number or is too small",
                 fmt::format("use a number of at least {}", min));
        return fallback;
    }
    return value.convert<double>();
}

bool readBool(const JsonReader &reader, const std::string &field, FieldPresence presence,
              bool fallback)
{
    const Var value = find(reader, field, presence);
    if (value.isEmpty())
        return fallback;
    if (!value.isBoolean()) {
        addError(reader, field, "is not a boolean", "use true or false");
        return fallback;
    }
    return value.convert<bool>();
}

Millis readMillis(const JsonReader &reader, const std::string &field, FieldPresence presence,
                  IntegerRange range, Millis fallback)
{
    return Millis {readInteger(reader, field, presence, range, fallback.count())};
}

std::vector<std::string> readStrings(const JsonReader &reader, const std::string &field,
                                     FieldPresence presence)
{
    std::vector<std::string> texts;
    const Var value = find(reader, field, presence);
    if (value.isEmpty())
        return texts;
    if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
        addError(reader, field, "is not an array", "write a list of strings in square brackets");
        return texts;
    }
    for (const Var &element : *value.extract<Poco::JSON::Array::Ptr>()) {
        if (element.isString())
            texts.push_back(element.extract<std::string>());
        else
            addError(reader, fmt::format("{}[{}]", field, texts.size()), "is not a string",
                     "write it in double quotes");
    }
    return texts;
}

JsonReader readObject(const JsonReader &reader, const std::string &field, FieldPresence presence)
{
    const Var value = find(reader, field, presence);
    JsonReader nested {new Poco::JSON::Object, joinPath(reader.path_, field), reader.errors_};
    if (value.isEmpty())
        return nested;
    if (value.type() != typeid(Poco::JSON::Object::Ptr))
        addError(reader, field, "is not an object", "write its fields in curly brackets");
    else
        nested.object_ = value.extract<Poco::JSON::Object::Ptr>();
    return nested;
}

void readObjects(const JsonReader &reader, const std::string &field, FieldPresence presence,
                 const std::function<void(const JsonReader &)> &visit)
{
    const Var value = find(reader, field, presence);
    if (value.isEmpty())
        return;
    if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
        addError(reader, field, "is not an array", "write a list of objects in square brackets");
        return;
    }
    std::size_t index = 0;
    for (const Var &element : *value.extract<Poco::JSON::Array::Ptr>()) {
        const std::string name = fmt::format("{}[{}]", field, index++);
        if (element.type() != typeid(Poco::JSON::Object::Ptr))
            addError(reader, name, "is not an object", "write its fields in curly brackets");
        else
            visit(JsonReader {element.extract<Poco::JSON::Object::Ptr>(),
                              joinPath(reader.path_, name), reader.errors_});
    }
}

void rejectUnknownFields(const JsonReader &reader, const std::vector<std::string> &known)
{
    for (const auto &[name, value] : *reader.object_) {
        if (std::find(known.begin(), known.end(), name) == known.end())
            addError(reader, name, "is not a known field", "remove it or correct its spelling");
    }
}

} // namespace tamarack
