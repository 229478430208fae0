// A daemon with instances on several hosts and other daemons that take over its requests, for unit
// tests.
#pragma once

#include "relayfixture.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarack {

inline constexpr int peerCount = 4;

inline PeerAddress peer(int number, const std::string &zone = "near")
{
    const std::string host = "h" + std::to_string(number);
    return PeerAddress {HostId {host}, ZoneId {zone}, host + ":1", 0, host + ":2"};
}

inline void setPeers(RelayFixture &fixture, const std::vector<PeerAddress> &peers)
{
    FleetView view;
    view.daemons_ = static_cast<std::uint32_t>(peers.size()) + 1;
    view.zoneDaemons_ = view.daemons_;
    view.peers_ = peers;
    for (const PeerAddress &each : peers)
        view.holders_[each.host_] = HolderId {each.host_.value_ + "-1"};
    post(fixture, view);
}

/// Instances on six hosts, and other daemons.
inline void setUpFleet(RelayFixture &fixture)
{
    setUp(fixture);
    for (std::uint64_t i = 0; i < 6; ++i) {
        ListedInstance listed
            = makeInstance("x" + std::to_string(i), i < 3 ? "app" : "llm", 20 + i);
        listed.instance_.address_ = "10.0.0." + std::to_string(i) + ":80";
        post(fixture, InstanceChanged {listed, ChangeSource::Store});
    }
    for (const char *id : {"a1", "a2", "e1", "e2"})
        post(fixture, InstanceRemoved {UpstreamId {id}, Revision {40}, ChangeSource::Store});
    advanceTime(fixture, Seconds {2});
    confirmVersions(fixture);
    std::vector<PeerAddress> peers;
    peers.reserve(peerCount);
    for (int i = 0; i < peerCount; ++i)
        peers.push_back(peer(i));
    setPeers(fixture, peers);
}

/// The answer of a daemon that can serve no request.
inline RelayAttemptEnded unable(const SendAttempt &attempt)
{
    RelayAttemptEnded event = ended(attempt, AttemptEnd::Failed, 503);
    event.peerUnable_ = true;
    return event;
}

inline std::optional<SendAttempt> start(RelayFixture &fixture, const RelayRequest &request)
{
    return findCommand<SendAttempt>(post(fixture, RequestRead {request}));
}

/// Has all connects of a few requests fail, until this host counts as cut off.
inline void cutOff(RelayFixture &fixture)
{
    for (int i = 0; i < 10 && !fixture.state_.reachability_.isCutOff_; ++i) {
        auto attempt = start(fixture, makeRequest(fixture, "safe"));
        while (attempt && !attempt->toPeer_)
            attempt = findCommand<SendAttempt>(post(fixture, ended(*attempt, AttemptEnd::NotSent)));
        if (attempt)
            post(fixture, ended(*attempt, AttemptEnd::Delivered, 200));
        for (const RelayCommand &command : advanceTime(fixture, Millis {500})) {
            if (const auto *probe = std::get_if<ProbeInstance>(&command))
                post(fixture, InstanceProbed {probe->instance_, false});
        }
    }
    REQUIRE(fixture.state_.reachability_.isCutOff_);
}

} // namespace tamarack
