// Choice of an upstream: least requests in flight, own zone first.
#include "core/routing.h"

#include <algorithm>
#include <tuple>

namespace tamarack {

namespace {

constexpr std::uint32_t failuresBeforeEjection = 3;
constexpr Millis ejectionTime {2000};

bool serves(const Upstream &upstream, const RouteQuery &query)
{
    if (upstream.kind_ != query.kind_)
        return false;
    if (query.kind_ == UpstreamKind::Service)
        return upstream.service_ == query.service_;
    return std::find(upstream.models_.begin(), upstream.models_.end(), query.model_)
        != upstream.models_.end();
}

bool isFailure(AttemptResult result)
{
    return result != AttemptResult::Whole && result != AttemptResult::Cancelled;
}

} // namespace

std::string_view attemptResultCode(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Whole:
        return "whole";
    case AttemptResult::NotSent:
        return "not_sent";
    case AttemptResult::Rejected:
        return "rejected";
    case AttemptResult::Failed:
        return "failed";
    case AttemptResult::Cut:
        return "cut";
    case AttemptResult::TimedOut:
        return "timed_out";
    case AttemptResult::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::optional<UpstreamId> chooseUpstream(const RoutingState &state, const Bundle &bundle,
                                         const RouteQuery &query, MonoTime now)
{
    using Score = std::tuple<bool, std::uint32_t, bool>;
    std::optional<UpstreamId> best;
    Score bestScore;
    for (const auto &[id, upstream] : bundle.upstreams_) {
        if (!serves(upstream, query))
            continue;
        const auto it = state.upstreams_.find(id);
        const UpstreamState known = it == state.upstreams_.end() ? UpstreamState {} : it->second;
        if (known.leaving_ || now < known.ejectedUntil_)
            continue;
        const bool tried
            = std::find(query.tried_.begin(), query.tried_.end(), id) != query.tried_.end();
        const Score score {tried, known.inFlight_, upstream.zone_ != query.zone_};
        if (!best || score < bestScore) {
            best = id;
            bestScore = score;
        }
    }
    return best;
}

void noteDispatch(RoutingState &state, const UpstreamId &upstream)
{
    ++state.upstreams_[upstream].inFlight_;
}

void noteAttemptEnded(RoutingState &state, const UpstreamId &upstream, AttemptResult result,
                      MonoTime now)
{
    UpstreamState &known = state.upstreams_[upstream];
    if (known.inFlight_ > 0)
        --known.inFlight_;
    if (!isFailure(result)) {
        known.consecutiveFailures_ = 0;
        return;
    }
    if (++known.consecutiveFailures_ >= failuresBeforeEjection)
        known.ejectedUntil_ = now + ejectionTime;
}

} // namespace tamarack
