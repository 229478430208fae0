// Choice of an upstream for a request.
#pragma once

#include "core/bundle.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace tamarack {

/// @brief How an exchange with an upstream ended.
enum class AttemptResult {
    /// The answer arrived with its protocol terminator.
    Whole,
    /// No byte of the request left this daemon.
    NotSent,
    /// The upstream refused the request without running it.
    Rejected,
    /// The upstream answered with a server error.
    Failed,
    /// The answer ended before its terminator.
    Cut,
    /// The upstream stayed silent for too long.
    TimedOut,
    /// The caller went away.
    Cancelled,
};

/// @brief Returns the stable code of a result, such as "timed_out".
std::string_view attemptResultCode(AttemptResult result);

/// @brief What a request needs from an upstream.
struct RouteQuery
{
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    ModelId model_;
    ServiceId service_;
    ZoneId zone_;
    /// Upstreams that this request has tried already.
    std::vector<UpstreamId> tried_;
};

/// @brief What this daemon knows about one upstream.
struct UpstreamState
{
    std::uint32_t inFlight_ = 0;
    bool leaving_ = false;
    std::uint32_t consecutiveFailures_ = 0;
    /// Not a candidate before this time.
    MonoTime ejectedUntil_ {};
};

/// @brief Routing state of all upstreams.
struct RoutingState
{
    std::map<UpstreamId, UpstreamState> upstreams_;
};

/// @brief Chooses an upstream.
/// @return nothing if no live upstream fits
/// @note O(upstreams of the bundle)
std::optional<UpstreamId> chooseUpstream(const RoutingState &state, const Bundle &bundle,
                                         const RouteQuery &query, MonoTime now);

/// @brief Records that an exchange with @a upstream starts.
void noteDispatch(RoutingState &state, const UpstreamId &upstream);

/// @brief Records how an exchange with @a upstream ended.
void noteAttemptEnded(RoutingState &state, const UpstreamId &upstream, AttemptResult result,
                      MonoTime now);

} // namespace tamarack
