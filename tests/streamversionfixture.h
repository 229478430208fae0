// A daemon with engines of two software versions, for unit tests of streams that continue.
#pragma once

#include "relayfixture.h"

#include <optional>
#include <set>
#include <string>

namespace tamarack {

inline const ServedVersion v1 {ServiceId {"llm"}, SoftwareVersion {"v1"}};
inline const ServedVersion v2 {ServiceId {"llm"}, SoftwareVersion {"v2"}};

inline ListedInstance engine(const std::string &id, const std::string &version,
                             std::uint64_t revision)
{
    ListedInstance listed = makeInstance(id, "llm", revision);
    listed.instance_.version_ = SoftwareVersion {version};
    return listed;
}

inline void change(RelayFixture &fixture, const ListedInstance &listed)
{
    post(fixture, InstanceChanged {listed, ChangeSource::Store});
}

inline void remove(RelayFixture &fixture, const std::string &id, std::uint64_t revision)
{
    post(fixture, InstanceRemoved {UpstreamId {id}, Revision {revision}, ChangeSource::Store});
    advanceTime(fixture, Seconds {3});
}

/// Two engines of each version, all confirmed.
inline void setUpVersions(RelayFixture &fixture)
{
    setUp(fixture);
    fixture.state_.limits_.address_ = "me:1";
    change(fixture, engine("n1", "v2", 10));
    change(fixture, engine("n2", "v2", 11));
    confirmVersions(fixture);
}

inline SoftwareVersion versionOf(const RelayFixture &fixture, const SendAttempt &attempt)
{
    return fixture.state_.directory_.known_.at(attempt.instance_).instance_.version_;
}

inline std::optional<SendAttempt> start(RelayFixture &fixture, const RelayRequest &request)
{
    return findCommand<SendAttempt>(post(fixture, RequestRead {request}));
}

/// Breaks off an attempt that has brought events.
inline RelayCommands breakOff(RelayFixture &fixture, const SendAttempt &attempt,
                              std::uint64_t events = 3)
{
    RelayAttemptEnded lost = ended(attempt, AttemptEnd::ConnectionLost);
    lost.events_ = events;
    lost.partiallyDelivered_ = events > 0;
    lost.begunBy_ = events > 0 ? attempt.attempt_ : 0;
    return post(fixture, lost);
}

inline void startOutput(RelayFixture &fixture, const SendAttempt &attempt)
{
    post(fixture, OutputStarted {attempt.id_, attempt.attempt_, fixture.now_});
}

inline RelayRequest takeUp(RelayFixture &fixture, const std::string &begunBy)
{
    RelayRequest request = makeRequest(fixture, "resume");
    request.resumed_ = ResumedStream {RequestId {begunBy}};
    return request;
}

/// Begins a stream at an instance of a version, as other daemons have tell it.
inline void tell(RelayFixture &fixture, const std::string &begunBy, const ServedVersion &origin)
{
    post(fixture,
         StreamBeganReceived {HostId {"h2"},
                              StreamBegan {streamKey(RequestId {begunBy}), origin, Seconds {10}}});
}

/// Makes other daemons known.
inline void addPeers(RelayFixture &fixture, int count)
{
    FleetView view;
    view.daemons_ = static_cast<std::uint32_t>(count) + 1;
    view.zoneDaemons_ = view.daemons_;
    for (int i = 0; i < count; ++i) {
        const std::string host = "h" + std::to_string(i + 2);
        view.peers_.push_back(PeerAddress {HostId {host}, ZoneId {"near"}, host + ":1", 0});
        view.holders_[HostId {host}] = HolderId {host + "-1"};
    }
    post(fixture, view);
}

inline std::set<std::string> askedHosts(const RelayCommands &commands)
{
    std::set<std::string> hosts;
    for (const RelayCommand &command : commands) {
        const auto *sent = std::get_if<SendPeer>(&command);
        if (sent && std::holds_alternative<StreamOriginRequest>(sent->message_))
            hosts.insert(sent->host_.value_);
    }
    return hosts;
}

inline StoreReply recordReply(const SubmitStoreCall &call, const std::set<ServedVersion> &versions)
{
    StoreReply reply;
    reply.call_ = call.id_;
    reply.status_ = StoreStatus::Ok;
    reply.current_ = VersionedValue {Revision {7}, VersionRecord {versions}};
    return reply;
}

} // namespace tamarack
