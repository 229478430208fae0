// Validation of "IP:port" addresses.
#pragma once

#include "adapters/json/jsonreader.h"

#include <string>

namespace tamarack {

/// @brief Returns true for "IPv4:port" and "[IPv6]:port" with a port from 1 to 65535.
bool isAddress(const std::string &text);

/// @brief Reads an address field; a malformed address is reported as a validation error.
/// @return the text of the field, also if it is malformed; empty if the field is absent
std::string readAddress(const JsonReader &reader, const std::string &field, FieldPresence presence);

} // namespace tamarack
