// Lines that are no header or trailer field, for tests of the readers of responses.
#pragma once

#include <string>
#include <vector>

namespace tamarack {

/// @brief Returns lines with an invalid name or value (RFC 9110 section 5, RFC 9112 section 5.1).
inline std::vector<std::string> invalidFieldLines()
{
    return {
        "X Name: 1",
        "X\tName: 1",
        "X\x01Name: 1",
        std::string("X\0Name: 1", 9),
        "X\x7fName: 1",
        "X\rName: 1",
        "X\xe9Name: 1",
        ": 1",
        "X-Name",
        "X-Name : 1",
        "X-Name: a\rb",
        std::string("X-Name: a\0b", 11),
        "Transfer-Encoding : chunked",
    };
}

} // namespace tamarack
