// Splits JSON objects and arrays into the texts of their elements without building a tree.
#include "adapters/json/jsonscan.h"

#include "adapters/json/jsonreader.h"

#include <string>

namespace tamarack {

namespace {

/// The remaining text of a scan.
struct Scanner
{
    std::string_view rest_;
};

bool isSpace(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

void skipSpace(Scanner &scanner)
{
    while (!scanner.rest_.empty() && isSpace(scanner.rest_.front()))
        scanner.rest_.remove_prefix(1);
}

/// Skips white space and then @a c.
/// @return false if another character follows
bool skipChar(Scanner &scanner, char c)
{
    skipSpace(scanner);
    if (scanner.rest_.empty() || scanner.rest_.front() != c)
        return false;
    scanner.rest_.remove_prefix(1);
    return true;
}

/// Returns the position after the string that begins at @a begin, or npos.
std::size_t endOfString(std::string_view text, std::size_t begin)
{
    std::size_t from = begin + 1;
    while (true) {
        const std::size_t quote = text.find('"', from);
        if (quote == std::string_view::npos)
            return quote;
        std::size_t escapes = 0;
        while (text[quote - 1 - escapes] == '\\' && quote - 1 - escapes > begin)
            ++escapes;
        if (escapes % 2 == 0)
            return quote + 1;
        from = quote + 1;
    }
}

std::optional<std::string_view> scanString(Scanner &scanner)
{
    skipSpace(scanner);
    if (scanner.rest_.empty() || scanner.rest_.front() != '"')
        return std::nullopt;
    const std::size_t end = endOfString(scanner.rest_, 0);
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view value = scanner.rest_.substr(1, end - 2);
    scanner.rest_.remove_prefix(end);
    return value;
}

/// Scans one value up to the comma or closing bracket that follows it.
/// @return nothing if a bracket or string is not closed, or the nesting is too deep
std::optional<std::string_view> scanValue(Scanner &scanner)
{
    skipSpace(scanner);
    const std::string_view text = scanner.rest_;
    std::string closers;
    std::size_t at = 0;
    while (at < text.size()) {
        const char c = text[at];
        if (c == '"') {
            at = endOfString(text, at);
            if (at == std::string_view::npos)
                return std::nullopt;
            continue;
        }
        const bool closes = c == '}' || c == ']';
        if (closers.empty() && (c == ',' || closes))
            break;
        if (c == '{' || c == '[')
            closers += c == '{' ? '}' : ']';
        if (closes && closers.back() != c)
            return std::nullopt;
        if (closes)
            closers.pop_back();
        if (closers.size() > static_cast<std::size_t>(maxJsonDepth))
            return std::nullopt;
        ++at;
    }
    std::size_t size = at;
    while (size > 0 && isSpace(text[size - 1]))
        --size;
    if (!closers.empty() || size == 0)
        return std::nullopt;
    scanner.rest_.remove_prefix(at);
    return text.substr(0, size);
}

/// Scans the separator after an element.
/// @return true if another element follows, false at the closing bracket, nothing otherwise
std::optional<bool> scanSeparator(Scanner &scanner, char close)
{
    if (skipChar(scanner, ','))
        return true;
    if (skipChar(scanner, close))
        return false;
    return std::nullopt;
}

bool isAtEnd(Scanner &scanner)
{
    skipSpace(scanner);
    return scanner.rest_.empty();
}

std::optional<JsonMember> scanMember(Scanner &scanner)
{
    const std::optional<std::string_view> key = scanString(scanner);
    if (!key || !skipChar(scanner, ':'))
        return std::nullopt;
    const std::optional<std::string_view> value = scanValue(scanner);
    if (!value)
        return std::nullopt;
    return JsonMember {*key, *value};
}

/// Scans a comma-separated list between two brackets.
template <typename Element, typename ScanElement>
std::optional<std::vector<Element>> scanList(std::string_view text, char open, char close,
                                             ScanElement scanElement)
{
    Scanner scanner {text};
    std::vector<Element> elements;
    if (!skipChar(scanner, open))
        return std::nullopt;
    std::optional<bool> more = !skipChar(scanner, close);
    while (more && *more) {
        std::optional<Element> element = scanElement(scanner);
        if (!element)
            return std::nullopt;
        elements.push_back(std::move(*element));
        more = scanSeparator(scanner, close);
    }
    if (!more || !isAtEnd(scanner))
        return std::nullopt;
    return elements;
}

} // namespace

std::optional<std::vector<JsonMember>> scanObject(std::string_view text)
{
    return scanList<JsonMember>(text, '{', '}', scanMember);
}

std::optional<std::vector<std::string_view>> scanArray(std::string_view text)
{
    return scanList<std::string_view>(text, '[', ']', scanValue);
}

std::string_view findMember(const std::vector<JsonMember> &members, std::string_view key)
{
    std::string_view value;
    for (const JsonMember &member : members) {
        if (member.key_ == key)
            value = member.value_;
    }
    return value;
}

} // namespace tamarack
