// Encoding of messages between daemons as protobuf.
#pragma once

#include "core/error.h"
#include "core/peermessage.h"

#include <string>
#include <string_view>

namespace tamarack {

/// @brief A message and the host that sent it.
struct PeerEnvelope
{
    HostId from_;
    PeerMessage message_;
};

/// @brief Encodes a message.
std::string encodePeerMessage(const PeerEnvelope &envelope);

/// @brief Decodes a message.
/// @return an error with id tamarack.peers.101 if the bytes are malformed, or tamarack.peers.102 if
/// the kind of message or one of its codes is unknown
Result<PeerEnvelope> decodePeerMessage(std::string_view bytes);

} // namespace tamarack
