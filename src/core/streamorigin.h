// Where a stream began, and the messages by which daemons tell each other.
//
// What two software versions of a service write does not fit together, and upstreams don't check
// who began a stream. So a stream that has broken off may continue only at the version that began
// it, also if its client takes it up at another daemon.
#pragma once

#include "core/ids.h"
#include "core/storeposition.h"
#include "core/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A software version of a service.
struct ServedVersion
{
    ServiceId service_;
    SoftwareVersion version_;

    auto operator<=>(const ServedVersion &) const = default;
};

/// @brief Versions that the store has confirmed, and the era in which it did.
struct ConfirmedVersions
{
    StoreEra era_;
    std::vector<ServedVersion> versions_;

    bool operator==(const ConfirmedVersions &) const = default;
};

/// Hash of the id of the client's attempt that brought the first event of a stream.
using StreamKey = NumericId<struct StreamKeyTag>;

/// @brief What is known of where a stream began.
enum class OriginKnowledge {
    Unknown,
    Known,
    /// Two versions were named for it, so neither is certain.
    Contradictory,
};

/// @brief Tells another daemon that a stream has begun.
struct StreamBegan
{
    StreamKey stream_;
    /// Without a version, the one that was told before may be wrong.
    ServedVersion origin_;
    /// How long the client may take the stream up. A duration, because the clocks of hosts differ.
    Millis lifetime_ {};
};

/// @brief Asks another daemon where a stream began.
struct StreamOriginRequest
{
    /// "IP:port" that the reply is sent to.
    std::string replyAddress_;
    StreamKey stream_;
};

/// @brief Reply to StreamOriginRequest.
struct StreamOriginReply
{
    StreamKey stream_;
    OriginKnowledge knowledge_ = OriginKnowledge::Unknown;
    ServedVersion origin_;
};

} // namespace tamarack
