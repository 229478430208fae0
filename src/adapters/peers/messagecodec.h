// Protobuf encoding of the messages between daemons.
#pragma once

#include "core/error.h"
#include "core/peermessage.h"

#include <string>
#include <string_view>

namespace tamarack {

/// @brief A message and the host of its sender.
struct PeerEnvelope
{
    HostId from_;
    PeerMessage message_;
};

/// @brief Encodes a message as a serialized peer::Envelope.
std::string encodePeerMessage(const PeerEnvelope &envelope);

/// @brief Decodes a message.
/// @return an error with id tamarack.peers.101 if the bytes are malformed or the sender is missing,
/// or tamarack.peers.102 if the kind of message or one of its codes is unknown
Result<PeerEnvelope> decodePeerMessage(std::string_view bytes);

} // namespace tamarack
