// Upstreams and a simulated clock for routing tests.
#pragma once

#include "core/core.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace tamarack {

inline const ModelId model {"m"};
inline const MonoTime start {Seconds {1000}};

/// Upstreams u0 to uN-1 in zones z0 to z2, and a simulated clock.
struct Fixture
{
    RoutingState state_;
    Bundle bundle_;
    MonoTime now_ = start;
    std::uint64_t lastAttempt_ = 0;
};

inline UpstreamId upstreamId(std::size_t index)
{
    return UpstreamId {"u" + std::to_string(index)};
}

inline Fixture makeFixture(std::size_t upstreams)
{
    Fixture fixture;
    fixture.bundle_.version_ = BundleVersion {1};
    for (std::size_t i = 0; i < upstreams; ++i) {
        Upstream upstream;
        upstream.id_ = upstreamId(i);
        upstream.host_ = HostId {"host" + std::to_string(i)};
        upstream.zone_ = ZoneId {"z" + std::to_string(i % 3)};
        upstream.models_ = {model};
        fixture.bundle_.upstreams_[upstream.id_] = upstream;
    }
    indexUpstreams(fixture.state_, fixture.bundle_);
    return fixture;
}

inline RouteQuery makeQuery()
{
    RouteQuery query;
    query.model_ = model;
    query.zone_ = ZoneId {"z0"};
    query.promptTokens_ = 100;
    return query;
}

struct Sent
{
    UpstreamId upstream_;
    AttemptId attempt_;
};

inline Sent sendTo(Fixture &fixture, const UpstreamId &upstream, const Prediction &prediction)
{
    const AttemptId attempt {std::to_string(++fixture.lastAttempt_)};
    recordDispatch(fixture.state_, DispatchRecord {upstream, attempt, prediction, 100, true},
                   fixture.now_);
    return Sent {upstream, attempt};
}

inline Sent sendTo(Fixture &fixture, const UpstreamId &upstream)
{
    const UpstreamState *known = findUpstream(fixture.state_, upstream);
    return sendTo(fixture, upstream,
                  predict(fixture.state_, *known, makeQuery(), 0.0, fixture.now_));
}

inline void end(Fixture &fixture, const Sent &sent, AttemptResult result, Millis firstToken,
                Millis duration)
{
    AttemptRecord record;
    record.upstream_ = sent.upstream_;
    record.attempt_ = sent.attempt_;
    record.result_ = result;
    if (result == AttemptResult::Complete)
        record.firstToken_ = firstToken;
    record.duration_ = duration;
    record.outputTokens_ = 10;
    recordAttemptEnd(fixture.state_, record, fixture.now_);
}

/// Lets an upstream serve some requests one after the other.
inline void train(Fixture &fixture, const UpstreamId &upstream, Millis firstToken,
                  int requests = 20)
{
    for (int i = 0; i < requests; ++i) {
        const Sent sent = sendTo(fixture, upstream);
        fixture.now_ += firstToken * 3;
        end(fixture, sent, AttemptResult::Complete, firstToken, firstToken * 3);
    }
}

inline void fail(Fixture &fixture, const UpstreamId &upstream, AttemptResult result, int times)
{
    for (int i = 0; i < times; ++i)
        end(fixture, sendTo(fixture, upstream), result, {}, Millis {1000});
}

/// Counts the selections of @a rounds requests that are not sent.
inline std::map<UpstreamId, int> choices(Fixture &fixture, int rounds, const RouteQuery &query)
{
    std::map<UpstreamId, int> counts;
    for (int i = 0; i < rounds; ++i) {
        const RouteChoice choice = chooseUpstream(fixture.state_, query, fixture.now_);
        if (choice.outcome_ == RouteOutcome::Chosen)
            ++counts[choice.upstream_];
    }
    return counts;
}

inline std::map<UpstreamId, int> choices(Fixture &fixture, int rounds = 100)
{
    return choices(fixture, rounds, makeQuery());
}

inline LoadReport report(const Fixture &fixture, const UpstreamId &upstream, std::uint32_t running,
                         std::uint32_t slots)
{
    LoadReport result;
    result.upstream_ = upstream;
    result.running_ = running;
    result.slots_ = slots;
    result.requestedAt_ = fixture.now_;
    return result;
}

} // namespace tamarack
