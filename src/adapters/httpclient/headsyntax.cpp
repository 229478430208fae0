// Syntax of the head of a response.
#include "adapters/httpclient/headsyntax.h"

#include <algorithm>
#include <charconv>

namespace tamarack {

namespace {

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isTokenCharacter(char c)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
        || symbols.find(c) != std::string_view::npos;
}

/// Returns whether text has no control characters except tabs.
bool isFieldText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto code = static_cast<unsigned char>(c);
        return c == '\t' || (code >= 0x20 && code != 0x7f);
    });
}

} // namespace

std::optional<int> parseStatusLine(std::string_view line)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599;
    if (!line.starts_with(version))
        return std::nullopt;
    line.remove_prefix(version.size());
    // The minor version, a space and the status.
    if (line.size() < 5 || !isDigit(line[0]) || line[1] != ' ')
        return std::nullopt;
    const std::string_view digits = line.substr(2, 3);
    const std::string_view reason = line.substr(5);
    if (!std::all_of(digits.begin(), digits.end(), isDigit)
        || !(reason.empty() || reason.front() == ' ') || !isFieldText(reason))
        return std::nullopt;
    int status = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
    return status >= firstStatus && status <= lastStatus ? std::optional(status) : std::nullopt;
}

bool isFieldLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos)
        return false;
    const std::string_view name = line.substr(0, colon);
    return std::all_of(name.begin(), name.end(), isTokenCharacter)
        && isFieldText(line.substr(colon + 1));
}

bool isFoldedLine(std::string_view line)
{
    return !line.empty() && (line.front() == ' ' || line.front() == '\t') && isFieldText(line);
}

} // namespace tamarack
